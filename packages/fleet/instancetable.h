/**
 * @file
 * Table of the known instances: the row that each writes to the store, and
 * the latency, load and failures observed here.
 */
#ifndef CHESTNUTGAP_FLEET_INSTANCETABLE_H
#define CHESTNUTGAP_FLEET_INSTANCETABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include "base/address.h"
#include "base/error.h"
#include "fleet/departures.h"
#include "fleet/instancenotice.h"
#include "fleet/keymap.h"

#define INSTANCETABLE_CRASH_SUSPECTS_MAX 64 /* reported by one instance */

/** Whether an instance's target accepts requests. */
enum instancetable_state {
    INSTANCETABLE_ABSENT,  /**< the instance knows no target */
    INSTANCETABLE_SERVING, /**< accepts requests */
    INSTANCETABLE_LEAVING, /**< the target or the instance is leaving */
};

/** What an instance reports about itself; one row of the store. */
struct instancetable_row {
    char instance[KEYMAP_NAME_MAX + 1];
    char zone[KEYMAP_NAME_MAX + 1];
    char service[KEYMAP_NAME_MAX + 1];
    char target[KEYMAP_NAME_MAX + 1];
    struct address address;    /**< for RPC from other instances */
    int64_t target_started_ms; /**< start of the target's incarnation */
    int64_t started_ms; /**< start of the instance's process, Unix time */
    unsigned slots;
    enum instancetable_state state;
    bool departed; /**< the target announced that it leaves */
    /** Fingerprints of requests that were running when the target stopped. */
    uint64_t crash_suspects[INSTANCETABLE_CRASH_SUSPECTS_MAX];
    size_t crash_suspect_count;
};

/** One instance; the fields below version are observed by this process. */
struct instancetable_instance {
    LIST_ENTRY(instancetable_instance) link;
    struct instancetable_row instance_row;
    uint64_t version;             /**< of the row */
    int64_t unreachable_until_us; /**< backoff after failed connections */
    unsigned unreachable_count;   /**< consecutive failures */
    int64_t overloaded_until_us;  /**< backoff after a refusal for overload */
    unsigned outstanding;         /**< own requests without a reply */
    int64_t unanswered_since_us;  /**< while any are outstanding: the last
                                   reply, or when the first was sent */
    unsigned reported_load;       /**< running and queued, from its reply */
    bool reported;                /**< reported_load is from a reply */
    int64_t reported_us;          /**< when that reply arrived */
    unsigned sent_since_report;   /**< own requests since that reply */
    int64_t service_us;           /**< smoothed latency of answers; 0: none */
    int64_t last_result_us;       /**< time of the last answer or failure */
    double failure_rate;          /**< smoothed share of failed requests */
    bool cold;                    /**< from its reply */
    struct instancenotice notice; /**< from its replies */
};

LIST_HEAD(instancetable_list, instancetable_instance);

struct instancetable {
    struct instancetable_list instances;
};

void instancetable_clear(struct instancetable *table);

struct instancetable_instance *
instancetable_find(const struct instancetable *table, const char *instance);

/** Stores a row unless a newer one is known. @return the instance */
struct instancetable_instance *
instancetable_update(struct instancetable *table,
                     const struct instancetable_row *row, uint64_t version);

/** Marks an instance as absent: its row was deleted. */
void instancetable_remove(struct instancetable *table, const char *instance);

/** A request was sent to the instance, or has ended with any outcome. */
void instancetable_record_sent(struct instancetable_instance *instance,
                               int64_t now_us);
void instancetable_record_ended(struct instancetable_instance *instance);

/** The target answered or failed after took_us. */
void instancetable_record_result(struct instancetable_instance *instance,
                                 int64_t now_us, int64_t took_us, bool failed);
void instancetable_record_load(struct instancetable_instance *instance,
                               int64_t now_us, unsigned load, bool cold);
/** It refused for overload and expects capacity after wait_us. */
void instancetable_record_overload(struct instancetable_instance *instance,
                                   int64_t now_us, int64_t wait_us);
void instancetable_record_unreachable(struct instancetable_instance *instance,
                                      int64_t now_us);
void instancetable_record_reached(struct instancetable_instance *instance,
                                  int64_t now_us);

/** That incarnation of its target leaves, whatever older rows say. */
void instancetable_record_departure(struct instancetable_instance *instance,
                                    const char *target, int64_t started_ms,
                                    int64_t now_us);

/** Number of known instances in any state. */
size_t instancetable_count(const struct instancetable *table);

/** True if a's process started before b's; ties are broken by name. */
bool instancetable_started_earlier(const struct instancetable_row *a,
                                   const struct instancetable_row *b);

/** Number of instances that report the request as a crash suspect. */
unsigned instancetable_crash_reporters(const struct instancetable *table,
                                       uint64_t fingerprint);

/** The row as JSON, with the departures (departures_to_json(); NULL: none),
 * which it releases; the user frees the text. NULL with err set if a text of
 * it isn't UTF-8. */
char *instancetable_print(const struct instancetable_row *row,
                          json_t *departures, struct error *err);

/** Parses a row's JSON. @return false with err set if it or the instance's
 * name is not valid */
bool instancetable_parse(struct instancetable_row *row, const char *instance,
                         const char *text, size_t size, struct error *err);

/** Records the departures in the text of a row that was parsed, and is in the
 * store. */
void instancetable_read_departures(const struct instancetable_row *row,
                                   const char *text, size_t size,
                                   struct departures *departures,
                                   int64_t now_us);

#endif
