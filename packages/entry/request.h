/**
 * @file
 * The life of one caller's request at the entry: which tries are sent to
 * which members, what the caller is told, and when. It has no sockets; its
 * owner does what the operations say and reports what happens.
 *
 * States and the events that lead on:
 *
 *     NEW      -> TRYING   a member was found
 *     NEW      -> WAITING  no owner or target is known
 *     NEW      -> DONE     refused at once
 *     WAITING  -> TRYING   a member was found
 *     WAITING  -> DONE     waited long enough, deadline, caller gone
 *     TRYING   -> WAITING  refused; another owner is needed
 *     TRYING   -> BACKOFF  refused or lost; to be repeated
 *     TRYING   -> DONE     answered, refused, lost, deadline, caller gone
 *     BACKOFF  -> TRYING   the time is over
 *     BACKOFF  -> WAITING  the time is over, no member is known
 *     BACKOFF  -> DONE     deadline, caller gone
 *
 * Any other step is reported through INVARIANT_REQUEST_STATE.
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

#define REQUEST_PARALLEL_ATTEMPTS_MAX 2 /* at the same time */
#define REQUEST_ATTEMPTS_MAX 8          /* over the whole request */
#define REQUEST_NO_ATTEMPT UINT32_MAX

enum request_state {
    REQUEST_NEW,
    REQUEST_WAITING,
    REQUEST_TRYING,
    REQUEST_BACKOFF,
    REQUEST_DONE,
    REQUEST_STATE_COUNT
};

/** What the request is. */
struct request_spec {
    uint32_t shard;       /**< of a keyed request */
    uint64_t fingerprint; /**< suspects_fingerprint() */
    int64_t deadline_us;
    bool keyed;
    bool idempotent;
    bool has_id; /**< the owner's gate remembers it */
    bool may_hedge;
};

/** How one try is to be sent. */
struct request_send {
    uint32_t number; /**< of the try, to be given back with its result */
    uint32_t member;
    uint64_t epoch; /**< of the owner as the entry knows it, or 0 */
    int64_t remaining_us;
    bool hedge;
    bool suspect;
};

/** What a gate replied to a try. */
struct request_reply {
    enum forward_outcome outcome;
    enum forward_reason reason;
    uint32_t retry_after_ms;
    uint32_t owner; /**< member named as the owner, or CHOICE_NO_MEMBER */
    uint64_t owner_epoch;
    const struct forward_load *load; /**< or NULL */
};

/** Why a try has no reply. */
enum request_failure {
    REQUEST_NOT_SENT, /**< no byte left, or no process took it */
    REQUEST_LOST,     /**< it may have been received */
};

/** What the caller is told. */
struct request_answer {
    enum forward_outcome outcome;
    enum forward_reason reason;
    uint32_t
        number; /**< try whose reply is the answer, or REQUEST_NO_ATTEMPT */
    uint32_t retry_after_ms;
};

struct request;

/** What the owner does. None may call back into the request. */
struct request_ops {
    /** Sends a try. Report with request_replied() or request_failed(). */
    void (*send)(void *ctx, struct request *request,
                 const struct request_send *send);
    /** Cancels a try; nothing more is reported of it. */
    void (*cancel)(void *ctx, struct request *request, uint32_t number);
    /** Answers the caller. Called at most once. */
    void (*answer)(void *ctx, struct request *request,
                   const struct request_answer *answer);
    /** Calls request_timer_expired() at due_us; replaces the earlier timer. */
    void (*set_timer)(void *ctx, struct request *request, int64_t due_us);
};

/** Owner of a shard as the entry knows it. CHOICE_NO_MEMBER if unknown. */
typedef uint32_t (*request_owner_cb)(void *ctx, uint32_t shard,
                                     uint64_t *epoch);

/** What the requests of one service at one entry share. */
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

/** NULL without memory. env must outlive the request. */
struct request *request_create(const struct request_env *env,
                               const struct request_spec *spec, void *data);

/** Must be done, or never started. */
void request_destroy(struct request *request);

/** The pointer given to request_create(). */
void *request_data(const struct request *request);

enum request_state request_state(const struct request *request);

/** Tries sent so far. */
uint32_t request_attempt_count(const struct request *request);

/** Whether a try was sent, and its outcome is not proved. */
bool request_outcome_is_unknown(const struct request *request);

/** The request has arrived. */
void request_start(struct request *request, int64_t now_us);

/** A try was replied to. Ignored if it had been cancelled. */
void request_replied(struct request *request, uint32_t number,
                     const struct request_reply *reply, int64_t now_us);

/** A try has failed. Ignored if it had been cancelled. */
void request_failed(struct request *request, uint32_t number,
                    enum request_failure failure, int64_t now_us);

/** The timer set last has expired. */
void request_timer_expired(struct request *request, int64_t now_us);

/** The caller has closed its connection. */
void request_caller_gone(struct request *request, int64_t now_us);

#endif
