#include "node/bodyoffers.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LOG_MODULE "relay"
#include "base/log.h"
#include "base/memory.h"
#include "fleet/transferqueue.h"
#include "node/localgate.h"
#include "node/node_internal.h"
#include "protocol/procedures.h"

/* Adds some 50 ms to the way of small messages on a link of 10 Mbit/s. */
#define TRANSFER_MAX_BYTES ((size_t)64 << 10)
/* A body that has not arrived by then isn't sent any more. */
#define ARRIVAL_MAX_US (2 * US_PER_SECOND)

/** A body that waits, or may be sent. */
struct offer {
    struct transferqueue_transfer transfer; /* must be first: cast to it */
    LIST_ENTRY(offer) link;
    struct bodyoffers *offers;
    struct rpc_request *request; /* NULL once it is answered */
    struct timer timer;
    int64_t arrived_us;
    uint64_t process;
    char id[RELAY_TEXT_MAX + 1];
    char service[DECLARED_NAME_MAX + 1];
};

LIST_HEAD(offer_list, offer);

struct bodyoffers {
    struct node *node;
    struct transferqueue queue;
    struct offer_list list;
    struct counter *accepted;
    struct counter *refused;
};

static void
offer_free(struct offer *offer)
{
    timer_stop(&offer->timer);
    LIST_REMOVE(offer, link);
    free(offer);
}

static void
reply(struct bodyoffers *offers, struct rpc_request *request,
      enum relay_reason reason, int64_t retry_after_us)
{
    const struct localgate *gate = offers->node->gate;
    const struct relay_offered offered = {
        .accepted = reason == RELAY_REASON_NONE,
        .reason = reason,
        .retry_after_us = (u_quad_t)retry_after_us,
        .load = localgate_load(gate),
        .cold = localgate_is_cold(gate),
    };
    (offered.accepted ? offers->accepted : offers->refused)->value++;
    rpc_request_reply(request, &offered);
}

static void
accept_offer(struct offer *offer)
{
    struct rpc_request *request = offer->request;
    offer->request = NULL;
    timer_start(&offer->timer, ARRIVAL_MAX_US);
    reply(offer->offers, request, RELAY_REASON_NONE, 0);
}

/** Tells the sender when a body of that size would have arrived. */
static void
refuse_as_full(struct bodyoffers *offers, struct rpc_request *request,
               size_t size)
{
    reply(offers, request, RELAY_REASON_FULL,
          transferqueue_expected_us(&offers->queue, size));
}

/** Answers the offers whose turn has come. */
static void
run_queue(struct bodyoffers *offers)
{
    enum transferqueue_verdict verdict;
    struct transferqueue_transfer *transfer;
    while ((transfer =
                transferqueue_next(&offers->queue, node_now_us(offers->node),
                                   &verdict)) != NULL) {
        struct offer *offer = (struct offer *)transfer;
        if (verdict == TRANSFERQUEUE_START) {
            accept_offer(offer);
            continue;
        }
        struct rpc_request *request = offer->request;
        const size_t size = transfer->size;
        offer_free(offer);
        refuse_as_full(offers, request, size);
    }
}

/** The body will not arrive, or it waits no longer. */
static void
on_timer(void *ctx)
{
    struct offer *offer = ctx;
    struct bodyoffers *offers = offer->offers;
    struct rpc_request *request = offer->request;
    const size_t size = offer->transfer.size;
    transferqueue_abandon(&offers->queue, &offer->transfer,
                          node_now_us(offers->node));
    offer_free(offer);
    if (request != NULL) {
        refuse_as_full(offers, request, size);
    }
    run_queue(offers);
}

static struct offer *
offer_create(struct bodyoffers *offers, const struct relay_offer *asked)
{
    struct offer *offer = memory_calloc(1, sizeof(*offer));
    offer->offers = offers;
    offer->process = asked->process;
    offer->arrived_us = node_now_us(offers->node);
    offer->transfer.size = (size_t)asked->size;
    offer->transfer.deadline_us =
        node_now_us(offers->node) + (int64_t)asked->left_us;
    snprintf(offer->id, sizeof(offer->id), "%s", asked->id);
    snprintf(offer->service, sizeof(offer->service), "%s", asked->service);
    timer_init(&offer->timer, offers->node->runtime, on_timer, offer);
    LIST_INSERT_HEAD(&offers->list, offer, link);
    return offer;
}

static bool
is_valid(const struct bodyoffers *offers, const struct relay_offer *asked)
{
    return strcmp(asked->to, offers->node->settings.instance) == 0 &&
           asked->size <= RELAY_BODY_MAX &&
           asked->left_us <= RELAY_TIME_MAX_US;
}

static void
serve_offer(void *ctx, struct rpc_request *request, const void *args)
{
    struct bodyoffers *offers = ctx;
    const struct relay_offer *asked = args;
    int64_t retry_after_us = 0;
    if (!is_valid(offers, asked)) {
        reply(offers, request, RELAY_REASON_NO_TARGET, 0);
        return;
    }
    const enum relay_reason refusal =
        localgate_preview(offers->node->gate, asked->service,
                          (int64_t)asked->left_us, &retry_after_us);
    if (refusal != RELAY_REASON_NONE) {
        reply(offers, request, refusal, retry_after_us);
        return;
    }
    struct offer *offer = offer_create(offers, asked);
    offer->request = request;
    switch (transferqueue_offer(&offers->queue, &offer->transfer,
                                node_now_us(offers->node))) {
    case TRANSFERQUEUE_START:
        accept_offer(offer);
        break;
    case TRANSFERQUEUE_WAIT:
        rpc_request_set_data(request, offer);
        timer_start_at(&offer->timer, offer->transfer.deadline_us);
        break;
    case TRANSFERQUEUE_REFUSE:
        offer_free(offer);
        refuse_as_full(offers, request, (size_t)asked->size);
        break;
    }
}

/** Ends an offer that waits. @return its request, to be answered */
static struct rpc_request *
offer_take_request(struct offer *offer)
{
    struct bodyoffers *offers = offer->offers;
    struct rpc_request *request = offer->request;
    transferqueue_abandon(&offers->queue, &offer->transfer,
                          node_now_us(offers->node));
    offer_free(offer);
    return request;
}

void
bodyoffers_readmit(struct bodyoffers *offers)
{
    struct offer *offer = LIST_FIRST(&offers->list);
    while (offer != NULL) {
        struct offer *next = LIST_NEXT(offer, link);
        int64_t retry_after_us = 0;
        const enum relay_reason refusal =
            offer->request == NULL
                ? RELAY_REASON_NONE
                : localgate_preview(offers->node->gate, offer->service,
                                    offer->transfer.deadline_us -
                                        node_now_us(offers->node),
                                    &retry_after_us);
        if (refusal != RELAY_REASON_NONE) {
            reply(offers, offer_take_request(offer), refusal, retry_after_us);
        }
        offer = next;
    }
    run_queue(offers);
}

bool
bodyoffers_is_idle(const struct bodyoffers *offers)
{
    return LIST_EMPTY(&offers->list);
}

/** The sender has withdrawn a waiting offer. */
static void
serve_offer_cancelled(void *ctx, struct rpc_request *request)
{
    struct bodyoffers *offers = ctx;
    struct offer *offer = rpc_request_data(request);
    LOG_STEP(
        "offer_withdrawn", LOG_STR("id", offer->id),
        LOG_INT("after_ms",
                (node_now_us(offers->node) - offer->arrived_us) / US_PER_MS));
    offer_take_request(offer);
    rpc_request_drop(request);
    run_queue(offers);
}

struct bodyoffers *
bodyoffers_create(struct node *node)
{
    struct bodyoffers *offers = memory_calloc(1, sizeof(*offers));
    struct counter_registry *counters = node->options.counters;
    const struct rpc_procedure procedure = {
        .number = PROCEDURE_OFFER,
        .channel = RPC_TCP,
        .decode_args = (xdrproc_t)xdr_relay_offer,
        .args_size = sizeof(struct relay_offer),
        .encode_result = (xdrproc_t)xdr_relay_offered,
        .handle = serve_offer,
        .cancelled = serve_offer_cancelled,
        .ctx = offers,
    };
    offers->node = node;
    LIST_INIT(&offers->list);
    transferqueue_init(&offers->queue, TRANSFER_MAX_BYTES);
    offers->accepted = counter_add(counters, "body_offers_accepted",
                                   "large bodies that others could send");
    offers->refused = counter_add(counters, "body_offers_refused",
                                  "large bodies that others could not send");
    rpc_node_serve(node->rpc, &procedure);
    return offers;
}

void
bodyoffers_destroy(struct bodyoffers *offers)
{
    if (offers == NULL) {
        return;
    }
    struct offer *offer = LIST_FIRST(&offers->list);
    while (offer != NULL) {
        struct offer *next = LIST_NEXT(offer, link);
        if (offer->request != NULL) {
            rpc_request_drop(offer->request);
        }
        offer_free(offer);
        offer = next;
    }
    free(offers);
}

void
bodyoffers_arrived(struct bodyoffers *offers, uint64_t process, const char *id)
{
    struct offer *offer;
    LIST_FOREACH (offer, &offers->list, link) {
        if (offer->request == NULL && offer->process == process &&
            strcmp(offer->id, id) == 0) {
            break;
        }
    }
    if (offer != NULL) {
        transferqueue_arrived(&offers->queue, &offer->transfer,
                              node_now_us(offers->node));
        offer_free(offer);
        run_queue(offers);
    }
}
