/**
 * @file
 * Internals shared by the modules of the daemon.
 */
#ifndef CHESTNUTGAP_DAEMON_DAEMON_INTERNAL_H
#define CHESTNUTGAP_DAEMON_DAEMON_INTERNAL_H

#include "base/counter.h"
#include "base/random.h"
#include "base/runtime.h"
#include "daemon/configtask.h"
#include "daemon/daemon.h"
#include "daemon/entrytask.h"
#include "daemon/forwarder.h"
#include "daemon/gatetask.h"
#include "http/httpserver.h"
#include "membership/membertask.h"
#include "placement/placetask.h"
#include "protocol/rpc.h"
#include "spread/spreadtask.h"
#include "store/invariantlog.h"
#include "store/storehttp.h"
#include "target/target.h"

/** Phase of a graceful shutdown. */
enum daemon_phase {
    DAEMON_SERVING,
    DAEMON_DRAINING,  /**< shards are moved, requests are finished */
    DAEMON_FINISHING, /**< the member row is written as left */
};

struct daemon {
    struct settings settings;
    struct runtime *runtime;
    struct counter_registry *counters;
    struct random_state random;
    struct rpc_node *node;
    struct store_http *store_http;
    struct store store;
    struct http_server *http;
    struct target *target;
    struct suspects *suspects;
    struct membertask *members;
    struct configtask *config;
    struct gatetask *gate;
    struct forwarder *forwarder;
    struct entrytask *entry;
    struct placetask *placement;
    struct spreadtask *spread;
    struct invariantlog *invariantlog;
    struct timer report_timer;
    struct member self; /* as announced to other members */
    enum daemon_phase phase;
    bool target_withdrew; /* told to drain at the end */
    struct timer drain_timer;
    int64_t drain_deadline_us;
};

#define DAEMON_PAGES_PREFIX "/chestnutgap/"

/** Answers a request whose path starts with DAEMON_PAGES_PREFIX. */
void statuspages_handle(struct daemon *daemon, struct http_request *request);

/** Callbacks of the tasks; ctx is the daemon. */
extern const struct membertask_callbacks daemonevents_membership;
extern const struct placetask_callbacks daemonevents_placement;
void daemonevents_config(void *ctx, uint64_t revision,
                         const struct state *state);
void daemonevents_target(void *ctx, enum target_change change);
enum admission_ownership daemonevents_ownership(void *ctx, uint32_t shard,
                                                uint64_t *epoch);
const char *daemonevents_find_own_owner(void *ctx, uint32_t shard,
                                        uint64_t *epoch);
const char *daemonevents_find_owner(void *ctx, const char *service,
                                    uint32_t shard, uint64_t *epoch);
bool daemonevents_find_shard(void *ctx, const char *service, const void *key,
                             size_t key_size, uint32_t *shard);
void daemonevents_shard_idle(void *ctx, uint32_t shard);
void daemonevents_target_cut(void *ctx);
void daemonevents_owner_hint(void *ctx, const char *service, uint32_t shard,
                             const char *owner, uint64_t epoch);
struct delegate *daemonevents_delegate(void *ctx,
                                       const struct forward_request *request,
                                       int64_t timeout_us,
                                       forwarder_done_cb done, void *done_ctx);

/** Starts to report shard loads and suspects each second. */
void daemonevents_start_reports(struct daemon *daemon);

/** Implements daemon_shut_down(). */
void shutdown_begin(struct daemon *daemon);

#endif
