/**
 * @file
 * Calls between instances: requests for a target, loads of keys, moves and
 * promises.
 */
#ifndef CHESTNUTGAP_NODE_RELAYTASK_H
#define CHESTNUTGAP_NODE_RELAYTASK_H

#include <stdbool.h>
#include <stdint.h>

#include "fleet/instancetable.h"
#include "fleet/keymap.h"
#include "protocol/generated/relay.h"
#include "protocol/rpc.h"

struct node;
struct relaytask;

/** A request sent to an instance, which may be this one, without an answer
 * yet. */
struct relay_call;

/** reply is NULL unless status is RPC_OK. Never called within
 * relaytask_send(). */
typedef void (*relay_call_cb)(void *ctx, enum rpc_status status,
                              const struct relay_reply *reply);

/** The reason as one word, for logs and answers. */
const char *relaytask_reason(enum relay_reason reason);

/** Registers the procedures with the RPC node. Aborts if out of memory. */
struct relaytask *relaytask_create(struct node *node);
void relaytask_destroy(struct relaytask *relay);

/** request must stay valid until the callback or the cancellation. */
struct relay_call *
relaytask_send(struct relaytask *relay,
               const struct instancetable_instance *instance,
               const struct relay_request *request, int64_t timeout_us,
               relay_call_cb done, void *ctx);
/** False if no target has received the request, and none will once the call is
 * cancelled. */
bool relaytask_may_have_run(const struct relay_call *call);
void relaytask_cancel(struct relay_call *call);

/** Has the request refused where it waits, if it has not begun to run; the
 * callback tells. Only for requests that may have run. */
void relaytask_withdraw(struct relay_call *call);

/** What the request waits for, as one word, for logs. */
const char *relaytask_stage(const struct relay_call *call);

/** How an instance answered the request for a promise. */
enum relay_promise {
    RELAY_PROMISE_GIVEN,
    RELAY_PROMISE_DECLINED,
    RELAY_PROMISE_REFUSED_BY_HOST, /**< the connection was refused */
    RELAY_PROMISE_UNANSWERED,
};
#define RELAY_PROMISE_COUNT (RELAY_PROMISE_UNANSWERED + 1)

typedef void (*relay_promise_cb)(void *ctx, enum relay_promise promise);

/** Asks an instance for a promise not to take over this one's keys, which are
 * held under a lease of that version. */
void relaytask_request_promise(struct relaytask *relay, const char *instance,
                               uint64_t lease_version, relay_promise_cb done,
                               void *ctx);

/** loads is NULL if there was no answer. */
typedef void (*relay_loads_cb)(void *ctx, const char *instance,
                               const struct relay_loads *loads);

void relaytask_query_loads(struct relaytask *relay,
                           const struct instancetable_instance *instance,
                           relay_loads_cb done, void *ctx);

void relaytask_push_keymap(struct relaytask *relay, const char *instance,
                           const char *service, unsigned page,
                           uint64_t version, const char *text);

void relaytask_order_move(struct relaytask *relay,
                          const struct instancetable_instance *instance,
                          uint32_t first, uint32_t last,
                          const struct keymap_holder *to);

#endif
