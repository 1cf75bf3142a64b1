#include "node/quotagranter.h"

#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "base/memory.h"
#include "fleet/quotagrants.h"
#include "fleet/quotahand.h"
#include "node/keyowner.h"
#include "node/node_internal.h"
#include "protocol/procedures.h"

/* Differs for each granter of a workspace. */
#define KEY_SEED(number) (0x71756f7461 + (uint64_t)(number))

struct quotagranter {
    struct node *node;
    struct quotagrants *grants;
    int64_t created_us;
    size_t instances_max; /* the most known at one time */
    struct counter *granted;
    struct counter *refused;
};

/** The service whose keys decide who grants: the first one with keys, in order
 * of name. NULL if there is none. */
static const struct declared_service *
find_service(const struct node *node)
{
    const struct declared_service *first = NULL;
    const size_t count =
        node->declared != NULL ? declared_service_count(node->declared) : 0;
    for (size_t i = 0; i < count; i++) {
        const struct declared_service *service =
            declared_service_at(node->declared, i);
        if (service->keyed &&
            (first == NULL || strcmp(service->name, first->name) < 0)) {
            first = service;
        }
    }
    return first;
}

static uint64_t
bucket_id(const char *workspace, unsigned number)
{
    return hash_bytes(workspace, strlen(workspace), KEY_SEED(number));
}

static uint32_t
granter_key(const char *workspace, unsigned number)
{
    return (uint32_t)(bucket_id(workspace, number) % DECLARED_KEY_COUNT);
}

enum quotagranter_place
quotagranter_find(const struct node *node, const char *workspace,
                  unsigned number,
                  const struct instancetable_instance **instance)
{
    const struct declared_service *service = find_service(node);
    *instance = NULL;
    if (service == NULL) {
        return QUOTAGRANTER_HERE;
    }
    const struct node_keymap *keys = node_find_keymap(node, service->name);
    if (keys == NULL) {
        return QUOTAGRANTER_UNKNOWN;
    }
    const struct keymap_segment *segment =
        keymap_find(&keys->map, granter_key(workspace, number));
    *instance =
        instancetable_find(&node->instancetable, segment->holder.instance);
    if (*instance == NULL) {
        return QUOTAGRANTER_UNKNOWN;
    }
    return strcmp(segment->holder.instance, node->settings.instance) == 0
               ? QUOTAGRANTER_HERE
               : QUOTAGRANTER_REMOTE;
}

/** Limit and tenure where each instance grants for itself. */
static void
fill_local(struct quotagranter *granter, struct quotagrants_request *request)
{
    const size_t known = instancetable_count(&granter->node->instancetable);
    if (known > granter->instances_max) {
        granter->instances_max = known;
    }
    const double instances =
        granter->instances_max > 0 ? (double)granter->instances_max : 1;
    request->tenure.since_us = granter->created_us;
    request->limit.rate_per_s /= instances;
    request->limit.burst /= instances;
}

/** Sets the tenure. @return false if this instance isn't the granter now */
static bool
fill_tenure(struct quotagranter *granter, const char *workspace,
            unsigned number, struct quotagrants_request *request)
{
    const struct node *node = granter->node;
    const struct declared_service *service = find_service(node);
    if (service == NULL) {
        fill_local(granter, request);
        return true;
    }
    return strcmp(service->name, node->settings.service) == 0 &&
           keyowner_find_tenure(node->keyowner, granter_key(workspace, number),
                                &request->tenure.fence,
                                &request->tenure.since_us);
}

struct quota_reply
quotagranter_take(struct quotagranter *granter, const char *workspace,
                  unsigned number, unsigned wanted)
{
    struct node *node = granter->node;
    struct quota_reply reply = {.outcome = QUOTA_NOT_GRANTER};
    if (node->declared == NULL) {
        return reply;
    }
    const struct declared_workspace *declared =
        declared_find_workspace(node->declared, workspace);
    if (declared == NULL || declared->rate_per_s <= 0) {
        /* The configuration that limits it isn't in force everywhere yet. */
        reply.outcome = QUOTA_UNLIMITED;
        return reply;
    }
    struct quotagrants_request request = {
        .bucket = bucket_id(workspace, number),
        .limit = {.rate_per_s = declared->rate_per_s / QUOTAHAND_GRANTERS,
                  .burst = declared->burst / QUOTAHAND_GRANTERS},
        .wanted = wanted,
    };
    if (!fill_tenure(granter, workspace, number, &request)) {
        return reply;
    }
    const struct quotagrants_reply taken =
        quotagrants_take(granter->grants, &request, node_now_us(node));
    if (taken.table_full) {
        return reply;
    }
    granter->granted->value += taken.granted;
    granter->refused->value += wanted - taken.granted;
    reply.outcome = QUOTA_GRANTED;
    reply.granted = taken.granted;
    reply.wait_us = (u_quad_t)taken.wait_us;
    return reply;
}

static void
serve_quota(void *ctx, struct rpc_request *request, const void *args)
{
    struct quotagranter *granter = ctx;
    const struct quota_request *asked = args;
    if (strcmp(asked->to, granter->node->settings.instance) != 0 ||
        asked->granter >= QUOTAHAND_GRANTERS ||
        asked->wanted > QUOTAHAND_WANTED_MAX) {
        rpc_request_drop(request);
        return;
    }
    const struct quota_reply reply = quotagranter_take(
        granter, asked->workspace, asked->granter, asked->wanted);
    rpc_request_reply(request, &reply);
}

struct quotagranter *
quotagranter_create(struct node *node)
{
    struct quotagranter *granter = memory_calloc(1, sizeof(*granter));
    struct counter_registry *counters = node->options.counters;
    const struct rpc_procedure procedure = {
        .number = PROCEDURE_QUOTA,
        .channel = RPC_TCP,
        .decode_args = (xdrproc_t)xdr_quota_request,
        .args_size = sizeof(struct quota_request),
        .encode_result = (xdrproc_t)xdr_quota_reply,
        .handle = serve_quota,
        .ctx = granter,
    };
    granter->node = node;
    granter->grants = quotagrants_create();
    granter->created_us = node_now_us(node);
    granter->granted =
        counter_add(counters, "quota_granted", "tokens of quotas granted");
    granter->refused = counter_add(counters, "quota_not_granted",
                                   "tokens of quotas asked for in vain");
    rpc_node_serve(node->rpc, &procedure);
    return granter;
}

void
quotagranter_destroy(struct quotagranter *granter)
{
    if (granter != NULL) {
        quotagrants_destroy(granter->grants);
        free(granter);
    }
}
