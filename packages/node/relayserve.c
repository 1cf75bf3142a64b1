#include "node/relayserve.h"

#include <stdlib.h>
#include <sys/queue.h>

#include "base/memory.h"
#include "fleet/transittime.h"
#include "node/bodyoffers.h"
#include "node/localgate.h"
#include "node/node_internal.h"
#include "protocol/procedures.h"

#define BODY_COPIES 2 /* one is sent to the target */

/** A request of another instance. */
struct relayserve_request {
    LIST_ENTRY(relayserve_request) link;
    struct relayserve *relayserve;
    struct rpc_request *rpc;
    struct localgate_call *call;
    struct relay_request relayed; /* with times that are in range */
    struct memory_holder memory;
};

LIST_HEAD(relayserve_requests, relayserve_request);

struct relayserve {
    struct node *node;
    struct relayserve_requests requests;
    struct transittime *transit_times;
    struct bodyoffers *offers;
    struct counter *expired;
    struct counter *memory_refused;
};

/** Charges the budget for a request. @return false if memory is short */
static bool
request_charge(struct relayserve_request *request,
               const struct relay_request *args)
{
    struct node *node = request->relayserve->node;
    request->memory.purpose = MEMORY_REQUESTS;
    return node->settings.memory_mb == 0 ||
           memory_budget_set(&node->memory, &request->memory,
                             BODY_COPIES * (size_t)args->body.body_len,
                             node_now_us(node));
}

static void
request_free(struct relayserve_request *request)
{
    if (request->memory.bytes > 0) {
        memory_budget_release(&request->relayserve->node->memory,
                              &request->memory);
    }
    LIST_REMOVE(request, link);
    free(request);
}

static void
on_reply(void *ctx, const struct relay_reply *reply)
{
    struct relayserve_request *request = ctx;
    rpc_request_reply(request->rpc, reply);
    request_free(request);
}

/** Records the arrival of a request. @return how long it was in transit */
static int64_t
record_arrival(struct relayserve *relayserve, const struct relay_request *args)
{
    const int64_t transit_us =
        transittime_record(relayserve->transit_times, args->process,
                           args->sent_us, node_now_us(relayserve->node));
    if (transit_us >= (int64_t)args->left_us) {
        relayserve->expired->value++;
    }
    if (args->body.body_len >= BODYOFFERS_MIN_BYTES) {
        bodyoffers_arrived(relayserve->offers, args->process, args->id);
    }
    return transit_us;
}

/** Copies a request; times that no sender means become the nearest that one
 * may. */
static void
copy_in_range(struct relay_request *to, const struct relay_request *from)
{
    *to = *from;
    if (to->left_us > RELAY_TIME_MAX_US) {
        to->left_us = RELAY_TIME_MAX_US;
    }
    if (to->due_us > (quad_t)RELAY_TIME_MAX_US) {
        to->due_us = (quad_t)RELAY_TIME_MAX_US;
    }
    if (to->due_us < -(quad_t)RELAY_TIME_MAX_US) {
        to->due_us = -(quad_t)RELAY_TIME_MAX_US;
    }
}

static void
on_request(void *ctx, struct rpc_request *rpc, const void *args)
{
    struct relayserve *relayserve = ctx;
    struct localgate *gate = relayserve->node->gate;
    struct relayserve_request *request = memory_calloc(1, sizeof(*request));
    copy_in_range(&request->relayed, args);
    const int64_t transit_us = record_arrival(relayserve, &request->relayed);
    request->relayserve = relayserve;
    request->rpc = rpc;
    LIST_INSERT_HEAD(&relayserve->requests, request, link);
    if (!request_charge(request, args)) {
        relayserve->memory_refused->value++;
        on_reply(request, &(struct relay_reply){
                              .outcome = RELAY_NOT_RUN,
                              .reason = RELAY_REASON_FULL,
                              .owner = "",
                              .load = localgate_load(gate),
                          });
        return;
    }
    rpc_request_set_data(rpc, request);
    request->call = localgate_submit(gate, &request->relayed, transit_us,
                                     on_reply, request);
}

static void
on_cancelled(void *ctx, struct rpc_request *rpc)
{
    struct relayserve_request *request = rpc_request_data(rpc);
    (void)ctx;
    localgate_cancel(request->call);
    request_free(request);
    rpc_request_drop(rpc);
}

static void
on_withdrawn(void *ctx, struct rpc_request *rpc)
{
    struct relayserve_request *request = rpc_request_data(rpc);
    (void)ctx;
    localgate_withdraw(request->call);
}

void
relayserve_readmit(struct relayserve *relayserve)
{
    bodyoffers_readmit(relayserve->offers);
}

bool
relayserve_is_idle(const struct relayserve *relayserve)
{
    return LIST_EMPTY(&relayserve->requests) &&
           bodyoffers_is_idle(relayserve->offers);
}

struct relayserve *
relayserve_create(struct node *node)
{
    struct relayserve *relayserve = memory_calloc(1, sizeof(*relayserve));
    relayserve->node = node;
    LIST_INIT(&relayserve->requests);
    relayserve->transit_times = transittime_create();
    relayserve->offers = bodyoffers_create(node);
    relayserve->expired =
        counter_add(node->options.counters, "relay_expired",
                    "relayed requests that had no time left on arrival");
    relayserve->memory_refused =
        counter_add(node->options.counters, "relay_memory_refused",
                    "requests of other instances refused because memory was "
                    "short");
    rpc_node_serve(node->rpc, &(struct rpc_procedure){
                                  .number = PROCEDURE_RELAY,
                                  .channel = RPC_TCP,
                                  .decode_args = (xdrproc_t)xdr_relay_request,
                                  .args_size = sizeof(struct relay_request),
                                  .encode_result = (xdrproc_t)xdr_relay_reply,
                                  .handle = on_request,
                                  .cancelled = on_cancelled,
                                  .withdrawn = on_withdrawn,
                                  .ctx = relayserve,
                              });
    return relayserve;
}

void
relayserve_destroy(struct relayserve *relayserve)
{
    if (relayserve == NULL) {
        return;
    }
    struct relayserve_request *request = LIST_FIRST(&relayserve->requests);
    while (request != NULL) {
        struct relayserve_request *next = LIST_NEXT(request, link);
        request_free(request);
        request = next;
    }
    bodyoffers_destroy(relayserve->offers);
    transittime_destroy(relayserve->transit_times);
    free(relayserve);
}
