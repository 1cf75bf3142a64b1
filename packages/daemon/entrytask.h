/**
 * @file
 * Task of the entry: receives callers' HTTP requests, finds the service, key
 * and owner or a target, and drives each request's state machine.
 */
#ifndef CHESTNUTGAP_DAEMON_ENTRYTASK_H
#define CHESTNUTGAP_DAEMON_ENTRYTASK_H

#include <stddef.h>
#include <stdint.h>

#include "daemon/entryservice.h"
#include "http/httpserver.h"
#include "membership/member.h"
#include "state/state.h"

struct counter_registry;
struct membertable;
struct forwarder;
struct runtime;
struct suspects;
struct entrytask;

/** Finds the shard of a key. @return false if it is unknown */
typedef bool (*entrytask_shard_cb)(void *ctx, const char *service,
                                   const void *key, size_t key_size,
                                   uint32_t *shard);

struct entrytask_options {
    struct runtime *runtime;
    struct counter_registry *counters;
    struct forwarder *forwarder;
    struct suspects *suspects;
    const struct membertable *members;
    const char *zone;      /**< of this instance */
    unsigned requests_max; /**< callers' requests in progress */
    uint64_t seed;
    entrytask_shard_cb shard;
    entryservice_owner_cb owner;
    /** Called when a gate has named the owner of a shard. */
    void (*hint)(void *ctx, const char *service, uint32_t shard,
                 const char *owner, uint64_t epoch);
    void *ctx;
};

/** Aborts if out of memory. The strings must outlive it. */
struct entrytask *entrytask_create(const struct entrytask_options *options);

/** Unanswered requests stay with the HTTP server. */
void entrytask_destroy(struct entrytask *entry);

void entrytask_handle(struct entrytask *entry, struct http_request *request);

/** The caller has closed its connection. */
void entrytask_cancelled(struct entrytask *entry,
                         struct http_request *request);

/** Sets the state in force, which must stay valid until the next call. */
void entrytask_set_state(struct entrytask *entry, const struct state *state);

/** Applies a member row to the services. */
void entrytask_update_member(struct entrytask *entry,
                             const struct member *row);

/** Returns a service that is or was declared, or NULL. */
struct entryservice *entrytask_service(const struct entrytask *entry,
                                       const char *name);

/** Answers all requests, as unknown unless it is certain that they have not
 * run. */
void entrytask_answer_all(struct entrytask *entry);

/** Number of requests in progress. */
size_t entrytask_count(const struct entrytask *entry);

#endif
