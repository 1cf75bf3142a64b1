/**
 * @file
 * Shard assignment of one service by one instance: which shards it owns and
 * serves, which it moves to other members, and which shards of members that
 * are gone it reassigns. Performs no I/O: inputs are calls with the time,
 * outputs are actions to be popped after each call.
 *
 * Owners are named by instance, not by incarnation. A new incarnation owns
 * the shards that the pages assign to its instance, but only once it has read
 * all pages after its own members row was written: a reassignment of a shard
 * of the earlier incarnation compares the previous version of that row, so it
 * can't be committed any more.
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

/** Fixed parameters of a placer. */
struct placer_spec {
    const char *instance;
    const char *zone;
    const char *service;
    uint32_t shards;
    struct shardmap *map; /**< borrowed; must contain the service */
    uint64_t seed;
};

/** Limits from the declared state. */
struct placer_limits {
    bool targets_check_grants;
    int64_t longest_request_us;
    unsigned moves_per_second;
    double capacity; /**< concurrent requests of the target */
};

/** Totals since creation. */
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

/** NULL if out of memory. */
struct placer *placer_create(const struct placer_spec *spec,
                             const struct placer_limits *limits,
                             int64_t now_us);
void placer_destroy(struct placer *placer);

/** Pops the next action, to be freed with place_action_destroy(), or NULL. */
struct place_action *placer_next_action(struct placer *placer);

/** Time of the next placer_run(). */
int64_t placer_due_us(const struct placer *placer);

/** Performs periodic work and timeouts. */
void placer_run(struct placer *placer, int64_t now_us);

/** @name Inputs about this instance */
/**@{*/

void placer_set_limits(struct placer *placer,
                       const struct placer_limits *limits);

/** Sets the written members row of this instance. A new incarnation drops all
 * shards and reads all pages before it owns any. */
void placer_set_own_row(struct placer *placer, uint64_t incarnation,
                        uint64_t version, int64_t now_us);

/** Sets the end of the lease, on the runtime's clock. */
void placer_set_lease(struct placer *placer, int64_t until_us);

/** A leaving instance moves all its shards away. */
void placer_set_leaving(struct placer *placer, bool leaving);

/** Takes a zone out or back in. */
void placer_set_zone_out(struct placer *placer, const char *zone, bool out);

/** Limits the capacity to limit requests while the target is in cold start. */
void placer_set_cold(struct placer *placer, bool cold, double limit);

/** Sets the smoothed load of a shard and of its hottest key (hot_load 0:
 * unknown). */
void placer_set_load(struct placer *placer, uint32_t shard, double load,
                     uint64_t hot_hash, double hot_load);
/**@}*/

/** @name Inputs about other members */
/**@{*/

void placer_update_member(struct placer *placer, const struct peer_info *info,
                          int64_t now_us);

/** Records a peer's load report. */
void placer_record_peer_load(struct placer *placer, const char *peer,
                             double load, bool cold, double cold_limit,
                             bool wants_load, int64_t now_us);

/** Handles a reservation for a shard of load weight. @return true if
 * accepted. */
bool placer_receive_reservation(struct placer *placer, double weight,
                                bool urgent, int64_t now_us);

/** Handles a handover by a shard's owner. @return true if accepted. */
bool placer_receive_handover(struct placer *placer,
                             const struct handover_info *info, int64_t now_us);
/**@}*/

/** @name Results of actions, and pages */
/**@{*/

/** Applies a committed page from any source. */
void placer_apply_page(struct placer *placer, const struct shardpage *page,
                       uint64_t version, int64_t now_us);

/** Result of PLACE_SCAN_PAGES, after all pages as of the store's version as_of
 * were passed to placer_apply_page(). */
void placer_pages_scanned(struct placer *placer, bool ok, uint64_t as_of,
                          int64_t now_us);

/** Result of PLACE_COMMIT_PAGE. */
void placer_committed(struct placer *placer, uint64_t txn_id,
                      enum store_outcome outcome, uint64_t version,
                      int64_t now_us);

/** Result of PLACE_READ_PAGE; page is NULL if the row is absent. */
void placer_page_read(struct placer *placer, uint32_t number, bool ok,
                      const struct shardpage *page, uint64_t version,
                      int64_t now_us);

/** Result of PLACE_DRAIN_SHARD: no request of the shard runs any more and the
 * target's grant is withdrawn. blob, the state to hand over, is copied. */
void placer_drained(struct placer *placer, uint32_t shard, const void *blob,
                    size_t blob_size, int64_t now_us);

/** Result of PLACE_RESERVE and PLACE_HANDOVER. */
void placer_receiver_answered(struct placer *placer, uint32_t shard,
                              uint64_t attempt, bool accepted, int64_t now_us);
/**@}*/

/** @name Queries */
/**@{*/

/** True if this instance may serve the shard now, i.e. also holds the lease.
 */
bool placer_serves(const struct placer *placer, uint32_t shard, int64_t now_us,
                   uint32_t *epoch);

/** True if the shard admits nothing, but may finish running requests. */
bool placer_drains(const struct placer *placer, uint32_t shard, int64_t now_us,
                   uint32_t *epoch);

/** Number of owned shards, moving ones included. */
size_t placer_owned_count(const struct placer *placer);

/** True once this incarnation has read all pages and owns its shards. */
bool placer_knows_ownership(const struct placer *placer);

/** Fills this instance's load report. */
void placer_load_report(const struct placer *placer, int64_t now_us,
                        double *load, bool *cold, double *cold_limit,
                        bool *wants_load);

struct peers *placer_peers(const struct placer *placer);
struct placer_counts placer_counts(const struct placer *placer);
size_t placer_memory(const struct placer *placer);
/**@}*/

#endif
