/* The lease under which the target may hold keys. */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#define LOG_MODULE "lease"
#include "base/jsontext.h"
#include "base/log.h"
#include "base/memory.h"
#include "node/keyowner_internal.h"
#include "node/localgate.h"
#include "node/localtarget.h"
#include "node/planner_internal.h"

#define PROMISE_INTERVAL_US (500 * US_PER_MS)

/** Whether the instance is likely to answer when asked for a promise. Leaving
 * one out is safe: instances that the row doesn't name wait for longer than
 * promises last. */
static bool
can_promise(const struct node *node,
            const struct instancetable_instance *instance)
{
    return instance->instance_row.state == INSTANCETABLE_SERVING &&
           instance->unreachable_count == 0 &&
           planner_answers(node->planner, instance->instance_row.instance);
}

/** Lists the peers that started first, since these take over keys.
 * @return their number */
static size_t
list_peers(const struct node *node,
           const struct instancetable_instance *peers[PLANNER_PEERS_NAMED])
{
    const struct instancetable_instance *instance;
    const char *service = localtarget_service(node->target);
    size_t count = 0;
    LIST_FOREACH (instance, &node->instancetable.instances, link) {
        const struct instancetable_row *instance_row = &instance->instance_row;
        if (!can_promise(node, instance) ||
            strcmp(instance_row->service, service) != 0 ||
            strcmp(instance_row->instance, node->settings.instance) == 0) {
            continue;
        }
        size_t index =
            count < PLANNER_PEERS_NAMED ? count++ : PLANNER_PEERS_NAMED;
        while (index > 0 &&
               instancetable_started_earlier(
                   instance_row, &peers[index - 1]->instance_row)) {
            if (index < PLANNER_PEERS_NAMED) {
                peers[index] = peers[index - 1];
            }
            index--;
        }
        if (index < PLANNER_PEERS_NAMED) {
            peers[index] = instance;
        }
    }
    return count;
}

/** The row's text: the peers that must promise, and a number that tells
 * writes apart. */
static char *
make_lease_text(struct keyowner *keyowner)
{
    const struct node *node = keyowner->node;
    const struct instancetable_instance *listed[PLANNER_PEERS_NAMED];
    const size_t count = list_peers(node, listed);
    json_t *peers = json_array();
    for (size_t i = 0; i < count; i++) {
        json_array_append_new(peers,
                              json_string(listed[i]->instance_row.instance));
    }
    json_t *document =
        json_pack("{s:o, s:I, s:I, s:I}", "peers", peers, "process",
                  (json_int_t)(node->options.seed >> 1), "number",
                  (json_int_t)keyowner->lease_write_number++, "era",
                  (json_int_t)node->keyera.era);
    char *text = jsontext_print(document, JSON_COMPACT, NULL);
    if (text == NULL) {
        abort(); /* names of instances are checked when they are read */
    }
    return text;
}

const struct rowstore_row *
keyownerlease_find_row(const struct keyowner *keyowner,
                       const struct rowstore_result *result)
{
    for (size_t i = 0; i < result->row_count; i++) {
        if (strcmp(result->rows[i].key, keyowner->lease_key) == 0 &&
            !result->rows[i].removed) {
            return &result->rows[i];
        }
    }
    return NULL;
}

void
keyownerlease_written(struct keyowner *keyowner, uint64_t version)
{
    free(keyowner->lease_stored);
    keyowner->lease_stored = keyowner->lease_write_text;
    keyowner->lease_write_text = NULL;
    keyowner->lease_write_unresolved = false;
    const bool acquired = keylease_record_write(
        &keyowner->lease, keyowner->lease_write_started_us, version, version);
    const bool new_incarnation =
        keyowner->fence_min == 0 &&
        keyowner->lease_write_started_us >=
            localtarget_present_since_us(keyowner->node->target);
    if (new_incarnation) {
        keyowner->fence_min = version;
        keyowner->lease.acquired_version = version;
    }
    if (keyowner->fence_min == 0 &&
        localtarget_is_present(keyowner->node->target)) {
        keyowner->lease.renew_us = 0;
    }
    keyownerprocess_choose_fence(keyowner);
    if (acquired) {
        LOG_INFO("lease_acquired", LOG_UINT("version", version));
    }
    if (acquired || new_incarnation) {
        /* Changes of the map that depended on an earlier version of the row
         * have taken effect by now or never will. */
        rowwatch_refresh(keyowner->node->fleet_watch);
    }
    keyownermap_write_changes(keyowner);
    keyownergrant_send_due(keyowner);
}

static void
lease_conflict(struct keyowner *keyowner, const struct rowstore_result *result)
{
    const struct rowstore_row *row = keyownerlease_find_row(keyowner, result);
    /* An earlier write whose outcome is unknown took effect. */
    if (row != NULL && strcmp(row->value, keyowner->lease_write_text) == 0) {
        keyownerlease_written(keyowner, row->version);
        return;
    }
    if (keyowner->lease.held) {
        keyowner->lease_lost->value++;
        LOG_WARN("lease_lost",
                 LOG_UINT("version", row != NULL ? row->version : 0));
    }
    keylease_record_loss(&keyowner->lease, row != NULL ? row->version : 0);
    free(keyowner->lease_write_text);
    keyowner->lease_write_text = NULL;
    keyowner->lease_write_unresolved = false;
    localgate_keys_changed(keyowner->node->gate);
}

static void
on_written(void *ctx, const struct rowstore_result *result)
{
    struct keyowner *keyowner = ctx;
    keyowner->lease_call = NULL;
    keyowner->lease_write_done = result->outcome == ROWSTORE_DONE;
    if (node_observe_version(keyowner->node, result->version)) {
        return;
    }
    switch (result->outcome) {
    case ROWSTORE_DONE:
        keyownerlease_written(keyowner, result->version);
        break;
    case ROWSTORE_CONFLICT:
        lease_conflict(keyowner, result);
        break;
    case ROWSTORE_REFUSED:
        if (!keyowner->lease_write_unresolved) {
            free(keyowner->lease_write_text);
            keyowner->lease_write_text = NULL;
        }
        keylease_record_write_failure(&keyowner->lease,
                                      node_now_us(keyowner->node));
        break;
    default:
        keyowner->lease_write_unresolved = true;
        keylease_record_write_failure(&keyowner->lease,
                                      node_now_us(keyowner->node));
        break;
    }
}

/** Begins a write; the same text is retried while its outcome is unknown. */
struct rowstore_write
keyownerlease_part(struct keyowner *keyowner)
{
    if (keyowner->lease_write_text == NULL) {
        keyowner->lease_write_text = make_lease_text(keyowner);
        keyowner->lease_write_started_us = node_now_us(keyowner->node);
    }
    return (struct rowstore_write){
        .table = NODE_LEASE_TABLE,
        .key = keyowner->lease_key,
        .expected = keyowner->lease.version,
        .value = keyowner->lease_write_text,
        .size = strlen(keyowner->lease_write_text),
    };
}

static void
write_lease(struct keyowner *keyowner)
{
    const struct rowstore_write write = keyownerlease_part(keyowner);
    keyowner->lease_call = rowcommit_start(
        keyowner->node->commits, &write, 1,
        keyowner_has_lease(keyowner) ? ROWCOMMIT_LATER : ROWCOMMIT_SOON,
        on_written, keyowner);
}

/** All instances that were asked have answered, or did not in time. */
static void
finish_promises(struct keyowner *keyowner)
{
    const unsigned *answers = keyowner->promises;
    /* Without an answer nothing is known: an instance behind a partition
     * that refuses connections may be alive and take over the keys. */
    const bool extended = answers[RELAY_PROMISE_DECLINED] == 0 &&
                          answers[RELAY_PROMISE_REFUSED_BY_HOST] == 0 &&
                          answers[RELAY_PROMISE_UNANSWERED] == 0;
    LOG_INFO(
        "promises", LOG_BOOL("extended", extended),
        LOG_UINT("given", answers[RELAY_PROMISE_GIVEN]),
        LOG_UINT("declined", answers[RELAY_PROMISE_DECLINED]),
        LOG_UINT("refused_by_host", answers[RELAY_PROMISE_REFUSED_BY_HOST]),
        LOG_UINT("unanswered", answers[RELAY_PROMISE_UNANSWERED]),
        LOG_INT("lease_left_ms",
                keyowner_lease_margin_us(keyowner) / US_PER_MS));
    if (!extended) {
        return;
    }
    keylease_record_promises(&keyowner->lease, keyowner->promises_started_us);
    keyownergrant_send_due(keyowner);
}

static void
on_promised(void *ctx, enum relay_promise promise)
{
    struct keyowner *keyowner = ctx;
    keyowner->promises[promise]++;
    keyowner->promises_pending--;
    if (keyowner->promises_pending == 0) {
        finish_promises(keyowner);
    }
}

/** Adds the peers that a lease's text names, each once. text: may be NULL. */
static void
add_named_peers(json_t *peers, const char *text)
{
    json_t *document = text != NULL ? json_loads(text, 0, NULL) : NULL;
    const json_t *named = json_object_get(document, "peers");
    for (size_t i = 0; i < json_array_size(named); i++) {
        const char *name = json_string_value(json_array_get(named, i));
        if (name != NULL) {
            json_object_set_new(peers, name, json_true());
        }
    }
    json_decref(document);
}

/** Asks all instances that could take over the keys not to: those that the row
 * names, or the text that a write without an answer may have put there. */
static void
ask_promises(struct keyowner *keyowner, int64_t now_us)
{
    json_t *peers = json_object();
    add_named_peers(peers, keyowner->lease_stored);
    add_named_peers(peers, keyowner->lease_write_text);
    keyowner->promises_started_us = now_us;
    memset(keyowner->promises, 0, sizeof(keyowner->promises));
    keyowner->promises_pending = (unsigned)json_object_size(peers);
    if (keyowner->promises_pending == 0) {
        finish_promises(keyowner);
    }
    const char *name;
    json_t *value;
    json_object_foreach (peers, name, value) {
        relaytask_request_promise(keyowner->node->relay, name,
                                  keyowner->lease.version, on_promised,
                                  keyowner);
    }
    json_decref(peers);
}

void
keyownerlease_renew(struct keyowner *keyowner)
{
    const int64_t now_us = node_now_us(keyowner->node);
    struct keylease *lease = &keyowner->lease;
    const bool needed = keyowner_keys(keyowner) != NULL &&
                        (localtarget_is_present(keyowner->node->target) ||
                         keyowner_owns_keys(keyowner));
    if (!needed || keyowner->claiming ||
        rowwatch_version(keyowner->node->fleet_watch) == 0) {
        return;
    }
    if (keyowner->lease_call == NULL && now_us >= lease->renew_us) {
        write_lease(keyowner);
    }
    const bool overdue = lease->held && keyowner->lease_stored != NULL &&
                         now_us > lease->stored_until_us -
                                      KEYLEASE_DURATION_US +
                                      2 * KEYLEASE_RENEW_INTERVAL_US;
    if (overdue && keyowner->promises_pending == 0 &&
        now_us - keyowner->promises_started_us >= PROMISE_INTERVAL_US) {
        ask_promises(keyowner, now_us);
    }
}
