/* Commits for other instances, and by them. */
#include "node/rowcommit_internal.h"

#include <stdlib.h>
#include <string.h>

#define LOG_MODULE "rowcommit"
#include "base/jsontext.h"
#include "base/log.h"
#include "base/memory.h"
#include "node/feedrelay.h"
#include "node/relayrows.h"
#include "protocol/procedures.h"

#define PEERS_MAX 4 /* that are asked before the store itself */
#define PEER_ANSWER_SLACK_US (400 * US_PER_MS)

/* Calls to the instance that commits for its zone. */

static void
deliver_answer(struct rowcommit_call *call,
               const struct relay_committed *answer)
{
    static const enum rowstore_outcome outcomes[] = {
        [RELAY_COMMIT_DONE] = ROWSTORE_DONE,
        [RELAY_COMMIT_CONFLICT] = ROWSTORE_CONFLICT,
        [RELAY_COMMIT_REFUSED] = ROWSTORE_REFUSED,
        [RELAY_COMMIT_UNKNOWN] = ROWSTORE_UNKNOWN,
    };
    struct relayrows read;
    relayrows_read(&read, answer->rows.rows_val, answer->rows.rows_len);
    rowcommit_call_end(call, &(struct rowstore_result){
                                 .outcome = outcomes[answer->outcome],
                                 .version = answer->store_version,
                                 .rows = read.rows,
                                 .row_count = read.count,
                             });
    relayrows_clear(&read);
}

static void
on_peer_answer(void *ctx, enum rpc_status status, const void *result)
{
    struct rowcommit_call *call = ctx;
    const struct relay_committed *answer = result;
    call->peer_call = NULL;
    if (status == RPC_OK && (answer->outcome == RELAY_COMMIT_DONE ||
                             answer->outcome == RELAY_COMMIT_CONFLICT)) {
        deliver_answer(call, answer);
        return;
    }
    LOG_INFO("peer_commit_failed", LOG_STR("peer", call->peer),
             LOG_INT("status", status));
    feedrelay_record_peer_failure(call->commit->node->feeds, call->peer);
    const bool never_arrived =
        status == RPC_NOT_SENT || status == RPC_REFUSED_BY_HOST ||
        (status == RPC_OK && answer->outcome == RELAY_COMMIT_REFUSED);
    call->may_take_effect = call->may_take_effect || !never_arrived;
    call->peer_failures++;
    if (feedrelay_store_is_failing(call->commit->node->feeds) &&
        call->peer_failures < PEERS_MAX) {
        rowcommit_dispatch(call);
        return;
    }
    rowcommit_requeue(call);
}

static void
fill_parts(const struct rowcommit_call *call, relay_part *parts)
{
    for (size_t i = 0; i < call->count; i++) {
        const struct rowstore_write *part = &call->parts[i];
        parts[i] = (relay_part){
            .table = (char *)part->table,
            .key = (char *)part->key,
            .expected = part->expected,
            .check_only = part->check_only,
            .removes = part->value == NULL,
            .value = {(u_int)part->size, (char *)part->value},
        };
    }
}

void
rowcommitpeer_send(struct rowcommit_call *call,
                   const struct instancetable_instance *peer)
{
    struct rowcommit *commit = call->commit;
    relay_part parts[ROWCOMMIT_PARTS_MAX];
    memcpy(call->peer, peer->instance_row.instance, sizeof(call->peer));
    fill_parts(call, parts);
    const struct relay_commit request = {
        .to = call->peer,
        .soon = call->urgency == ROWCOMMIT_SOON,
        .parts = {(u_int)call->count, parts},
    };
    const struct rpc_call_spec spec = {
        .peer = &peer->instance_row.address,
        .channel = RPC_TCP,
        .procedure = PROCEDURE_COMMIT,
        .encode_args = (xdrproc_t)xdr_relay_commit,
        .args = &request,
        .decode_result = (xdrproc_t)xdr_relay_committed,
        .result_size = sizeof(struct relay_committed),
        .timeout_us = PEER_ANSWER_SLACK_US + rowcommit_delay_us(call->urgency),
        .done = on_peer_answer,
        .ctx = call,
    };
    rowcommit_call_move(call, &commit->sent);
    call->peer_call = rpc_call_start(commit->node->rpc, &spec);
}

/* Transactions of other instances. */

static void
on_served(void *ctx, const struct rowstore_result *result)
{
    static const relay_commit_outcome outcomes[] = {
        [ROWSTORE_DONE] = RELAY_COMMIT_DONE,
        [ROWSTORE_CONFLICT] = RELAY_COMMIT_CONFLICT,
        [ROWSTORE_REFUSED] = RELAY_COMMIT_REFUSED,
        [ROWSTORE_UNKNOWN] = RELAY_COMMIT_UNKNOWN,
        [ROWSTORE_HISTORY_GONE] = RELAY_COMMIT_UNKNOWN,
    };
    relay_row rows[ROWCOMMIT_PARTS_MAX];
    u_int count = 0;
    for (size_t i = 0; result->outcome == ROWSTORE_CONFLICT &&
                       i < result->row_count && i < ROWCOMMIT_PARTS_MAX;
         i++) {
        rows[count++] = relayrows_write(&result->rows[i]);
    }
    const struct relay_committed answer = {
        .outcome = outcomes[result->outcome],
        .store_version = result->version,
        .rows = {count, rows},
    };
    rpc_request_reply(ctx, &answer);
}

/** NULL only if the part removes its row: a decoded value without bytes has no
 * address. */
static const char *
part_value(const relay_part *part)
{
    if (part->removes) {
        return NULL;
    }
    return part->value.value_len > 0 ? part->value.value_val : "";
}

/** False if a name can't be that of a table or row of the store. */
static bool
has_valid_names(const struct relay_commit *asked)
{
    for (u_int i = 0; i < asked->parts.parts_len; i++) {
        const relay_part *part = &asked->parts.parts_val[i];
        if (!jsontext_is_valid(part->table) || !jsontext_is_valid(part->key)) {
            LOG_WARN("peer_commit_invalid", LOG_STR("table", part->table),
                     LOG_STR("row", part->key));
            return false;
        }
    }
    return true;
}

static void
serve_commit(void *ctx, struct rpc_request *request, const void *args)
{
    struct rowcommit *commit = ctx;
    const struct relay_commit *asked = args;
    struct rowstore_write parts[ROWCOMMIT_PARTS_MAX];
    const u_int count = asked->parts.parts_len;
    if (strcmp(asked->to, commit->node->settings.instance) != 0 ||
        count == 0 || count > ROWCOMMIT_PARTS_MAX) {
        rpc_request_drop(request);
        return;
    }
    if (feedrelay_store_is_failing(commit->node->feeds) ||
        !has_valid_names(asked)) {
        on_served(request,
                  &(struct rowstore_result){.outcome = ROWSTORE_REFUSED});
        return;
    }
    for (u_int i = 0; i < count; i++) {
        const relay_part *part = &asked->parts.parts_val[i];
        parts[i] = (struct rowstore_write){
            .table = part->table,
            .key = part->key,
            .expected = part->expected,
            .check_only = part->check_only,
            .value = part_value(part),
            .size = part->value.value_len,
        };
    }
    struct rowcommit_call *call =
        rowcommit_call_create(commit, parts, count, on_served, request);
    call->urgency = asked->soon ? ROWCOMMIT_SOON : ROWCOMMIT_LATER;
    rpc_request_set_data(request, call);
    rowcommit_plan_flush(commit, rowcommit_delay_us(call->urgency));
}

static void
serve_commit_cancelled(void *ctx, struct rpc_request *request)
{
    (void)ctx;
    rowcommit_call_free(rpc_request_data(request));
    rpc_request_drop(request);
}

void
rowcommitpeer_serve(struct rowcommit *commit)
{
    const struct rpc_procedure procedure = {
        .number = PROCEDURE_COMMIT,
        .channel = RPC_TCP,
        .decode_args = (xdrproc_t)xdr_relay_commit,
        .args_size = sizeof(struct relay_commit),
        .encode_result = (xdrproc_t)xdr_relay_committed,
        .handle = serve_commit,
        .cancelled = serve_commit_cancelled,
        .ctx = commit,
    };
    rpc_node_serve(commit->node->rpc, &procedure);
}

bool
rowcommitpeer_serves(const struct rowcommit_call *call)
{
    return call->done == on_served;
}
