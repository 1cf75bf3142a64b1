/**
 * @file
 * State of a placer, shared by the files that implement it.
 */
#ifndef CHESTNUTGAP_PLACEMENT_PLACER_INTERNAL_H
#define CHESTNUTGAP_PLACEMENT_PLACER_INTERNAL_H

#include "base/random.h"
#include "base/timeunits.h"
#include "placement/placer.h"
#include "placement/rebalance.h"

#define EVACUATE_PERIOD_US (20 * US_PER_MS)
#define ASSIGN_PERIOD_US (200 * US_PER_MS)
#define REBALANCE_PERIOD_US (1 * US_PER_SECOND)
#define LOAD_EXCHANGE_PERIOD_US (500 * US_PER_MS)
#define SCAN_RETRY_US (500 * US_PER_MS)
#define IDLE_PERIOD_US (50 * US_PER_MS) /* between calls of placer_run() */

struct placer {
    char instance[STATE_NAME_MAX + 1];
    char zone[STATE_NAME_MAX + 1];
    char service[STATE_NAME_MAX + 1];
    uint32_t shards;
    uint32_t evacuated_page; /* last one evacuated, or beyond the last page */
    struct shardmap *map;
    struct placer_limits limits;
    struct peers *peers;
    struct ownedset *owned;
    struct handovers *handovers;
    struct pagewriter *writer;
    struct place_action_list actions;
    struct random_state random;
    struct placer_counts counts;

    bool ownership_known;
    bool scanning;
    bool leaving;
    bool zone_out;
    bool cold;
    bool owners_gone; /* some owner was gone at the last check */
    uint64_t incarnation;
    uint64_t own_row_version;
    uint64_t registered_version; /* version of this incarnation's first row */
    int64_t ownership_known_us;
    int64_t scan_due_us;
    int64_t lease_until_us;

    double cold_limit;

    uint64_t attempt;
    double mean_ratio; /* of all members, smoothed; 0: not known yet */
    double move_tokens;
    int64_t tokens_refilled_us;
    int64_t evacuate_due_us;
    int64_t assign_due_us;
    int64_t rebalance_due_us;
    int64_t load_exchange_due_us;
    int64_t owners_check_due_us;
    int64_t now_us; /* time of the current input */
};

/** Appends an action, with the other fields 0. Aborts if out of memory. */
struct place_action *placer_add_action(struct placer *placer,
                                       enum place_action_type type);

/** Appends an action about a page unless an equal one is queued. */
void placer_add_page_action(struct placer *placer, enum place_action_type type,
                            const char *peer, uint32_t page);

/** Page of a shard, or of a single key's base shard. */
uint32_t placer_page_of(const struct placer *placer, uint32_t shard);

/** True if this instance may get shards now. */
bool placer_accepts_shards(const struct placer *placer);

bool placer_lease_held(const struct placer *placer);

struct rebalance_view placer_rebalance_view(const struct placer *placer);

/** @name placermove.c: moves of owned shards */
/**@{*/
void placer_start_move(struct placer *placer, struct owned_shard *owned,
                       const char *receiver, const char *reason);
void placer_cancel_move(struct placer *placer, struct owned_shard *owned);
void placer_move_ended(struct placer *placer, const struct shardchange *change,
                       enum shardchange_result result);
void placer_check_move_timeouts(struct placer *placer);
/**@}*/

/** @name placerown.c: ownership of this instance's shards */
/**@{*/
void placer_entry_changed(void *ctx, const struct shardpage_entry *before,
                          const struct shardpage_entry *after);
void placer_gain_all(struct placer *placer);
void placer_drop_all(struct placer *placer);
void placer_start_serving(struct placer *placer);
/**@}*/

/** @name placerplan.c: periodic evacuation and rebalancing */
/**@{*/
void placer_evacuate(struct placer *placer);
void placer_rebalance(struct placer *placer);
/**@}*/

/** @name placerassign.c: shards whose owner is absent or gone */
/**@{*/
void placer_assign_unowned(struct placer *placer);
/**@}*/

#endif
