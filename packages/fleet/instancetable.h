/**
 * @file
 * The instances that this one knows: what each says of itself in the store,
 * and what was seen of it. Chooses the instance for a request without a key.
 */
#ifndef CHESTNUTGAP_FLEET_INSTANCETABLE_H
#define CHESTNUTGAP_FLEET_INSTANCETABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include "base/address.h"
#include "base/error.h"
#include "base/random.h"
#include "fleet/keymap.h"

#define INSTANCETABLE_EXCLUDED_MAX 8
#define INSTANCETABLE_CRASH_SUSPECTS_MAX                                      \
    64 /* requests that one instance accuses */

/** Whether an instance's target takes work. */
enum instancetable_state {
    INSTANCETABLE_ABSENT,  /**< no target, as far as the instance knows */
    INSTANCETABLE_SERVING, /**< takes work */
    INSTANCETABLE_LEAVING, /**< the target or the instance leaves */
};

/** What an instance says of itself; one row of the store. */
struct instancetable_row {
    char instance[KEYMAP_NAME_MAX + 1];
    char zone[KEYMAP_NAME_MAX + 1];
    char service[KEYMAP_NAME_MAX + 1];
    char target[KEYMAP_NAME_MAX + 1];
    struct address address; /**< for calls of other instances */
    int64_t born_ms;        /**< start of the target's life */
    int64_t started_ms;     /**< start of the instance's process, Unix time */
    unsigned slots;
    enum instancetable_state state;
    bool departed; /**< the target has said that it leaves */
    uint64_t accused[INSTANCETABLE_CRASH_SUSPECTS_MAX]; /**< requests that were
                                             running when the target stopped */
    size_t accused_count;
};

/** One instance. The fields below instance_row belong to the instancetable's
 * owner. */
struct instancetable_instance {
    LIST_ENTRY(instancetable_instance) link;
    struct instancetable_row instance_row;
    uint64_t version;             /**< of the row */
    int64_t unreachable_until_us; /**< it was not reached lately */
    unsigned unreachable_count;   /**< times in a row */
    int64_t full_until_us;        /**< it has no room, as it said */
    unsigned outstanding;         /**< own requests that it has not answered */
    int64_t silent_since_us;      /**< while there are any: its last answer, or
                                       the first of them */
    unsigned reported_load;       /**< in flight and queued, as it said */
    unsigned sent_since_report;   /**< own requests since that report */
    int64_t service_us;           /**< smoothed time of its answers; 0: none */
    int64_t result_us;            /**< when it answered last */
    double failure_rate;          /**< smoothed share of failed requests */
    bool cold;                    /**< as it said */
};

LIST_HEAD(instancetable_list, instancetable_instance);

struct instancetable {
    struct instancetable_list instances;
};

void instancetable_clear(struct instancetable *instancetable);

struct instancetable_instance *
instancetable_find(const struct instancetable *instancetable,
                   const char *instance);

/** Takes a row over unless a newer one is known. @return the instance */
struct instancetable_instance *
instancetable_update(struct instancetable *instancetable,
                     const struct instancetable_row *instance_row,
                     uint64_t version);

/** The instance's row is gone. */
void instancetable_remove(struct instancetable *instancetable,
                          const char *instance);

/** What matters for the choice of an instance. */
struct instancetable_criteria {
    const char *service;
    const char *zone; /**< of the caller; preferred */
    /** True for a zone that is to get nothing. */
    bool (*zone_is_out)(void *ctx, const char *zone);
    void *ctx;
    const struct instancetable_instance *excluded[INSTANCETABLE_EXCLUDED_MAX];
    size_t excluded_count;
    int64_t now_us;
};

/** The instance from which an answer is expected soonest, or NULL. */
struct instancetable_instance *
instancetable_choose(const struct instancetable *instancetable,
                     const struct instancetable_criteria *choice,
                     struct random_state *random);

/** A request was sent to it, and has ended in whatever way. */
void instancetable_record_sent(struct instancetable_instance *instance,
                               int64_t now_us);
void instancetable_record_ended(struct instancetable_instance *instance);

/** An answer, or a failure of the target, after took_us. */
void instancetable_record_result(struct instancetable_instance *instance,
                                 int64_t now_us, int64_t took_us, bool failed);
void instancetable_record_load(struct instancetable_instance *instance,
                               unsigned load, bool cold);
/** It refused for want of room, which may come after wait_us. */
void instancetable_record_overload(struct instancetable_instance *instance,
                                   int64_t now_us, int64_t wait_us);
void instancetable_record_unreachable(struct instancetable_instance *instance,
                                      int64_t now_us);
void instancetable_record_reached(struct instancetable_instance *instance,
                                  int64_t now_us);

/** Instances that are there, with or without a target that serves. */
size_t instancetable_count(const struct instancetable *instancetable);

/** True if a's process started before b's; names decide between equals. */
bool instancetable_started_earlier(const struct instancetable_row *a,
                                   const struct instancetable_row *b);

/** How many instances accuse the request of having stopped their target. */
unsigned
instancetable_crash_reporters(const struct instancetable *instancetable,
                              uint64_t fingerprint);

/** The row's text; free() it. */
char *instancetable_print(const struct instancetable_row *instance_row);

/** Reads a row's text. False with err set if it is not valid. */
bool instancetable_parse(struct instancetable_row *instance_row,
                         const char *instance, const char *text, size_t size,
                         struct error *err);

#endif
