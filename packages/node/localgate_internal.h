/**
 * @file
 * Shared by the gate modules: the calls (localgate.c), their admission
 * (gateadmit.c) and the HTTP calls to the target (gatesend.c).
 */
#ifndef CHESTNUTGAP_NODE_LOCALGATE_INTERNAL_H
#define CHESTNUTGAP_NODE_LOCALGATE_INTERNAL_H

#include <sys/queue.h>

#include "fleet/servicetimes.h"
#include "fleet/targetqueue.h"
#include "http/httpclient.h"
#include "node/gatecrash.h"
#include "node/gatenotice.h"
#include "node/localgate.h"
#include "node/node_internal.h"

enum call_state {
    CALL_REFUSED,    /* a timer answers it */
    CALL_AWAITS_KEY, /* until the key is granted or handed over */
    CALL_QUEUED,     /* for a free slot */
    CALL_SENT,
};

struct localgate_call {
    struct targetqueue_request
        queue_request; /* must be first: cast to the call */
    TAILQ_ENTRY(localgate_call) link;
    struct localgate *gate;
    const struct relay_request *request; /* NULL once cancelled */
    localgate_cb done;
    void *ctx;
    enum call_state state;
    enum relay_reason refusal;
    int64_t deadline_us;
    uint64_t fingerprint;
    uint64_t route;
    uint32_t key;
    bool keyed;
    bool suspect; /* may have crashed targets */
    bool counted; /* in its key's load */
    struct timer timer;
    int64_t arrived_us;
    int64_t sent_us;
    struct http_call *http;
    char id[RELAY_TEXT_MAX + 1];
};

TAILQ_HEAD(localgate_calls, localgate_call);

struct localgate {
    struct node *node;
    struct targetqueue *queue;
    struct gatenotice *notice;
    struct servicetimes servicetimes;
    struct localgate_calls calls;
    struct timer wake;
    struct gatecrash crash;
    bool serving_queue;
    struct counter *started;
    struct counter *refused;
    struct counter *cut;
    struct counter *shed;
    struct counter *rate_limited;
    int64_t rate_limited_us; /* latest refusal for the rate limit */
};

int64_t localgate_now_us(const struct localgate *gate);

/** Calls back with the reply and frees the call. */
void localgate_answer(struct localgate_call *call, struct relay_reply *reply);

/** Ends a call without an answer of the target. reached: the target received
 * the request. */
void localgate_fail(struct localgate_call *call, enum relay_outcome outcome,
                    enum relay_reason reason, bool reached);

/* gateadmit.c */

/** Sets the call's priority and deadlines in the queue. transit_us: how long
 * ago the request was sent. */
void gateadmit_set_deadlines(struct localgate_call *call,
                             const struct relay_request *request,
                             int64_t transit_us);

/** Starts, queues or refuses a call that is not in the queue. */
void gateadmit_call(struct localgate_call *call);

/** Refuses in the next iteration of the event loop. */
void gateadmit_refuse_later(struct localgate_call *call,
                            enum relay_reason reason);

/** Starts queued requests for which there are slots. */
void gateadmit_run_queue(struct localgate *gate);

/** Reevaluates all waiting calls after conditions have changed. */
void gateadmit_readmit_waiting(struct localgate *gate);

/* gatesend.c */

void gatesend_start(struct localgate_call *call);

/** Refuses the call if the target has not received any of it. */
void gatesend_on_latest_send(struct localgate_call *call);

#endif
