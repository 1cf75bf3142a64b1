/* The lease that lets the target hold keys. */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#define LOG_MODULE "lease"
#include "base/log.h"
#include "base/memory.h"
#include "node/keeper_internal.h"
#include "node/localgate.h"
#include "node/localtarget.h"
#include "node/planner_internal.h"
#include "node/relaytask.h"

#define WRITE_TIMEOUT_US (1 * US_PER_SECOND)
#define PROMISE_INTERVAL_US (500 * US_PER_MS)

/** Whether the instance's promise is to be had. Who is not named in the row
 * waits for longer than promises can last, so that leaving one out is safe. */
static bool
may_be_asked(const struct node *node,
             const struct instancetable_instance *instance)
{
    return instance->instance_row.state == INSTANCETABLE_SERVING &&
           instance->unreachable_count == 0 &&
           !planner_is_lost(node->planner, instance->instance_row.instance);
}

/** The row's text: who must promise, and what tells writes apart. */
static char *
lease_text(struct keeper *keeper)
{
    const struct node *node = keeper->node;
    const struct instancetable_instance *instance;
    json_t *peers = json_array();
    const char *service = localtarget_service(node->target);
    LIST_FOREACH (instance, &node->instancetable.instances, link) {
        const struct instancetable_row *instance_row = &instance->instance_row;
        if (may_be_asked(node, instance) &&
            strcmp(instance_row->service, service) == 0 &&
            strcmp(instance_row->instance, node->settings.instance) != 0) {
            json_array_append_new(peers, json_string(instance_row->instance));
        }
    }
    json_t *document = json_pack("{s:o, s:I, s:I}", "peers", peers, "process",
                                 (json_int_t)(node->options.seed >> 1),
                                 "number", (json_int_t)keeper->lease_number++);
    char *text = json_dumps(document, JSON_COMPACT);
    json_decref(document);
    if (text == NULL) {
        abort();
    }
    return text;
}

/** Row of the present lease in a conflict's answer, or NULL. */
static const struct rowstore_row *
conflicting_row(const struct keeper *keeper,
                const struct rowstore_result *result)
{
    for (size_t i = 0; i < result->row_count; i++) {
        if (strcmp(result->rows[i].key, keeper->lease_key) == 0 &&
            !result->rows[i].removed) {
            return &result->rows[i];
        }
    }
    return NULL;
}

static void
lease_written(struct keeper *keeper, uint64_t row_version,
              uint64_t store_version)
{
    free(keeper->lease_stored);
    keeper->lease_stored = keeper->lease_text;
    keeper->lease_text = NULL;
    keeper->lease_unsure = false;
    const bool acquired = keylease_record_write(
        &keeper->lease, keeper->lease_begun_us, row_version, store_version);
    if (acquired) {
        LOG_INFO("lease_acquired", LOG_UINT("version", row_version));
        keeper->touched = false;
        rowwatch_refresh(keeper->node->fleet_watch);
    }
    keepermap_go_on(keeper);
    keepergrant_go_on(keeper);
}

static void
lease_conflict(struct keeper *keeper, const struct rowstore_result *result)
{
    const struct rowstore_row *row = conflicting_row(keeper, result);
    /* A write without an answer may have been done all the same. */
    if (row != NULL && strcmp(row->value, keeper->lease_text) == 0) {
        lease_written(keeper, row->version, row->version);
        return;
    }
    if (keeper->lease.held) {
        keeper->lease_lost->value++;
        LOG_WARN("lease_lost",
                 LOG_UINT("version", row != NULL ? row->version : 0));
    }
    keylease_record_loss(&keeper->lease, row != NULL ? row->version : 0);
    free(keeper->lease_text);
    keeper->lease_text = NULL;
    keeper->lease_unsure = false;
    localgate_keys_changed(keeper->node->gate);
}

static void
on_written(void *ctx, const struct rowstore_result *result)
{
    struct keeper *keeper = ctx;
    keeper->lease_call = NULL;
    keeper->lease_fresh = result->outcome == ROWSTORE_DONE;
    switch (result->outcome) {
    case ROWSTORE_DONE:
        lease_written(keeper, result->version, result->version);
        break;
    case ROWSTORE_CONFLICT:
        lease_conflict(keeper, result);
        break;
    case ROWSTORE_REFUSED:
        if (!keeper->lease_unsure) {
            free(keeper->lease_text);
            keeper->lease_text = NULL;
        }
        keylease_record_write_failure(&keeper->lease,
                                      node_now_us(keeper->node));
        break;
    default:
        keeper->lease_unsure = true;
        keylease_record_write_failure(&keeper->lease,
                                      node_now_us(keeper->node));
        break;
    }
}

/** Writes the row. A text that may have been written is sent again. */
static void
write_lease(struct keeper *keeper, int64_t now_us)
{
    const struct rowstore *store = &keeper->node->options.store;
    if (keeper->lease_text == NULL) {
        keeper->lease_text = lease_text(keeper);
        keeper->lease_begun_us = now_us;
    }
    const struct rowstore_write write = {
        .table = NODE_LEASE_TABLE,
        .key = keeper->lease_key,
        .expected = keeper->lease.version,
        .value = keeper->lease_text,
        .size = strlen(keeper->lease_text),
    };
    keeper->lease_call = store->ops->commit(
        store->impl, &write, 1, WRITE_TIMEOUT_US, on_written, keeper);
}

static void
on_promised(void *ctx, bool promised)
{
    struct keeper *keeper = ctx;
    keeper->promises_due--;
    keeper->promises_failed = keeper->promises_failed || !promised;
    if (keeper->promises_due > 0 || keeper->promises_failed) {
        return;
    }
    const bool lapsed = !keeper_has_lease(keeper);
    keylease_record_promises(&keeper->lease, keeper->promises_begun_us);
    if (lapsed) {
        LOG_INFO(
            "lease_promised",
            LOG_INT("until_ms", keeper->lease.promised_until_us / US_PER_MS));
    }
    keepergrant_go_on(keeper);
}

/** Asks all that could take the keys not to. */
static void
ask_promises(struct keeper *keeper, int64_t now_us)
{
    json_t *document = json_loads(keeper->lease_stored, 0, NULL);
    const json_t *peers = json_object_get(document, "peers");
    const size_t count = json_array_size(peers);
    keeper->promises_begun_us = now_us;
    keeper->promises_failed = false;
    keeper->promises_due = (unsigned)count + 1;
    for (size_t i = 0; i < count; i++) {
        relaytask_ask_promise(keeper->node->relay,
                              json_string_value(json_array_get(peers, i)),
                              on_promised, keeper);
    }
    json_decref(document);
    on_promised(keeper, true);
}

void
keeperlease_go_on(struct keeper *keeper)
{
    const int64_t now_us = node_now_us(keeper->node);
    struct keylease *lease = &keeper->lease;
    const bool needed =
        keeper_keys(keeper) != NULL &&
        (localtarget_present(keeper->node->target) || keeper_owns(keeper));
    if (!needed) {
        return;
    }
    if (keeper->lease_call == NULL && now_us >= lease->renew_us) {
        write_lease(keeper, now_us);
    }
    const bool overdue = lease->held && keeper->lease_stored != NULL &&
                         now_us > lease->stored_until_us -
                                      KEYLEASE_DURATION_US +
                                      2 * KEYLEASE_RENEW_INTERVAL_US;
    if (overdue && keeper->promises_due == 0 &&
        now_us - keeper->promises_begun_us >= PROMISE_INTERVAL_US) {
        ask_promises(keeper, now_us);
    }
}
