/**
 * @file
 * The instances that this one knows: what each says of itself in the store,
 * and what was seen of it. Chooses the instance for a request without a key.
 */
#ifndef CHESTNUTGAP_FLEET_ROSTER_H
#define CHESTNUTGAP_FLEET_ROSTER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include "base/address.h"
#include "base/error.h"
#include "base/random.h"
#include "fleet/keymap.h"

#define ROSTER_EXCLUDED_MAX 8
#define ROSTER_ACCUSED_MAX 64 /* requests that one instance accuses */

/** Whether an instance's target takes work. */
enum roster_state {
    ROSTER_ABSENT,  /**< no target, as far as the instance knows */
    ROSTER_SERVING, /**< takes work */
    ROSTER_LEAVING, /**< the target or the instance leaves */
};

/** What an instance says of itself; one row of the store. */
struct roster_notice {
    char instance[KEYMAP_NAME_MAX + 1];
    char zone[KEYMAP_NAME_MAX + 1];
    char service[KEYMAP_NAME_MAX + 1];
    char target[KEYMAP_NAME_MAX + 1];
    struct address address; /**< for calls of other instances */
    int64_t born_ms;        /**< start of the target's life */
    int64_t started_ms;     /**< start of the instance's process, Unix time */
    unsigned slots;
    enum roster_state state;
    bool departed; /**< the target has said that it leaves */
    uint64_t accused[ROSTER_ACCUSED_MAX]; /**< requests that were running
                                             when the target stopped */
    size_t accused_count;
};

/** One instance. The fields below notice belong to the roster's owner. */
struct roster_instance {
    LIST_ENTRY(roster_instance) link;
    struct roster_notice notice;
    uint64_t version;             /**< of the row */
    int64_t unreachable_until_us; /**< it was not reached lately */
    unsigned unreachable_count;   /**< times in a row */
    int64_t full_until_us;        /**< it has no room, as it said */
    unsigned outstanding;         /**< own requests that it has not answered */
    int64_t silent_since_us;      /**< while there are any: its last answer, or
                                       the first of them */
    unsigned reported_load;       /**< in flight and queued, as it said */
    unsigned sent_since;          /**< own requests since that report */
    int64_t service_us;           /**< smoothed time of its answers; 0: none */
    int64_t result_us;            /**< when it answered last */
    double failure_rate;          /**< smoothed share of failed requests */
    bool cold;                    /**< as it said */
};

LIST_HEAD(roster_list, roster_instance);

struct roster {
    struct roster_list instances;
};

void roster_clear(struct roster *roster);

struct roster_instance *roster_find(const struct roster *roster,
                                    const char *instance);

/** Takes a row over unless a newer one is known. @return the instance */
struct roster_instance *roster_update(struct roster *roster,
                                      const struct roster_notice *notice,
                                      uint64_t version);

/** The instance's row is gone. */
void roster_remove(struct roster *roster, const char *instance);

/** What matters for the choice of an instance. */
struct roster_choice {
    const char *service;
    const char *zone; /**< of the caller; preferred */
    /** True for a zone that is to get nothing. */
    bool (*zone_is_out)(void *ctx, const char *zone);
    void *ctx;
    const struct roster_instance *excluded[ROSTER_EXCLUDED_MAX];
    size_t excluded_count;
    int64_t now_us;
};

/** The instance from which an answer is expected soonest, or NULL. */
struct roster_instance *roster_choose(const struct roster *roster,
                                      const struct roster_choice *choice,
                                      struct random_state *random);

/** A request was sent to it, and has ended in whatever way. */
void roster_note_sent(struct roster_instance *instance, int64_t now_us);
void roster_note_ended(struct roster_instance *instance);

/** An answer, or a failure of the target, after took_us. */
void roster_note_result(struct roster_instance *instance, int64_t now_us,
                        int64_t took_us, bool failed);
void roster_note_load(struct roster_instance *instance, unsigned load,
                      bool cold);
/** It refused for want of room, which may come after wait_us. */
void roster_note_full(struct roster_instance *instance, int64_t now_us,
                      int64_t wait_us);
void roster_note_unreachable(struct roster_instance *instance, int64_t now_us);
void roster_note_reached(struct roster_instance *instance, int64_t now_us);

/** Instances that are there, with or without a target that serves. */
size_t roster_count(const struct roster *roster);

/** True if a's process started before b's; names decide between equals. */
bool roster_is_senior(const struct roster_notice *a,
                      const struct roster_notice *b);

/** How many instances accuse the request of having stopped their target. */
unsigned roster_accusers(const struct roster *roster, uint64_t fingerprint);

/** The row's text; free() it. */
char *roster_print(const struct roster_notice *notice);

/** Reads a row's text. False with err set if it is not valid. */
bool roster_parse(struct roster_notice *notice, const char *instance,
                  const char *text, size_t size, struct error *err);

#endif
