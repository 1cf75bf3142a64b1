/**
 * @file
 * A service at one entry: its declaration, its members, and the retry and
 * hedge budgets that its requests share.
 */
#ifndef CHESTNUTGAP_DAEMON_ENTRYSERVICE_H
#define CHESTNUTGAP_DAEMON_ENTRYSERVICE_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "entry/request.h"
#include "membership/member.h"
#include "state/state.h"

/** Returns the owner of a shard by the shard map, or NULL. */
typedef const char *(*entryservice_owner_cb)(void *ctx, const char *service,
                                             uint32_t shard, uint64_t *epoch);

/** Kept when it is no longer declared, since requests may refer to it. */
struct entryservice {
    LIST_ENTRY(entryservice) link;
    struct state_service declared;
    struct choice *choice;
    struct retry retry;
    struct hedge hedge;
    struct request_env env;
    entryservice_owner_cb owner;
    void *owner_ctx;
};

struct entryservice_options {
    const char *zone; /**< of the entry */
    struct suspects *suspects;
    struct random_state *random;
    entryservice_owner_cb owner;
    void *owner_ctx;
    struct request_ops ops;
    void *ops_ctx;
};

/** Aborts if out of memory. */
struct entryservice *
entryservice_create(const struct entryservice_options *options,
                    const struct state_service *declared, int64_t now_us);
void entryservice_destroy(struct entryservice *service);

/** Applies the declaration and the budgets of limits. */
void entryservice_configure(struct entryservice *service,
                            const struct state_service *declared,
                            const struct state_limits *limits);

/** zone_out: the member's availability zone is out. */
void entryservice_update_member(struct entryservice *service,
                                const struct member *row, bool zone_out);

#endif
