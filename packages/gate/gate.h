/**
 * @file
 * The way of one request through the gate: admission, duplicates, the
 * durable runs table and suspects, in the order that keeps "not run" true.
 * It has no sockets: the owner sends to the target and answers the entry.
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

/** How a request that was dispatched to the target ended. */
enum gate_result {
    GATE_RESULT_ANSWERED, /**< the whole answer is there */
    GATE_RESULT_SHED, /**< the target refused it unrun (503 with its mark) */
    GATE_RESULT_CONNECT_FAILED, /**< no connection; no byte was sent */
    GATE_RESULT_CUT, /**< the connection closed before the whole answer */
    GATE_RESULT_CANCELLED, /**< this side gave up: timeout, or lease lost */
};

enum gate_state {
    GATE_STATE_NEW,
    GATE_STATE_WAITING,    /**< for the running execution of the same id */
    GATE_STATE_RECORDING,  /**< for the runs table */
    GATE_STATE_QUEUED,     /**< for the target's capacity */
    GATE_STATE_DISPATCHED, /**< no byte sent yet */
    GATE_STATE_SENT,
    GATE_STATE_DELEGATED, /**< run by another instance's target */
    GATE_STATE_DONE,
};

/**
 * A request at the gate, embedded in its owner. Set the fields above state;
 * id may be empty and must stay valid.
 */
struct gate_request {
    struct admission_request admission;
    const char *id;
    uint32_t key; /**< shardmap_key_of() its key, or its id if un-keyed */
    uint64_t body_hash;
    bool may_delegate; /**< any target of the service may run it */
    enum gate_state state;
    bool answered; /**< the entry has its answer */
    struct dedup_waiter waiter;
    struct dedup_entry *entry; /* the id's entry, while it runs */
    struct executions_insert insert;
    bool recorded; /* its row is in the runs table */
};

/** What the entry is told. */
struct gate_answer {
    enum forward_outcome outcome;
    enum forward_reason reason;
    bool replayed; /**< the answer of another try with the same id */
    uint32_t retry_after_ms;
    const void *data; /**< with ANSWERED: as handed to gate_finish() */
    size_t size;
};

/** What the owner does. All are called within functions of this module. */
struct gate_ops {
    /** Connect and send; call gate_begin_send() just before the first byte. */
    void (*dispatch)(void *ctx, struct gate_request *request);
    /**
     * Forward a request with an id to another instance's gate, as neither
     * keyed nor with an id, and call gate_delegated() with its reply. This
     * gate goes on to remember the id. NULL if that is not done.
     */
    void (*delegate)(void *ctx, struct gate_request *request);
    /** Cancel at the target and close the connection; no gate_finish(). */
    void (*stop)(void *ctx, struct gate_request *request);
    /** Answer the entry. Called exactly once for each request unless it was
     * cancelled. */
    void (*answer)(void *ctx, struct gate_request *request,
                   const struct gate_answer *answer);
    /** The request has ended and was answered or cancelled: free it. */
    void (*done)(void *ctx, struct gate_request *request);
};

/** The gate of one target. */
struct gate;

/**
 * The parts are owned by the caller and outlive the gate. runs is NULL for
 * services that do not ask for the runs table; set its callback to
 * gate_on_execution_verdict with the gate as context.
 */
struct gate *gate_create(struct admission *admission, struct dedup *dedup,
                         struct runs *executions, struct suspects *suspects,
                         const struct gate_ops *ops, void *ctx);
void gate_destroy(struct gate *gate);

/** Sets the runs table, which needs the gate for its own creation. */
void gate_set_executions(struct gate *gate, struct runs *executions);

/** A request has arrived from an entry. */
void gate_arrive(struct gate *gate, struct gate_request *request,
                 const struct dedup_time *time);

/**
 * The first byte is about to be written.
 *
 * @return false if it must not be: the request has ended as not run.
 */
bool gate_begin_send(struct gate *gate, struct gate_request *request,
                     int64_t now_us);

/** The dispatched request has ended. data is the whole encoded answer. */
void gate_finish(struct gate *gate, struct gate_request *request,
                 enum gate_result end, unsigned status, const void *data,
                 size_t size, int64_t now_us);

/** How a delegated request ended at the other gate. */
struct gate_delegated {
    enum forward_outcome outcome;
    enum forward_reason reason;
    uint32_t retry_after_ms;
    unsigned status;
    const void *data; /**< with ANSWERED: the whole encoded answer */
    size_t size;
};

/** The other gate has replied, or (FORWARD_UNKNOWN) cannot be heard. */
void gate_delegated(struct gate *gate, struct gate_request *request,
                    const struct gate_delegated *result, int64_t now_us);

/**
 * The entry no longer waits. A non-idempotent request with an id that was
 * sent runs on, so that its answer is there when it is asked for again.
 */
void gate_cancel(struct gate *gate, struct gate_request *request,
                 int64_t now_us);

/** The deadline of the request has passed: the entry is told. */
void gate_expire(struct gate *gate, struct gate_request *request,
                 int64_t now_us);

/**
 * The target is known to have stopped or started anew: a connection was
 * refused, or it announces another incarnation.
 */
void gate_target_crashed(struct gate *gate, uint64_t crash_id, int64_t now_us);

/** Identifies the target's present run in crashes. */
void gate_set_incarnation(struct gate *gate, uint64_t crash_id);

/** Call every LIMIT_TICK_US. */
void gate_tick(struct gate *gate, int64_t now_us);

/** Serves the queue; for after a change of lease, zone or limit. */
void gate_dispatch_queued(struct gate *gate, int64_t now_us);

/** Verdict of the runs table; for executions_create(). */
void gate_on_execution_verdict(void *ctx, struct executions_insert *insert,
                               enum executions_verdict verdict);

#endif
