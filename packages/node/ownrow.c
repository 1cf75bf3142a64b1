#include "node/ownrow.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LOG_MODULE "ownrow"
#include "base/log.h"
#include "base/memory.h"
#include "node/localtarget.h"
#include "node/node_internal.h"

#define WRITE_TIMEOUT_US (1500 * US_PER_MS)
#define RETRY_US (200 * US_PER_MS)

struct ownrow {
    struct node *node;
    struct timer retry;
    struct rowstore_call *call;
    char key[KEYMAP_NAME_MAX + sizeof(NODE_INSTANCE_KEY)];
    char *written; /* text that the store has, or NULL */
    char *writing; /* text of the call */
    uint64_t accused[ROSTER_ACCUSED_MAX];
    size_t accused_count;
};

static void
on_retry(void *ctx)
{
    ownrow_update(ctx);
}

struct ownrow *
ownrow_create(struct node *node)
{
    struct ownrow *own = memory_zeroed(1, sizeof(*own));
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
    const struct rowstore *store = &own->node->options.store;
    timer_stop(&own->retry);
    if (own->call != NULL) {
        store->ops->cancel(store->impl, own->call);
    }
    free(own->written);
    free(own->writing);
    free(own);
}

static char *
own_text(const struct ownrow *own)
{
    const struct node *node = own->node;
    struct roster_notice notice = {.accused_count = own->accused_count};
    memcpy(notice.accused, own->accused, sizeof(notice.accused));
    snprintf(notice.instance, sizeof(notice.instance), "%s",
             node->settings.instance);
    snprintf(notice.zone, sizeof(notice.zone), "%s", node->settings.zone);
    notice.address = node->settings.rpc;
    notice.started_ms = node->started_ms;
    localtarget_describe(node->target, &notice);
    if (node->stopping) {
        notice.state = ROSTER_LEAVING;
    }
    return roster_print(&notice);
}

static void
on_written(void *ctx, const struct rowstore_result *result)
{
    struct ownrow *own = ctx;
    struct node *node = own->node;
    own->call = NULL;
    if (result->outcome == ROWSTORE_DONE) {
        free(own->written);
        own->written = own->writing;
        own->writing = NULL;
        rowwatch_apply_row(node->fleet_watch, &(struct rowstore_row){
                                                  .key = own->key,
                                                  .version = result->version,
                                                  .value = own->written,
                                                  .size = strlen(own->written),
                                              });
        ownrow_update(own);
        return;
    }
    free(own->writing);
    own->writing = NULL;
    rowwatch_apply_conflict(node->fleet_watch, result, own->key);
    timer_start(&own->retry,
                result->outcome == ROWSTORE_CONFLICT ? 0 : RETRY_US);
}

void
ownrow_update(struct ownrow *own)
{
    struct node *node = own->node;
    const struct rowstore *store = &node->options.store;
    /* Before the first reading the row's version is not known. */
    if (own->call != NULL || rowwatch_version(node->fleet_watch) == 0) {
        return;
    }
    /* At the start there is nothing to say yet, and each row costs calls. */
    if (own->written == NULL && !localtarget_is_present(node->target) &&
        rowwatch_row_version(node->fleet_watch, own->key) == 0) {
        return;
    }
    char *text = own_text(own);
    if (own->written != NULL && strcmp(own->written, text) == 0) {
        free(text);
        return;
    }
    own->writing = text;
    const struct rowstore_write write = {
        .table = NODE_TABLE,
        .key = own->key,
        .expected = rowwatch_row_version(node->fleet_watch, own->key),
        .value = text,
        .size = strlen(text),
    };
    own->call = store->ops->commit(store->impl, &write, 1, WRITE_TIMEOUT_US,
                                   on_written, own);
}

void
ownrow_clear_suspect(struct ownrow *own, uint64_t fingerprint)
{
    size_t kept = 0;
    for (size_t i = 0; i < own->accused_count; i++) {
        if (own->accused[i] != fingerprint) {
            own->accused[kept++] = own->accused[i];
        }
    }
    if (kept < own->accused_count) {
        own->accused_count = kept;
        ownrow_update(own);
    }
}

void
ownrow_report_suspects(struct ownrow *own, const uint64_t *fingerprints,
                       unsigned count)
{
    for (unsigned i = 0; i < count; i++) {
        if (own->accused_count == ROSTER_ACCUSED_MAX) {
            memmove(own->accused, own->accused + 1,
                    (ROSTER_ACCUSED_MAX - 1) * sizeof(own->accused[0]));
            own->accused_count--;
        }
        own->accused[own->accused_count++] = fingerprints[i];
    }
    ownrow_update(own);
}
