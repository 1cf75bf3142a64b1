/**
 * @file
 * Shared by the ingress modules: start and end of a request (ingress.c), its
 * attempts (ingressattempt.c), the message to instances (ingressmessage.c),
 * the answer (ingressanswer.c), API keys (ingresskey.c), quotas
 * (ingressquota.c) and the quarantine (ingresscrash.c).
 */
#ifndef CHESTNUTGAP_NODE_INGRESS_INTERNAL_H
#define CHESTNUTGAP_NODE_INGRESS_INTERNAL_H

#include <sys/queue.h>

#include "fleet/attemptlimit.h"
#include "fleet/instancechoice.h"
#include "http/httpserver.h"
#include "node/ingress.h"
#include "node/node_internal.h"
#include "node/quotatask.h"
#include "node/relaytask.h"

#define INGRESS_CONCURRENT_MAX 2 /* attempts at the same time */
/* Attempts of one request; most of them do not reach a target. */
#define INGRESS_ATTEMPTS_MAX 6

struct ingress_call;

/** One attempt: the request as sent to one instance. */
struct ingress_attempt {
    struct ingress_call *call;
    struct relay_call *relay_call; /**< NULL if this entry is free */
    struct instancetable_instance *instance;
    int64_t sent_us;
};

/** A caller's request that is not answered yet. */
struct ingress_call {
    LIST_ENTRY(ingress_call) link;
    struct ingress *ingress;
    struct http_request *http;
    struct relay_request message;
    struct relay_limit known_limit; /**< of the message, if it has one */
    char *path;                     /**< and query */
    char service[DECLARED_NAME_MAX + 1];
    char workspace[DECLARED_NAME_MAX + 1]; /**< of the caller, or empty */
    const char *id; /**< given by the caller, or empty */
    struct attemptlimit limit;
    unsigned attempt_count;
    bool may_have_run;
    bool hedged;
    bool waiting; /**< for an owner or an instance */
    bool timed_out;
    int64_t started_us;
    int64_t deadline_us;
    int64_t objective_deadline_us; /**< of the latency objective */
    int64_t objective_us;          /**< as declared */
    int64_t wait_until_us;
    /** Named by the former owner, or NULL. */
    struct instancetable_instance *owner;
    uint64_t owner_version;   /**< of the map that names it */
    enum relay_reason reason; /**< of the last failure */
    int64_t retry_after_us;
    const char *instance; /**< of the latest attempt */
    struct ingress_attempt attempts[INGRESS_CONCURRENT_MAX];
    struct instancetable_instance *excluded[INSTANCECHOICE_EXCLUDED_MAX];
    size_t excluded_count;
    struct retrybudget *budget; /**< of its service */
    struct quotatask_request quota;
    struct timer deadline;
    struct timer step; /**< end of a wait, or start of a hedge */
};

LIST_HEAD(ingress_calls, ingress_call);

/** Retry budget of one service. */
struct ingress_retry_budget {
    LIST_ENTRY(ingress_retry_budget) link;
    struct retrybudget budget;
    char service[DECLARED_NAME_MAX + 1];
};

LIST_HEAD(ingress_retry_budgets, ingress_retry_budget);

/** Requests refused for their API key, by reason. */
struct ingress_key_counters {
    struct counter *missing;
    struct counter *unknown;
    struct counter *stale; /* the configuration may lack a revocation */
};

#define INGRESS_CLEARED_MAX 256

struct ingress {
    struct node *node;
    struct ingress_calls calls;
    size_t count;
    bool withdrawing; /* see ingress_withdraw() */
    struct ingress_retry_budgets budgets;
    uint64_t cleared[INGRESS_CLEARED_MAX]; /* suspects since answered */
    size_t cleared_next;
    struct counter *requests;
    struct counter *answered;
    struct counter *refused;
    struct counter *unknown;
    struct counter *timeouts;
    struct counter *cancelled;
    struct counter *retries;
    struct counter *hedges;
    struct counter *over_quota;
    struct counter *quota_unknown;
    struct ingress_key_counters keys;
};

int64_t ingress_now_us(const struct ingress_call *call);

/** Refuses the request, as not run or with an unknown outcome. */
void ingress_give_up(struct ingress_call *call);
void ingress_free_call(struct ingress_call *call);

/* ingressattempt.c */

/** Sends the request, or waits for an owner or an instance. */
void ingressattempt_start(struct ingress_call *call);

/** Timer callback: a wait has ended, or a hedge is due. ctx is the call. */
void ingressattempt_step(void *ctx);

bool ingressattempt_is_pending(const struct ingress_call *call);

/* ingresskey.c */

void ingresskey_init(struct ingress_key_counters *counters,
                     struct counter_registry *registry);

/** Finds the workspace of the request's API key; NULL if none is needed.
 * @return false if the request was refused */
bool ingresskey_authorize(struct ingress *ingress,
                          struct http_request *request,
                          const struct wire_request *read,
                          const struct declared_route *route,
                          const struct declared_workspace **workspace);

/* ingresscrash.c */

/** Clears a reported request, since a target has answered it. */
void ingresscrash_clear(struct ingress *ingress, uint64_t fingerprint);

/** True if so many crashes were reported for the request that it must not be
 * sent to any target. */
bool ingresscrash_is_quarantined(const struct ingress *ingress,
                                 uint64_t fingerprint);

/* ingressquota.c */

/** Starts the request once it has a token of the workspace's quota; refuses
 * it if there is none. workspace may be NULL. */
void ingressquota_start(struct ingress_call *call,
                        const struct declared_workspace *workspace);

/* ingressmessage.c */

/** Fills in the message. Its strings belong to the caller's request. workspace
 * may be NULL. */
void ingressmessage_fill(struct ingress_call *call,
                         const struct wire_request *read,
                         const struct declared_route *route,
                         const struct declared_workspace *workspace);
void ingressmessage_clear(struct ingress_call *call);

/* ingressanswer.c */

void ingressanswer_forward(struct ingress_call *call,
                           const struct relay_reply *reply);

/** Answers the caller when no target has. */
void ingressanswer_refuse(struct ingress_call *call);

/** Answers a request for which no attempt was made. */
void ingressanswer_reject(struct ingress *ingress,
                          struct http_request *request,
                          enum wire_refusal_kind kind, int64_t retry_delay_us,
                          const char *reason);

#endif
