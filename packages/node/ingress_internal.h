/**
 * @file
 * What the modules of the callers' side share: the life of a request
 * (ingress.c), its sendings (ingresstry.c), its message (ingressmessage.c) and
 * its answer (ingressanswer.c).
 */
#ifndef CHESTNUTGAP_NODE_INGRESS_INTERNAL_H
#define CHESTNUTGAP_NODE_INGRESS_INTERNAL_H

#include <sys/queue.h>

#include "http/httpserver.h"
#include "node/ingress.h"
#include "node/node_internal.h"
#include "node/relaytask.h"

#define INGRESS_CONCURRENT_MAX 2 /* at the same time */
#define INGRESS_ATTEMPTS_MAX                                                  \
    6 /* sendings of one request, most of them unseen                         \
         by targets */

struct ingress_call;

/** One sending of a request. */
struct ingress_attempt {
    struct ingress_call *call;
    struct relay_call *sent; /**< NULL while the place is free */
    struct roster_instance *instance;
    int64_t sent_us;
};

/** A caller's request that is not answered. */
struct ingress_call {
    LIST_ENTRY(ingress_call) link;
    struct ingress *ingress;
    struct http_request *http;
    struct relay_request message;
    char *path; /**< and query */
    char service[DECLARED_NAME_MAX + 1];
    const char *id;        /**< the caller's, or empty */
    unsigned attempts_max; /**< targets that it may reach */
    unsigned reached;      /**< targets that it may have reached */
    unsigned tries;
    bool may_have_run;
    bool hedged;
    bool waits; /**< for an owner or an instance */
    bool timed_out;
    int64_t begun_us;
    int64_t deadline_us;
    int64_t due_us;       /**< an answer by then counts in full */
    int64_t objective_us; /**< whole, as declared */
    int64_t wait_until_us;
    struct roster_instance *owner; /**< as the former owner said, or NULL */
    enum relay_reason reason;      /**< of the last failure */
    int64_t retry_after_us;
    const char *instance; /**< that was tried last */
    struct ingress_attempt sends[INGRESS_CONCURRENT_MAX];
    struct roster_instance *excluded[ROSTER_EXCLUDED_MAX];
    size_t excluded_count;
    struct budget *budget; /**< of its service */
    struct timer deadline;
    struct timer step; /**< end of a wait, or a hedge */
};

LIST_HEAD(ingress_calls, ingress_call);

/** Budget for repeats to one service. */
struct ingress_retry_budget {
    LIST_ENTRY(ingress_retry_budget) link;
    struct budget budget;
    char service[DECLARED_NAME_MAX + 1];
};

LIST_HEAD(ingress_retry_budgets, ingress_retry_budget);

#define INGRESS_CLEARED_MAX 256

struct ingress {
    struct node *node;
    struct ingress_calls calls;
    size_t count;
    struct ingress_retry_budgets budgets;
    uint64_t cleared[INGRESS_CLEARED_MAX]; /* accused requests that were
                                              answered all the same */
    size_t cleared_next;
    struct counter *requests;
    struct counter *answered;
    struct counter *refused;
    struct counter *unknown;
    struct counter *timeouts;
    struct counter *cancelled;
    struct counter *retries;
    struct counter *hedges;
};

int64_t ingress_now_us(const struct ingress_call *call);

/** Gives the request up with what is known of it. */
void ingress_give_up(struct ingress_call *call);

/** Frees a call. It has been answered, or needs no answer. */
void ingress_free_call(struct ingress_call *call);

/* ingresstry.c */

/** Sends the request, or waits for an owner or an instance. */
void ingressattempt_start(struct ingress_call *call);

/** A wait has ended, or a hedge is due. ctx is the call. */
void ingressattempt_step(void *ctx);

/** True if a sending is under way. */
bool ingressattempt_is_pending(const struct ingress_call *call);

/* ingresscrash.c */

/** A request that was answered does not stop targets, whoever accused it
 * because it ran when one stopped. */
void ingresscrash_clear(struct ingress *ingress, uint64_t fingerprint);

/** True if enough instances accuse it of having stopped their target. */
bool ingresscrash_is_quarantined(const struct ingress *ingress,
                                 uint64_t fingerprint);

/** Fills in the message. Texts stay with the caller's request. */
void ingressmessage_fill(struct ingress_call *call,
                         const struct wire_request *read,
                         const struct declared_route *route);
void ingressmessage_clear(struct ingress_call *call);

/** Answers the caller with the target's answer. */
void ingressanswer_forward(struct ingress_call *call,
                           const struct relay_reply *reply);

/** Answers that there is no answer of a target. */
void ingressanswer_refuse(struct ingress_call *call);

/** Answers a request that never became a call. */
void ingressanswer_reject(struct ingress *ingress,
                          struct http_request *request,
                          enum wire_refusal_kind kind, int64_t retry_after_us,
                          const char *reason);

#endif
