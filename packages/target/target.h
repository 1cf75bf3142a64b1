/**
 * @file
 * The target of this instance: its announcement, requests to it, and orders
 * for grants, cancellation and draining. docs/TARGETS.md describes the same
 * for authors of targets.
 */
#ifndef CHESTNUTGAP_TARGET_TARGET_H
#define CHESTNUTGAP_TARGET_TARGET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/address.h"
#include "base/error.h"
#include "http/httpclient.h"
#include "http/httpheaders.h"
#include "target/announcement.h"

struct counter_registry;
struct runtime;

#define TARGET_SHARD_HEADER HTTP_PRIVATE_PREFIX "Shard"
#define TARGET_EPOCH_HEADER HTTP_PRIVATE_PREFIX "Epoch"
#define TARGET_EXPIRES_HEADER HTTP_PRIVATE_PREFIX "Grant-Expires-Us"
#define TARGET_DEADLINE_HEADER HTTP_PRIVATE_PREFIX "Deadline-Us"
#define TARGET_ID_HEADER HTTP_PRIVATE_PREFIX "Request-Id"
#define TARGET_NOT_RUN_HEADER HTTP_PRIVATE_PREFIX "Not-Run"

struct target;

/** A request to the target that is not finished. */
struct target_call;

/** What happened to the target. */
enum target_change {
    TARGET_ANNOUNCED, /**< the first announcement, also after a loss */
    TARGET_RESTARTED, /**< replaced by another incarnation */
    TARGET_UPDATED,   /**< same incarnation, other values (cold, slots) */
    TARGET_WITHDRAWN, /**< it asks to leave; drain it */
    TARGET_LOST,      /**< its process ended: connections are refused */
};

struct target_config {
    struct address announce_address; /**< port 0 picks a port */
    size_t body_max_bytes;           /**< of an answer; 0: default */
    /** Called at each change, after the announcement was stored. Calls that a
     * crash disconnected have ended before. */
    void (*changed)(void *ctx, enum target_change change);
    void *ctx;
};

/** Listens on the announce address. @return NULL with err set on failure */
struct target *target_create(struct runtime *runtime,
                             const struct target_config *config,
                             struct counter_registry *counters,
                             struct error *err);

/** Discards outstanding calls without callbacks. */
void target_destroy(struct target *target);

const struct address *target_announce_address(const struct target *target);

/** The current announcement, or NULL if there is no target. */
const struct announcement *target_current(const struct target *target);

/** Number of open connections, at most the declared maximum. */
unsigned target_connections(const struct target *target);

/* Requests. */

enum target_outcome {
    TARGET_ANSWERED,
    TARGET_NOT_RUN, /**< no byte was sent, or the target reports it */
    TARGET_UNKNOWN, /**< may have run */
};

/** Reason for an outcome without an answer. */
enum target_reason {
    TARGET_REASON_NONE,
    TARGET_REASON_NO_TARGET, /**< no target has announced itself */
    TARGET_REASON_CONNECT,   /**< the connection was refused or failed */
    TARGET_REASON_DEADLINE,
    TARGET_REASON_SHED,      /**< the target sheds load */
    TARGET_REASON_GRANT,     /**< the grant has expired or has a newer owner */
    TARGET_REASON_DRAINING,  /**< the target is leaving */
    TARGET_REASON_CUT,       /**< disconnected during the request */
    TARGET_REASON_MALFORMED, /**< the answer could not be parsed */
};

struct target_result {
    enum target_outcome outcome;
    enum target_reason reason;
    unsigned retry_after_ms; /**< 0: the target gave none */
    int64_t latency_us;      /**< from target_forward() on */
    unsigned status;         /**< if answered, like the fields below */
    const struct http_headers *headers;
    const void *body;
    size_t body_size;
};

typedef void (*target_done_cb)(void *ctx, const struct target_result *result);

/** A request to forward; all fields are copied. */
struct target_request {
    const char *method;
    const char *path; /**< with the query */
    const struct http_header *headers;
    size_t header_count;
    const void *body;
    size_t body_size;
    bool keyed; /**< send shard, epoch and grant_expires_us */
    uint32_t shard;
    uint64_t epoch;
    int64_t grant_expires_us; /**< on CLOCK_BOOTTIME */
    int64_t deadline_us;      /**< on CLOCK_BOOTTIME; the call ends then */
    const char *request_id;   /**< unique per execution, or NULL */
    /** Called just before the first byte is written, possibly within
     * target_forward(); may be NULL. If it returns false, nothing is sent
     * and the call ends later with TARGET_NOT_RUN. */
    http_may_send_cb may_send;
    target_done_cb done; /**< called once, never within target_forward() */
    void *ctx;
};

struct target_call *target_forward(struct target *target,
                                   const struct target_request *request);

/** True once a byte may have reached the target. */
bool target_call_is_sent(const struct target_call *call);

/** Cancels a call without a callback: closes its connection and, if it was
 * sent, orders the target to cancel the request. */
void target_call_cancel(struct target_call *call);

/* Orders. */

/** Ownership of a shard. */
struct target_grant {
    uint32_t shard;
    uint64_t epoch;
};

/** ok: the target confirmed the order. */
typedef void (*target_order_done_cb)(void *ctx, bool ok);

/** Grants shards until expires_us (CLOCK_BOOTTIME). With count 0, extends all
 * earlier grants. done may be NULL. */
void target_put_grants(struct target *target,
                       const struct target_grant *grants, size_t count,
                       int64_t expires_us, target_order_done_cb done,
                       void *ctx);

/** Revokes grants; ok means that no request under them starts any more. */
void target_delete_grants(struct target *target,
                          const struct target_grant *grants, size_t count,
                          target_order_done_cb done, void *ctx);

/** Orders the target to finish running requests and refuse new ones. */
void target_drain(struct target *target, target_order_done_cb done, void *ctx);

/** Health and load that the target reports; may be outdated or wrong. */
struct target_report {
    bool ok; /**< it answered */
    unsigned in_flight;
    unsigned queued;
    bool cold;
    bool draining;
};

typedef void (*target_report_cb)(void *ctx,
                                 const struct target_report *report);

/** Probes health and load. Detects a target whose process ended. */
void target_probe(struct target *target, target_report_cb done, void *ctx);

#endif
