#include "node/ownrow.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LOG_MODULE "ownrow"
#include "base/log.h"
#include "base/memory.h"
#include "node/localtarget.h"
#include "node/node_internal.h"
#include "node/rowcommit.h"

#define RETRY_DELAY_US (200 * US_PER_MS)

struct ownrow {
    struct node *node;
    struct timer retry;
    struct rowcommit_call *call;
    char key[KEYMAP_NAME_MAX + sizeof(NODE_INSTANCE_KEY)];
    char *stored_text;  /* in the store, or NULL */
    char *pending_text; /* of the write in progress */
    uint64_t crash_suspects[INSTANCETABLE_CRASH_SUSPECTS_MAX];
    size_t crash_suspect_count;
};

static void
on_retry(void *ctx)
{
    ownrow_update(ctx);
}

struct ownrow *
ownrow_create(struct node *node)
{
    struct ownrow *own = memory_calloc(1, sizeof(*own));
    own->node = node;
    snprintf(own->key, sizeof(own->key), NODE_INSTANCE_KEY "%s",
             node->settings.instance);
    timer_init(&own->retry, node->runtime, on_retry, own);
    return own;
}

void
ownrow_destroy(struct ownrow *own)
{
    if (own == NULL) {
        return;
    }
    timer_stop(&own->retry);
    if (own->call != NULL) {
        rowcommit_cancel(own->call);
    }
    free(own->stored_text);
    free(own->pending_text);
    free(own);
}

/** NULL if the row can't be printed. */
static char *
own_text(const struct ownrow *own)
{
    const struct node *node = own->node;
    struct instancetable_row instance_row = {.crash_suspect_count =
                                                 own->crash_suspect_count};
    memcpy(instance_row.crash_suspects, own->crash_suspects,
           sizeof(instance_row.crash_suspects));
    snprintf(instance_row.instance, sizeof(instance_row.instance), "%s",
             node->settings.instance);
    snprintf(instance_row.zone, sizeof(instance_row.zone), "%s",
             node->settings.zone);
    instance_row.address = node->settings.rpc;
    instance_row.started_ms = node->started_ms;
    localtarget_describe(node->target, &instance_row);
    if (node->stopping) {
        instance_row.state = INSTANCETABLE_LEAVING;
    }
    struct error err = {.code = ERROR_NONE};
    char *text = instancetable_print(
        &instance_row, localtarget_departures_json(node->target), &err);
    if (text == NULL) {
        LOG_ERR("row_unprintable", LOG_STR("target", instance_row.target),
                LOG_STR("error", error_text(err.code)));
    }
    return text;
}

static void
on_written(void *ctx, const struct rowstore_result *result)
{
    struct ownrow *own = ctx;
    struct node *node = own->node;
    own->call = NULL;
    if (result->outcome == ROWSTORE_DONE) {
        free(own->stored_text);
        own->stored_text = own->pending_text;
        own->pending_text = NULL;
        rowwatch_apply_row(node->fleet_watch,
                           &(struct rowstore_row){
                               .key = own->key,
                               .version = result->version,
                               .value = own->stored_text,
                               .size = strlen(own->stored_text),
                           });
        ownrow_update(own);
        return;
    }
    free(own->pending_text);
    own->pending_text = NULL;
    rowwatch_apply_conflict(node->fleet_watch, result, own->key);
    timer_start(&own->retry,
                result->outcome == ROWSTORE_CONFLICT ? 0 : RETRY_DELAY_US);
}

void
ownrow_update(struct ownrow *own)
{
    struct node *node = own->node;
    /* The row's version is unknown until the table was read. */
    if (own->call != NULL || rowwatch_version(node->fleet_watch) == 0) {
        return;
    }
    /* Without a target there is nothing to report yet, and each row costs
     * calls. */
    if (own->stored_text == NULL && !localtarget_is_present(node->target) &&
        !localtarget_has_unstored_departure(node->target) &&
        rowwatch_row_version(node->fleet_watch, own->key) == 0) {
        return;
    }
    char *text = own_text(own);
    if (text == NULL) {
        return;
    }
    if (own->stored_text != NULL && strcmp(own->stored_text, text) == 0 &&
        rowwatch_has_value(node->fleet_watch, own->key, text)) {
        free(text);
        return;
    }
    own->pending_text = text;
    const struct rowstore_write write = {
        .table = NODE_TABLE,
        .key = own->key,
        .expected = rowwatch_row_version(node->fleet_watch, own->key),
        .value = text,
        .size = strlen(text),
    };
    own->call = rowcommit_start(node->commits, &write, 1, ROWCOMMIT_SOON,
                                on_written, own);
}

void
ownrow_clear_suspect(struct ownrow *own, uint64_t fingerprint)
{
    size_t kept = 0;
    for (size_t i = 0; i < own->crash_suspect_count; i++) {
        if (own->crash_suspects[i] != fingerprint) {
            own->crash_suspects[kept++] = own->crash_suspects[i];
        }
    }
    if (kept < own->crash_suspect_count) {
        own->crash_suspect_count = kept;
        ownrow_update(own);
    }
}

void
ownrow_report_suspects(struct ownrow *own, const uint64_t *fingerprints,
                       unsigned count)
{
    for (unsigned i = 0; i < count; i++) {
        if (own->crash_suspect_count == INSTANCETABLE_CRASH_SUSPECTS_MAX) {
            memmove(own->crash_suspects, own->crash_suspects + 1,
                    (INSTANCETABLE_CRASH_SUSPECTS_MAX - 1) *
                        sizeof(own->crash_suspects[0]));
            own->crash_suspect_count--;
        }
        own->crash_suspects[own->crash_suspect_count++] = fingerprints[i];
    }
    ownrow_update(own);
}
