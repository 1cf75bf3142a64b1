/**
 * @file
 * State of the placement unit, shared by the files that implement it.
 */
#ifndef CHESTNUTGAP_PLACEMENT_PLACER_INTERNAL_H
#define CHESTNUTGAP_PLACEMENT_PLACER_INTERNAL_H

#include "base/random.h"
#include "placement/balance.h"
#include "placement/placer.h"

#define PLAN_PERIOD_US INT64_C(20000)
#define CLAIM_PERIOD_US INT64_C(200000)
#define BALANCE_PERIOD_US INT64_C(1000000)
#define PROBE_PERIOD_US INT64_C(500000)
#define SCAN_RETRY_US INT64_C(500000)
#define IDLE_PERIOD_US INT64_C(50000) /* placer_run() at least this often */

struct placer {
    char instance[STATE_NAME_MAX + 1];
    char zone[STATE_NAME_MAX + 1];
    char service[STATE_NAME_MAX + 1];
    uint32_t shards;
    uint32_t evacuated_page; /* the latest, or beyond the last page */
    struct shardmap *map;
    struct placer_limits limits;
    struct peers *peers;
    struct ownedset *owned;
    struct offers *offers;
    struct pagewriter *writer;
    struct place_action_list actions;
    struct random_state random;
    struct placer_counts counts;

    bool confirmed;
    bool scanning;
    bool leaving;
    bool zone_out;
    bool cold;
    bool owners_gone; /* some owner was gone at the last look */
    uint64_t incarnation;
    uint64_t self_version;
    uint64_t registered; /* version of this incarnation's first row */
    int64_t confirmed_us;
    int64_t scan_due_us;
    int64_t lease_until_us;

    double cold_limit;

    uint64_t attempt;
    double mean; /* smoothed ratio of all members, 0: not known yet */
    double move_tokens;
    int64_t tokens_us;
    int64_t plan_due_us;
    int64_t claim_due_us;
    int64_t balance_due_us;
    int64_t probe_due_us;
    int64_t owners_due_us; /* owners are looked at again */
    int64_t now_us;        /* time of the current input */
};

/** Appends an action of a type. Aborts without memory. */
struct place_action *placer_add_action(struct placer *placer,
                                       enum place_action_type type);

/** Appends an action about a page unless the same one is queued. */
void placer_add_page_action(struct placer *placer, enum place_action_type type,
                            const char *peer, uint32_t page);

/** Page of an entry: that of its base for a single key. */
uint32_t placer_page_of(const struct placer *placer, uint32_t shard);

/** True if this instance may be given shards now. */
bool placer_accepts_shards(const struct placer *placer);

bool placer_lease_held(const struct placer *placer);

/** This instance's loads as the balance sees them. */
struct balance_view placer_view(const struct placer *placer);

/** @name placermove.c: moves of owned shards */
/**@{*/
void placer_start_move(struct placer *placer, struct owned *owned,
                       const char *receiver, const char *why);
void placer_resume(struct placer *placer, struct owned *owned);
void placer_move_ended(struct placer *placer, const struct change *change,
                       enum change_result result);
void placer_check_moves(struct placer *placer);
/**@}*/

/** @name placerown.c: entries of the map that concern this instance */
/**@{*/
void placer_entry_changed(void *ctx, const struct shardpage_entry *before,
                          const struct shardpage_entry *after);
void placer_adopt_all(struct placer *placer);
void placer_drop_all(struct placer *placer);
void placer_start_serving(struct placer *placer);
/**@}*/

/** @name placerplan.c: periodic decisions */
/**@{*/
void placer_plan(struct placer *placer);
void placer_balance(struct placer *placer);
/**@}*/

/** @name placerclaim.c: shards without a live owner */
/**@{*/
void placer_claim(struct placer *placer);
/**@}*/

#endif
