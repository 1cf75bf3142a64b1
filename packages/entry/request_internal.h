/**
 * @file
 * Shared by the files of the request state machine.
 */
#ifndef CHESTNUTGAP_ENTRY_REQUEST_INTERNAL_H
#define CHESTNUTGAP_ENTRY_REQUEST_INTERNAL_H

#include "base/timeunits.h"
#include "entry/request.h"

#define NEVER_US INT64_MAX

struct request_attempt {
    struct choice_attempt choice;
    uint32_t number;
    bool active;
    bool hedge;
};

struct request {
    const struct request_env *env;
    struct request_spec spec;
    void *data;
    enum request_state state;
    struct request_attempt attempts[REQUEST_PARALLEL_ATTEMPTS_MAX];
    uint32_t active_count;
    uint32_t attempt_count;
    uint32_t retries;
    uint32_t redirects;
    uint32_t excluded[REQUEST_ATTEMPTS_MAX]; /* members */
    uint32_t excluded_count;
    bool outcome_unknown; /* an ended attempt may have run */
    bool suspect;         /* a target crashed while it ran */
    bool id_proved_new;   /* the owner's gate has never run its id */
    bool hedged;
    uint32_t named_owner; /* by a gate's refusal, or CHOICE_NO_MEMBER */
    uint64_t named_owner_epoch;
    int64_t wait_until_us; /* WAITING: refused after this */
    int64_t hedge_at_us;
    int64_t retry_at_us;          /* WAITING, BACKOFF: next attempt */
    struct request_reply refusal; /* the latest */
};

/** Changes the state; a transition that is not listed is reported. */
void request_move(struct request *request, enum request_state state);

/** Sets the timer to the next event of the current state. */
void request_set_timer(struct request *request);

/** NULL if no such attempt is under way. */
struct request_attempt *request_find_attempt(struct request *request,
                                             uint32_t number);

void request_end_attempt(struct request *request,
                         struct request_attempt *attempt, int64_t now_us,
                         enum choice_result result,
                         const struct forward_load *load);

void request_cancel_attempts(struct request *request, int64_t now_us);

/** Answers the caller and ends the request. */
void request_answer(struct request *request,
                    const struct request_answer *answer);

/** Ends the request without a target's answer. */
void request_give_up(struct request *request, enum forward_reason reason,
                     uint32_t retry_after_ms, int64_t now_us);

/** Whether another attempt cannot run the request a second time. */
bool request_may_send(const struct request *request);

void request_send(struct request *request, uint32_t member, uint64_t epoch,
                  bool hedge, int64_t now_us);

/** Waits until an owner or a target is known, for a limited time. */
void request_wait_for_member(struct request *request, int64_t now_us);

void request_schedule_hedge(struct request *request, int64_t now_us);

/** Sends an attempt to a member, or waits if there is none. */
void request_dispatch(struct request *request, int64_t now_us);

void request_exclude_member(struct request *request, uint32_t member);

#endif
