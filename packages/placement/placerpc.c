#include "placement/placetask_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "protocol/generated/move.h"
#include "protocol/procedures.h"

#define CALL_TIMEOUT_US (300 * US_PER_MS)

/* Fills the fields common to all calls. @return false if the peer's address is
 * not known. */
static bool
prepare_call(const struct placetask *task, const char *peer,
             struct member *row, struct rpc_call_spec *spec)
{
    if (!membertable_row(task->options.members, peer, row)) {
        return false;
    }
    spec->peer = &row->rpc;
    spec->channel = RPC_TCP;
    spec->timeout_us = CALL_TIMEOUT_US;
    return true;
}

static void
on_answer(void *ctx, enum rpc_status status, const void *result)
{
    struct place_operation *operation = ctx;
    struct placetask *task = operation->task;
    const struct move_answer *answer = result;
    const uint32_t shard = operation->action->shard;
    const uint64_t attempt = operation->action->attempt;
    place_operation_end(operation);
    placer_receiver_answered(task->placer, shard, attempt,
                             status == RPC_OK && answer->accepted,
                             placetask_now_us(task));
    placetask_run_actions(task);
}

/* Sends a call whose answer is passed to placer_receiver_answered(). */
static void
call_receiver(struct placetask *task, struct place_action *action,
              struct rpc_call_spec *spec)
{
    struct member row;
    if (!prepare_call(task, action->peer, &row, spec)) {
        placer_receiver_answered(task->placer, action->shard, action->attempt,
                                 false, placetask_now_us(task));
        place_action_destroy(action);
        return;
    }
    spec->decode_result = (xdrproc_t)xdr_move_answer;
    spec->result_size = sizeof(struct move_answer);
    spec->done = on_answer;
    spec->ctx = place_operation_start(task, action);
    rpc_call_start(task->options.node, spec);
}

void
placerpc_reserve(struct placetask *task, struct place_action *action)
{
    const struct move_reserve args = {
        .service = task->service,
        .from = (char *)task->options.instance,
        .weight = action->weight,
        .urgent = action->urgent,
    };
    struct rpc_call_spec spec = {
        .procedure = PROCEDURE_RESERVE,
        .encode_args = (xdrproc_t)xdr_move_reserve,
        .args = &args,
    };
    call_receiver(task, action, &spec);
}

void
placerpc_handover(struct placetask *task, struct place_action *action)
{
    const struct move_handover args = {
        .service = task->service,
        .from = (char *)task->options.instance,
        .incarnation = task->self.self.incarnation,
        .attempt = action->attempt,
        .shard = action->shard,
        .epoch = action->epoch,
        .weight = action->weight,
        .blob =
            {
                .blob_len = (u_int)action->blob_size,
                .blob_val = action->blob,
            },
    };
    struct rpc_call_spec spec = {
        .procedure = PROCEDURE_HANDOVER,
        .encode_args = (xdrproc_t)xdr_move_handover,
        .args = &args,
    };
    call_receiver(task, action, &spec);
}

static void
ignore_answer(void *ctx, enum rpc_status status, const void *result)
{
    (void)ctx;
    (void)status;
    (void)result;
}

/* Sets *text to the page's row as JSON, to be freed. @return its version. */
static uint64_t
page_text(const struct placetask *task, uint32_t number, char **text)
{
    struct shardpage page;
    const uint64_t version =
        shardmap_copy_page(task->map, task->service, number, &page);
    json_t *value = shardpage_to_json(&page);
    *text = json_dumps(value, JSON_COMPACT);
    json_decref(value);
    if (*text == NULL) {
        abort();
    }
    return version;
}

void
placerpc_publish(struct placetask *task, uint32_t number)
{
    char row[SHARDPAGE_ROW_NAME_SIZE];
    char *text;
    const uint64_t version = page_text(task, number, &text);
    shardpage_row_name(row, task->service, number);
    task->options.callbacks.published(task->options.callbacks.ctx, row,
                                      version, text);
    free(text);
}

void
placerpc_send_page(struct placetask *task, const char *peer, uint32_t number)
{
    struct member row;
    char *text;
    struct rpc_call_spec spec = {
        .procedure = PROCEDURE_ASSIGN,
        .encode_args = (xdrproc_t)xdr_move_assign,
        .decode_result = (xdrproc_t)xdr_move_answer,
        .result_size = sizeof(struct move_answer),
        .done = ignore_answer,
    };
    if (!prepare_call(task, peer, &row, &spec)) {
        return;
    }
    const uint64_t version = page_text(task, number, &text);
    const struct move_assign args = {.page_version = version, .page = text};
    spec.args = &args;
    rpc_call_start(task->options.node, &spec);
    free(text);
}

static void
fill_load(const struct placetask *task, struct move_load *load)
{
    bool cold;
    bool wants_load;
    placer_load_report(task->placer, placetask_now_us(task), &load->load,
                       &cold, &load->cold_limit, &wants_load);
    load->cold = cold;
    load->wants = wants_load;
    load->service = (char *)task->service;
    load->instance = (char *)task->options.instance;
}

static void
record_load(struct placetask *task, const struct move_load *load)
{
    if (strcmp(load->service, task->service) == 0) {
        placer_record_peer_load(task->placer, load->instance, load->load,
                                load->cold, load->cold_limit, load->wants,
                                placetask_now_us(task));
    }
}

static void
on_load(void *ctx, enum rpc_status status, const void *result)
{
    struct placetask *task = ctx;
    if (status == RPC_OK) {
        record_load(task, result);
        placetask_run_actions(task);
    }
}

void
placerpc_exchange_load(struct placetask *task, const char *peer)
{
    struct member row;
    struct move_load args;
    struct rpc_call_spec spec = {
        .procedure = PROCEDURE_PROBE,
        .encode_args = (xdrproc_t)xdr_move_load,
        .args = &args,
        .decode_result = (xdrproc_t)xdr_move_load,
        .result_size = sizeof(struct move_load),
        .done = on_load,
        .ctx = task,
    };
    if (!prepare_call(task, peer, &row, &spec)) {
        return;
    }
    spec.channel = RPC_UDP;
    fill_load(task, &args);
    rpc_call_start(task->options.node, &spec);
}

static bool
is_own_service(const struct placetask *task, const char *service)
{
    return task->placer != NULL && strcmp(service, task->service) == 0;
}

static void
reply_accepted(struct rpc_request *request, bool accepted)
{
    const struct move_answer answer = {.accepted = accepted};
    rpc_request_reply(request, &answer);
}

static void
handle_reserve(void *ctx, struct rpc_request *request, const void *data)
{
    struct placetask *task = ctx;
    const struct move_reserve *args = data;
    reply_accepted(request, is_own_service(task, args->service) &&
                                placer_receive_reservation(
                                    task->placer, args->weight, args->urgent,
                                    placetask_now_us(task)));
}

static void
handle_handover(void *ctx, struct rpc_request *request, const void *data)
{
    struct placetask *task = ctx;
    const struct move_handover *args = data;
    const struct handover_info offer = {
        .shard = args->shard,
        .epoch = args->epoch,
        .from = args->from,
        .incarnation = args->incarnation,
        .attempt = args->attempt,
        .weight = args->weight,
        .blob = args->blob.blob_val,
        .blob_size = args->blob.blob_len,
    };
    reply_accepted(request,
                   is_own_service(task, args->service) &&
                       placer_receive_handover(task->placer, &offer,
                                               placetask_now_us(task)));
}

static void
handle_assign(void *ctx, struct rpc_request *request, const void *data)
{
    const struct move_assign *args = data;
    const bool valid =
        placetask_apply_page(ctx, args->page, args->page_version);
    reply_accepted(request, valid);
}

static void
handle_probe(void *ctx, struct rpc_request *request, const void *data)
{
    struct placetask *task = ctx;
    const struct move_load *args = data;
    struct move_load answer;
    if (!is_own_service(task, args->service)) {
        rpc_request_drop(request);
        return;
    }
    record_load(task, args);
    fill_load(task, &answer);
    rpc_request_reply(request, &answer);
    placetask_run_actions(task);
}

void
placerpc_serve(struct placetask *task)
{
    const struct rpc_procedure procedures[] = {
        {
            .number = PROCEDURE_RESERVE,
            .channel = RPC_TCP,
            .decode_args = (xdrproc_t)xdr_move_reserve,
            .args_size = sizeof(struct move_reserve),
            .encode_result = (xdrproc_t)xdr_move_answer,
            .handle = handle_reserve,
            .ctx = task,
        },
        {
            .number = PROCEDURE_HANDOVER,
            .channel = RPC_TCP,
            .decode_args = (xdrproc_t)xdr_move_handover,
            .args_size = sizeof(struct move_handover),
            .encode_result = (xdrproc_t)xdr_move_answer,
            .handle = handle_handover,
            .ctx = task,
        },
        {
            .number = PROCEDURE_ASSIGN,
            .channel = RPC_TCP,
            .decode_args = (xdrproc_t)xdr_move_assign,
            .args_size = sizeof(struct move_assign),
            .encode_result = (xdrproc_t)xdr_move_answer,
            .handle = handle_assign,
            .ctx = task,
        },
        {
            .number = PROCEDURE_PROBE,
            .channel = RPC_UDP,
            .decode_args = (xdrproc_t)xdr_move_load,
            .args_size = sizeof(struct move_load),
            .encode_result = (xdrproc_t)xdr_move_load,
            .handle = handle_probe,
            .ctx = task,
        },
    };
    const size_t count = sizeof(procedures) / sizeof(procedures[0]);
    for (size_t i = 0; i < count; i++) {
        rpc_node_serve(task->options.node, &procedures[i]);
    }
}
