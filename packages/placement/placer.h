/**
 * @file
 * Decides about the shards of one service on behalf of one instance: which
 * it owns and serves, which it gives away and to whom, which of members that
 * are gone it places. A pure unit: inputs are calls with the time, outputs
 * are actions to be popped after each call.
 *
 * Owners are named by instance, not by incarnation. A new incarnation owns
 * what the pages still give to its instance, but only once it has read all
 * pages after its own members row was written: whoever placed a shard of the
 * earlier incarnation compared that row, so nothing can be taken later.
 */
#ifndef CHESTNUTGAP_PLACEMENT_PLACER_H
#define CHESTNUTGAP_PLACEMENT_PLACER_H

#include "placement/handovers.h"
#include "placement/ownedset.h"
#include "placement/pagewriter.h"
#include "placement/peers.h"
#include "placement/placeaction.h"
#include "placement/shardmap.h"

struct placer;

/** What does not change while a placer exists. */
struct placer_spec {
    const char *instance;
    const char *zone;
    const char *service;
    uint32_t shards;
    struct shardmap *map; /**< borrowed; the service is declared in it */
    uint64_t seed;
};

/** What operators declared. */
struct placer_limits {
    bool targets_check_grants;
    int64_t longest_request_us;
    unsigned moves_per_second;
    double capacity; /**< requests that the target runs at once */
};

/** Counts since the start. */
struct placer_counts {
    int64_t gained;
    int64_t lost;
    int64_t moves_started;
    int64_t moves_done;
    int64_t moves_given_up;
    int64_t replaced;
    int64_t claimed;
    int64_t splits;
    int64_t merges;
    double load_moved;
};

/** NULL when memory is short. */
struct placer *placer_create(const struct placer_spec *spec,
                             const struct placer_limits *limits,
                             int64_t now_us);
void placer_destroy(struct placer *placer);

/** Takes the next action, or NULL. Free it with place_action_destroy(). */
struct place_action *placer_next_action(struct placer *placer);

/** Time at which placer_run() has something to do. */
int64_t placer_due_us(const struct placer *placer);

/** Does what is due. */
void placer_run(struct placer *placer, int64_t now_us);

/** @name Inputs about this instance */
/**@{*/

void placer_set_limits(struct placer *placer,
                       const struct placer_limits *limits);

/** The members row of this instance was written. A new incarnation gives up
 * everything and reads all pages before it owns anything. */
void placer_set_own_row(struct placer *placer, uint64_t incarnation,
                        uint64_t version, int64_t now_us);

/** The lease is held until until_us, on the runtime's clock. */
void placer_set_lease(struct placer *placer, int64_t until_us);

/** This instance leaves: all shards are given away. */
void placer_set_leaving(struct placer *placer, bool leaving);

/** A zone was taken out or back. */
void placer_set_zone_out(struct placer *placer, const char *zone, bool out);

/** The target is in cold start and bears only limit requests. */
void placer_set_cold(struct placer *placer, bool cold, double limit);

/** Smoothed load of a shard, with its hottest key (hot_load 0: unknown). */
void placer_set_load(struct placer *placer, uint32_t shard, double load,
                     uint64_t hot_hash, double hot_load);
/**@}*/

/** @name Inputs about other members */
/**@{*/

void placer_update_member(struct placer *placer, const struct peer_info *info,
                          int64_t now_us);

/** A peer's load report, answered or sent. */
void placer_record_peer_load(struct placer *placer, const char *peer,
                             double load, bool cold, double cold_limit,
                             bool wants_load, int64_t now_us);

/** A reservation by the owner of a shard. @return true if accepted. */
bool placer_receive_reservation(struct placer *placer, double weight,
                                bool urgent, int64_t now_us);

/** A handover by the owner of a shard. @return true if accepted. */
bool placer_receive_handover(struct placer *placer,
                             const struct handover_info *info, int64_t now_us);
/**@}*/

/** @name Answers to actions, and pages */
/**@{*/

/** A committed page from any source. */
void placer_apply_page(struct placer *placer, const struct shardpage *page,
                       uint64_t version, int64_t now_us);

/** Answer to PLACE_SCAN_PAGES: all pages were given to placer_apply_page(), as
 * of the store's version as_of. */
void placer_pages_scanned(struct placer *placer, bool ok, uint64_t as_of,
                          int64_t now_us);

/** Answer to PLACE_COMMIT_PAGE. */
void placer_committed(struct placer *placer, uint64_t txn_id,
                      enum store_outcome outcome, uint64_t version,
                      int64_t now_us);

/** Answer to PLACE_READ_PAGE; page is NULL if the row is absent. */
void placer_page_read(struct placer *placer, uint32_t number, bool ok,
                      const struct shardpage *page, uint64_t version,
                      int64_t now_us);

/** Answer to PLACE_DRAIN_SHARD: nothing of the shard runs any more and the
 * target's grant is withdrawn. blob is copied. */
void placer_drained(struct placer *placer, uint32_t shard, const void *blob,
                    size_t blob_size, int64_t now_us);

/** Answer to PLACE_RESERVE and PLACE_HANDOVER. */
void placer_receiver_answered(struct placer *placer, uint32_t shard,
                              uint64_t attempt, bool accepted, int64_t now_us);
/**@}*/

/** @name Queries */
/**@{*/

/** True if the shard may be served now; the lease is included. */
bool placer_serves(const struct placer *placer, uint32_t shard, int64_t now_us,
                   uint32_t *epoch);

/** True if the shard admits nothing, but what has begun may be finished. */
bool placer_drains(const struct placer *placer, uint32_t shard, int64_t now_us,
                   uint32_t *epoch);

/** Shards owned, moving ones included. */
size_t placer_owned_count(const struct placer *placer);

/** True once this incarnation knows what it owns. */
bool placer_knows_ownership(const struct placer *placer);

/** This instance's load report. */
void placer_load_report(const struct placer *placer, int64_t now_us,
                        double *load, bool *cold, double *cold_limit,
                        bool *wants_load);

struct peers *placer_peers(const struct placer *placer);
struct placer_counts placer_counts(const struct placer *placer);
size_t placer_memory(const struct placer *placer);
/**@}*/

#endif
