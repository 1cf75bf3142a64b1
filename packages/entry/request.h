/**
 * @file
 * State machine of one caller's request at the entry: decides which attempts
 * are sent to which members, and when the caller gets which answer. It does
 * no I/O: the user provides the operations and reports events.
 *
 * Transitions:
 *
 *     NEW      -> TRYING   a member was found
 *     NEW      -> WAITING  no owner or target is known
 *     NEW      -> DONE     refused at once
 *     WAITING  -> TRYING   a member was found
 *     WAITING  -> DONE     no member in time, deadline, caller gone
 *     TRYING   -> WAITING  refused; another owner is needed
 *     TRYING   -> BACKOFF  refused or lost; will be retried
 *     TRYING   -> DONE     answered, refused, lost, deadline, caller gone
 *     BACKOFF  -> TRYING   delay over
 *     BACKOFF  -> WAITING  delay over, no member is known
 *     BACKOFF  -> DONE     deadline, caller gone
 *
 * Any other transition is reported as INVARIANT_REQUEST_STATE.
 */
#ifndef CHESTNUTGAP_ENTRY_REQUEST_H
#define CHESTNUTGAP_ENTRY_REQUEST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/random.h"
#include "entry/choice.h"
#include "entry/hedge.h"
#include "entry/retry.h"
#include "gate/suspects.h"
#include "protocol/generated/forward.h"

#define REQUEST_PARALLEL_ATTEMPTS_MAX 2
#define REQUEST_ATTEMPTS_MAX 8
#define REQUEST_NO_ATTEMPT UINT32_MAX

enum request_state {
    REQUEST_NEW,
    REQUEST_WAITING,
    REQUEST_TRYING,
    REQUEST_BACKOFF,
    REQUEST_DONE,
    REQUEST_STATE_COUNT
};

/** Properties of a request. */
struct request_spec {
    uint32_t shard;       /**< if keyed */
    uint64_t fingerprint; /**< suspects_fingerprint() */
    int64_t deadline_us;
    bool keyed;
    bool idempotent;
    bool has_id; /**< the owner's gate records its execution */
    bool may_hedge;
};

/** An attempt to be sent. */
struct request_send {
    uint32_t number; /**< of the attempt; identifies its result */
    uint32_t member;
    uint64_t epoch; /**< the owner's, or 0 if unknown */
    int64_t remaining_us;
    bool hedge;
    bool suspect;
};

/** A gate's reply to an attempt. */
struct request_reply {
    enum forward_outcome outcome;
    enum forward_reason reason;
    uint32_t retry_after_ms;
    uint32_t owner; /**< member named as the owner, or CHOICE_NO_MEMBER */
    uint64_t owner_epoch;
    const struct forward_load *load; /**< or NULL */
};

/** Why an attempt has no reply. */
enum request_failure {
    REQUEST_NOT_SENT, /**< no byte sent, or no process accepted it */
    REQUEST_LOST,     /**< may have been received */
};

/** The answer to the caller. */
struct request_answer {
    enum forward_outcome outcome;
    enum forward_reason reason;
    uint32_t number; /**< of the answered attempt, or REQUEST_NO_ATTEMPT */
    uint32_t retry_after_ms;
};

struct request;

/** Provided by the user. None may call back into the request. */
struct request_ops {
    /** Sends an attempt; ends in request_replied() or request_failed(). */
    void (*send)(void *ctx, struct request *request,
                 const struct request_send *send);
    /** Cancels an attempt; its result need not be reported. */
    void (*cancel)(void *ctx, struct request *request, uint32_t number);
    /** Answers the caller. Called at most once. */
    void (*answer)(void *ctx, struct request *request,
                   const struct request_answer *answer);
    /** Calls request_timer_expired() at due_us; replaces the earlier timer. */
    void (*set_timer)(void *ctx, struct request *request, int64_t due_us);
};

/** Owner of a shard, or CHOICE_NO_MEMBER if the entry knows none. */
typedef uint32_t (*request_owner_cb)(void *ctx, uint32_t shard,
                                     uint64_t *epoch);

/** Shared by all requests for one service at one entry. */
struct request_env {
    struct choice *choice;
    struct retry *retry;
    struct hedge *hedge;
    struct suspects *suspects;
    struct random_state *random;
    request_owner_cb owner;
    void *owner_ctx;
    struct request_ops ops;
    void *ops_ctx;
};

/** NULL if out of memory. env must outlive the request. */
struct request *request_create(const struct request_env *env,
                               const struct request_spec *spec, void *data);

/** The request must be done, or never started. */
void request_destroy(struct request *request);

/** The pointer given to request_create(). */
void *request_data(const struct request *request);

enum request_state request_state(const struct request *request);

/** Attempts sent so far. */
uint32_t request_attempt_count(const struct request *request);

/** Whether an attempt was sent that is not proved not to have run. */
bool request_outcome_is_unknown(const struct request *request);

void request_start(struct request *request, int64_t now_us);

/** Reports a reply. Ignored if the attempt was cancelled. */
void request_replied(struct request *request, uint32_t number,
                     const struct request_reply *reply, int64_t now_us);

/** Reports a failed attempt. Ignored if it was cancelled. */
void request_failed(struct request *request, uint32_t number,
                    enum request_failure failure, int64_t now_us);

/** Call when the latest timer expires. */
void request_timer_expired(struct request *request, int64_t now_us);

/** Ends the request with an answer, as at its deadline. */
void request_end(struct request *request, int64_t now_us);

/** Call when the caller has closed its connection. */
void request_caller_gone(struct request *request, int64_t now_us);

#endif
