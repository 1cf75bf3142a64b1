/**
 * @file
 * Processes the requests for one target: admission, duplicate detection,
 * durable execution records and suspects. Their order guarantees that a
 * request answered as "not run" has not run. Does no I/O itself: the user
 * sends to the target and answers the entry through struct gate_ops.
 */
#ifndef CHESTNUTGAP_GATE_GATE_H
#define CHESTNUTGAP_GATE_GATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "gate/admission.h"
#include "gate/crash.h"
#include "gate/dedup.h"
#include "gate/executions.h"

/** The result of a request that was dispatched to the target. */
enum gate_result {
    GATE_RESULT_ANSWERED,       /**< the answer is complete */
    GATE_RESULT_SHED,           /**< 503 with TARGET_NOT_RUN_HEADER */
    GATE_RESULT_CONNECT_FAILED, /**< no byte was sent */
    GATE_RESULT_CUT,            /**< closed before the answer was complete */
    GATE_RESULT_CANCELLED,      /**< by this side: timeout or lease lost */
};

enum gate_state {
    GATE_STATE_NEW,
    GATE_STATE_WAITING,    /**< for the answer of a request with the same id */
    GATE_STATE_RECORDING,  /**< its execution, in the store */
    GATE_STATE_QUEUED,     /**< for capacity of the target */
    GATE_STATE_DISPATCHED, /**< no byte sent yet */
    GATE_STATE_SENT,
    GATE_STATE_DELEGATED, /**< to another instance's gate */
    GATE_STATE_DONE,
};

/**
 * A request at the gate, embedded in the user's struct. Set the fields above
 * state; id may be empty and must stay valid.
 */
struct gate_request {
    struct admission_request admission;
    const char *id;
    /** shardmap_key_shard() of its key, or of its id if not keyed. */
    uint32_t key;
    uint64_t body_hash;
    bool may_delegate; /**< any target of the service may run it */
    enum gate_state state;
    bool answered; /**< the entry was answered or cancelled it */
    struct dedup_waiter waiter;
    struct dedup_entry *entry; /* while it executes the id */
    struct executions_insert insert;
    bool recorded; /* its execution is recorded in the store */
};

/** The answer to the entry. */
struct gate_answer {
    enum forward_outcome outcome;
    enum forward_reason reason;
    bool replayed; /**< the answer of another attempt with the same id */
    uint32_t retry_after_ms;
    const void *data; /**< with ANSWERED: as passed to gate_finish() */
    size_t size;
};

/** Callbacks, all called from functions of this module. */
struct gate_ops {
    /** Sends to the target. Must call gate_begin_send() before the first
     * byte and gate_finish() at the end. */
    void (*dispatch)(void *ctx, struct gate_request *request);
    /**
     * Forwards the request to another instance's gate, without its key and
     * id, and calls gate_delegated() with the reply. This gate still detects
     * duplicates of the id. NULL if unsupported.
     */
    void (*delegate)(void *ctx, struct gate_request *request);
    /** Cancels at the target and closes the connection. Must not call
     * gate_finish(). */
    void (*stop)(void *ctx, struct gate_request *request);
    /** Answers the entry. Called once per request unless it was cancelled. */
    void (*answer)(void *ctx, struct gate_request *request,
                   const struct gate_answer *answer);
    /** The gate no longer uses the request: it can be freed. */
    void (*done)(void *ctx, struct gate_request *request);
};

struct gate;

/**
 * The arguments stay owned by the user and must outlive the gate. executions
 * is NULL for services without durable at-most-once; else its callback must be
 * gate_on_execution_verdict with the gate as context.
 */
struct gate *gate_create(struct admission *admission, struct dedup *dedup,
                         struct executions *executions,
                         struct suspects *suspects, const struct gate_ops *ops,
                         void *ctx);
void gate_destroy(struct gate *gate);

/** Sets executions, whose creation needs the gate as context. */
void gate_set_executions(struct gate *gate, struct executions *executions);

/** Handles a request that has arrived from an entry. */
void gate_arrive(struct gate *gate, struct gate_request *request,
                 const struct dedup_time *time);

/**
 * Checks for the last time whether the request may be sent.
 *
 * @return false if it must not be sent: it was refused and has ended
 */
bool gate_begin_send(struct gate *gate, struct gate_request *request,
                     int64_t now_us);

/** Ends a dispatched request. data is the complete encoded answer. */
void gate_finish(struct gate *gate, struct gate_request *request,
                 enum gate_result result, unsigned status, const void *data,
                 size_t size, int64_t now_us);

/** The result of a delegated request. */
struct gate_delegated {
    enum forward_outcome outcome;
    enum forward_reason reason;
    uint32_t retry_after_ms;
    unsigned status;
    const void *data; /**< with ANSWERED: the complete encoded answer */
    size_t size;
};

/** Ends a delegated request; as FORWARD_UNKNOWN if no reply arrived. */
void gate_delegated(struct gate *gate, struct gate_request *request,
                    const struct gate_delegated *result, int64_t now_us);

/**
 * Cancels the request for its entry. A non-idempotent request with an id that
 * was sent continues, so that a retry can get its answer.
 */
void gate_cancel(struct gate *gate, struct gate_request *request,
                 int64_t now_us);

/** Answers the entry that the deadline has passed, and cancels the request. */
void gate_expire(struct gate *gate, struct gate_request *request,
                 int64_t now_us);

/**
 * Handles a crash of the target that was detected outside the gate: a
 * connection was refused or the target announced another incarnation.
 */
void gate_target_crashed(struct gate *gate, uint64_t crash_id, int64_t now_us);

/** Sets the crash id for the target's current incarnation. */
void gate_set_incarnation(struct gate *gate, uint64_t crash_id);

/** Call every LIMIT_TICK_US. */
void gate_tick(struct gate *gate, int64_t now_us);

/** Dispatches queued requests. Call after a change of lease, zone or limit. */
void gate_dispatch_queued(struct gate *gate, int64_t now_us);

/** Callback for executions_create(). */
void gate_on_execution_verdict(void *ctx, struct executions_insert *insert,
                               enum executions_verdict verdict);

#endif
