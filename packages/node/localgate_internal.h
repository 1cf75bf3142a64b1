/**
 * @file
 * What the modules of the gate share: which requests run and when
 * (localgate.c), and the way to the target and back (gatesend.c).
 */
#ifndef CHESTNUTGAP_NODE_LOCALGATE_INTERNAL_H
#define CHESTNUTGAP_NODE_LOCALGATE_INTERNAL_H

#include <sys/queue.h>

#include "fleet/slots.h"
#include "fleet/worktimes.h"
#include "http/httpclient.h"
#include "node/gatecrash.h"
#include "node/localgate.h"
#include "node/node_internal.h"

/* Where a request is. */
enum call_state {
    CALL_REFUSED,    /* its answer is due */
    CALL_KEY_MOVING, /* its key is on its way */
    CALL_QUEUED,     /* in the slots' queue */
    CALL_SENT,
};

struct localgate_call {
    struct slots_entry entry; /* first: found by it */
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
    bool suspect; /* runs beside no other suspect */
    bool counted; /* as demand for its key */
    struct timer timer;
    int64_t arrived_us;
    int64_t sent_us;
    struct http_call *http;
    char id[RELAY_TEXT_MAX + 1];
};

TAILQ_HEAD(localgate_calls, localgate_call);

struct localgate {
    struct node *node;
    struct slots *slots;
    struct worktimes worktimes;
    struct localgate_calls calls;
    struct timer wake;
    struct gatecrash crash;
    bool pumping;
    struct counter *started;
    struct counter *refused;
    struct counter *cut;
    struct counter *shed;
};

int64_t localgate_now_us(const struct localgate *gate);

/** Answers and frees a call. */
void localgate_answer(struct localgate_call *call, struct relay_reply *reply);

/** Answers that the target gave no answer. reached: it got the request. */
void localgate_fail(struct localgate_call *call, enum relay_outcome outcome,
                    enum relay_reason reason, bool reached);

/** Serves the queue. */
void localgate_run_queue(struct localgate *gate);

/* gatesend.c */

/** Sends a call to the target. */
void gatesend_start(struct localgate_call *call);

#endif
