#include "node/quotatask.h"

#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "base/memory.h"
#include "node/node_internal.h"
#include "node/quotagranter.h"
#include "protocol/procedures.h"

#define CALL_TIMEOUT_US (60 * US_PER_MS)
#define WAIT_MAX_US (150 * US_PER_MS)
#define RETRY_MIN_US (20 * US_PER_MS)
/* A granter without tokens isn't asked again sooner. */
#define EMPTY_MIN_US (5 * US_PER_MS)
#define SWEEP_INTERVAL_US (2 * US_PER_SECOND)
#define SLOTS_FIRST 64
#define WORKSPACES_MAX 131072

TAILQ_HEAD(request_list, quotatask_request);

struct quotatask_workspace {
    LIST_ENTRY(quotatask_workspace) link;
    struct quotatask *task;
    struct quotahand hand;
    struct request_list waiting;
    unsigned waiting_count;
    struct rpc_call *call; /* NULL: none in progress */
    unsigned granter;      /* that it asks */
    unsigned wanted;
    int64_t asked_us;
    uint64_t hash;
    char name[];
};

LIST_HEAD(workspace_list, quotatask_workspace);

struct quotatask {
    struct node *node;
    struct workspace_list *slots; /* by hash */
    size_t slot_count;            /* a power of two */
    size_t count;
    struct timer sweep;
    struct counter *calls;
    struct counter *failed;
};

static struct workspace_list *
slot_of(const struct quotatask *task, uint64_t hash)
{
    return &task->slots[hash & (task->slot_count - 1)];
}

static void
workspace_free(struct quotatask_workspace *workspace)
{
    if (workspace->call != NULL) {
        rpc_call_cancel(workspace->call);
    }
    LIST_REMOVE(workspace, link);
    workspace->task->count--;
    free(workspace);
}

static void
on_sweep(void *ctx)
{
    struct quotatask *task = ctx;
    const int64_t now_us = node_now_us(task->node);
    for (size_t i = 0; i < task->slot_count; i++) {
        struct quotatask_workspace *workspace = LIST_FIRST(&task->slots[i]);
        while (workspace != NULL) {
            struct quotatask_workspace *next = LIST_NEXT(workspace, link);
            if (quotahand_is_idle(&workspace->hand, now_us) &&
                workspace->call == NULL && workspace->waiting_count == 0) {
                workspace_free(workspace);
            }
            workspace = next;
        }
    }
    if (task->count > 0) {
        timer_start(&task->sweep, SWEEP_INTERVAL_US);
    }
}

static void
grow(struct quotatask *task)
{
    struct workspace_list *former = task->slots;
    const size_t former_count = task->slot_count;
    task->slot_count *= 2;
    task->slots = memory_calloc(task->slot_count, sizeof(*task->slots));
    for (size_t i = 0; i < former_count; i++) {
        struct quotatask_workspace *workspace;
        while ((workspace = LIST_FIRST(&former[i])) != NULL) {
            LIST_REMOVE(workspace, link);
            LIST_INSERT_HEAD(slot_of(task, workspace->hash), workspace, link);
        }
    }
    free(former);
}

static struct quotatask_workspace *
add_workspace(struct quotatask *task, const char *name, uint64_t hash)
{
    if (task->count == WORKSPACES_MAX) {
        return NULL;
    }
    if (task->count == 0) {
        timer_start(&task->sweep, SWEEP_INTERVAL_US);
    }
    if (task->count == task->slot_count) {
        grow(task);
    }
    const size_t size = strlen(name) + 1;
    struct quotatask_workspace *workspace =
        memory_calloc(1, sizeof(*workspace) + size);
    memcpy(workspace->name, name, size);
    workspace->task = task;
    workspace->hash = hash;
    TAILQ_INIT(&workspace->waiting);
    /* Half of the instances prefer each granter. */
    quotahand_init(&workspace->hand,
                   hash_string(task->node->settings.instance) %
                       QUOTAHAND_GRANTERS);
    LIST_INSERT_HEAD(slot_of(task, hash), workspace, link);
    task->count++;
    return workspace;
}

static struct quotatask_workspace *
find_workspace(struct quotatask *task, const char *name)
{
    const uint64_t hash = hash_string(name);
    struct quotatask_workspace *workspace;
    LIST_FOREACH (workspace, slot_of(task, hash), link) {
        if (workspace->hash == hash && strcmp(workspace->name, name) == 0) {
            return workspace;
        }
    }
    return add_workspace(task, name, hash);
}

static void
record_reply(struct quotatask_workspace *workspace,
             const struct quota_reply *reply)
{
    struct quotahand *hand = &workspace->hand;
    const unsigned wanted = workspace->wanted;
    unsigned granted =
        reply->outcome == QUOTA_UNLIMITED ? wanted : reply->granted;
    int64_t empty_us = 0;
    if (reply->outcome == QUOTA_NOT_GRANTER) {
        workspace->task->failed->value++;
        quotahand_record_failure(hand, workspace->granter,
                                 node_now_us(workspace->task->node));
        return;
    }
    granted = granted < wanted ? granted : wanted;
    if (granted < wanted) {
        empty_us =
            reply->wait_us < INT64_MAX ? (int64_t)reply->wait_us : INT64_MAX;
        empty_us = empty_us > EMPTY_MIN_US ? empty_us : EMPTY_MIN_US;
    }
    quotahand_record_reply(hand, workspace->granter, granted, empty_us,
                           workspace->asked_us);
}

static void advance(struct quotatask_workspace *workspace);

static void
on_reply(void *ctx, enum rpc_status status, const void *result)
{
    struct quotatask_workspace *workspace = ctx;
    workspace->call = NULL;
    if (status == RPC_OK) {
        record_reply(workspace, result);
    }
    else {
        workspace->task->failed->value++;
        quotahand_record_failure(&workspace->hand, workspace->granter,
                                 node_now_us(workspace->task->node));
    }
    advance(workspace);
}

static void
call_granter(struct quotatask_workspace *workspace,
             const struct instancetable_instance *instance)
{
    struct quotatask *task = workspace->task;
    const struct quota_request request = {
        .to = (char *)instance->instance_row.instance,
        .workspace = workspace->name,
        .granter = workspace->granter,
        .wanted = workspace->wanted,
    };
    const struct rpc_call_spec spec = {
        .peer = &instance->instance_row.address,
        .channel = RPC_TCP,
        .procedure = PROCEDURE_QUOTA,
        .encode_args = (xdrproc_t)xdr_quota_request,
        .args = &request,
        .decode_result = (xdrproc_t)xdr_quota_reply,
        .result_size = sizeof(struct quota_reply),
        .timeout_us = CALL_TIMEOUT_US,
        .done = on_reply,
        .ctx = workspace,
    };
    task->calls->value++;
    workspace->call = rpc_call_start(task->node->rpc, &spec);
}

/** Asks a granter for tokens. @return false if its reply is to be waited for
 */
static bool
ask(struct quotatask_workspace *workspace, unsigned granter, unsigned waiting)
{
    struct node *node = workspace->task->node;
    const int64_t now_us = node_now_us(node);
    const struct instancetable_instance *instance;
    if (workspace->call != NULL) {
        return false;
    }
    workspace->granter = granter;
    workspace->asked_us = now_us;
    workspace->wanted = quotahand_wanted(&workspace->hand, waiting, now_us);
    switch (quotagranter_find(node, workspace->name, granter, &instance)) {
    case QUOTAGRANTER_HERE: {
        const struct quota_reply reply = quotagranter_take(
            node->quotagranter, workspace->name, granter, workspace->wanted);
        record_reply(workspace, &reply);
        return true;
    }
    case QUOTAGRANTER_REMOTE:
        call_granter(workspace, instance);
        return false;
    case QUOTAGRANTER_UNKNOWN:
        break;
    }
    quotahand_record_failure(&workspace->hand, granter, now_us);
    return true;
}

/** Takes a token, or asks for tokens; QUOTAHAND_ASK: a call is in progress. */
static enum quotahand_verdict
take(struct quotatask_workspace *workspace, unsigned waiting)
{
    enum quotahand_verdict verdict;
    unsigned granter = 0;
    do {
        verdict = quotahand_take(&workspace->hand,
                                 node_now_us(workspace->task->node), &granter);
    } while (verdict == QUOTAHAND_ASK && ask(workspace, granter, waiting));
    return verdict;
}

static void
set_retry(struct quotatask_request *request,
          struct quotatask_workspace *workspace,
          enum quotahand_verdict verdict)
{
    struct node *node = workspace->task->node;
    const int64_t now_us = node_now_us(node);
    if (verdict == QUOTAHAND_OVER) {
        request->retry_us = quotahand_assign_return_us(
            &workspace->hand, request->rate_per_s, now_us);
    }
    else {
        request->retry_us = quotahand_wait_us(&workspace->hand, now_us);
    }
    /* Callers that other instances refused don't return at the same moment. */
    request->retry_us += random_range(&node->random, 1, RETRY_MIN_US);
}

void
quotatask_cancel(struct quotatask_request *request)
{
    if (request->waiting_for != NULL) {
        timer_stop(&request->timer);
        TAILQ_REMOVE(&request->waiting_for->waiting, request, link);
        request->waiting_for->waiting_count--;
        request->waiting_for = NULL;
    }
}

static void
request_end(struct quotatask_request *request, enum quotahand_verdict verdict)
{
    struct quotatask_workspace *workspace = request->waiting_for;
    quotatask_cancel(request);
    if (verdict != QUOTAHAND_SEND) {
        set_retry(request, workspace, verdict);
    }
    request->done(request->ctx, verdict);
}

static void
advance(struct quotatask_workspace *workspace)
{
    struct quotatask_request *request;
    while ((request = TAILQ_FIRST(&workspace->waiting)) != NULL) {
        const enum quotahand_verdict verdict =
            take(workspace, workspace->waiting_count);
        if (verdict == QUOTAHAND_ASK) {
            return;
        }
        request_end(request, verdict);
    }
}

static void
on_wait_over(void *ctx)
{
    request_end(ctx, QUOTAHAND_UNAVAILABLE);
}

void
quotatask_init_request(struct quotatask *task,
                       struct quotatask_request *request,
                       void (*done)(void *ctx, enum quotahand_verdict verdict),
                       void *ctx)
{
    *request = (struct quotatask_request){.done = done, .ctx = ctx};
    timer_init(&request->timer, task->node->runtime, on_wait_over, request);
}

enum quotahand_verdict
quotatask_take(struct quotatask *task, struct quotatask_request *request,
               const struct declared_workspace *declared)
{
    struct quotatask_workspace *workspace =
        find_workspace(task, declared->name);
    request->rate_per_s = declared->rate_per_s;
    if (workspace == NULL) {
        request->retry_us = WAIT_MAX_US;
        return QUOTAHAND_UNAVAILABLE;
    }
    quotahand_record_demand(&workspace->hand, node_now_us(task->node));
    const enum quotahand_verdict verdict =
        take(workspace, workspace->waiting_count + 1);
    if (verdict == QUOTAHAND_ASK) {
        request->waiting_for = workspace;
        TAILQ_INSERT_TAIL(&workspace->waiting, request, link);
        workspace->waiting_count++;
        timer_start(&request->timer, WAIT_MAX_US);
    }
    else if (verdict != QUOTAHAND_SEND) {
        set_retry(request, workspace, verdict);
    }
    return verdict;
}

struct quotatask *
quotatask_create(struct node *node)
{
    struct quotatask *task = memory_calloc(1, sizeof(*task));
    struct counter_registry *counters = node->options.counters;
    task->node = node;
    task->slot_count = SLOTS_FIRST;
    task->slots = memory_calloc(task->slot_count, sizeof(*task->slots));
    timer_init(&task->sweep, node->runtime, on_sweep, task);
    task->calls =
        counter_add(counters, "quota_calls", "calls to granters of quotas");
    task->failed =
        counter_add(counters, "quota_calls_failed",
                    "requests for tokens that no granter answered in time");
    return task;
}

void
quotatask_destroy(struct quotatask *task)
{
    if (task == NULL) {
        return;
    }
    timer_stop(&task->sweep);
    for (size_t i = 0; i < task->slot_count; i++) {
        struct quotatask_workspace *workspace = LIST_FIRST(&task->slots[i]);
        while (workspace != NULL) {
            struct quotatask_workspace *next = LIST_NEXT(workspace, link);
            workspace_free(workspace);
            workspace = next;
        }
    }
    free(task->slots);
    free(task);
}
