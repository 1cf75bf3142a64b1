/**
 * @file
 * The task of the entry: takes callers' HTTP requests, finds the service,
 * key and owner or a target, and drives each request unit to its answer.
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

/** Finds the shard of a key. @return false if it is not known. */
typedef bool (*entrytask_shard_cb)(void *ctx, const char *service,
                                   const void *key, size_t key_size,
                                   uint32_t *shard);

struct entrytask_options {
    struct runtime *runtime;
    struct counter_registry *counters;
    struct forwarder *forwarder;
    struct suspects *suspects;
    const struct membertable *members;
    const char *zone;      /**< the own availability zone */
    unsigned requests_max; /**< callers' requests held at once */
    uint64_t seed;
    entrytask_shard_cb shard;
    entryservice_owner_cb owner;
    /** A gate named the owner of a shard. */
    void (*hint)(void *ctx, const char *service, uint32_t shard,
                 const char *owner, uint64_t epoch);
    void *ctx;
};

/** Aborts when memory is short. The strings must outlive it. */
struct entrytask *entrytask_create(const struct entrytask_options *options);

/** Requests that are not answered stay with the HTTP server. */
void entrytask_destroy(struct entrytask *entry);

/** Handles a caller's request. */
void entrytask_handle(struct entrytask *entry, struct http_request *request);

/** The caller of the request has gone. */
void entrytask_cancelled(struct entrytask *entry,
                         struct http_request *request);

/** Another declared state is in force; valid until the next call. */
void entrytask_set_state(struct entrytask *entry, const struct state *state);

/** A member's row became known. */
void entrytask_update_member(struct entrytask *entry,
                             const struct member *row);

/** What the entry knows of a declared service, or NULL. */
struct entryservice *entrytask_service(const struct entrytask *entry,
                                       const char *name);

/** Requests that are not answered yet. */
size_t entrytask_count(const struct entrytask *entry);

#endif
