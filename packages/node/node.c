#include "node/node.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LOG_MODULE "node"
#include "base/log.h"
#include "base/memory.h"
#include "node/ingress.h"
#include "node/keyowner.h"
#include "node/localgate.h"
#include "node/localtarget.h"
#include "node/node_internal.h"
#include "node/nodemetrics.h"
#include "node/ownrow.h"
#include "node/planner.h"
#include "node/relaytask.h"

/* Every change wakes the feeds of all instances. The pause grows with their
 * number, so that one answer of the feed brings several changes. */
#define FEED_PAUSE_PER_INSTANCE_US (30 * US_PER_MS)
#define FEED_PAUSE_MAX_US (3 * US_PER_SECOND)

int64_t
node_now_us(const struct node *node)
{
    return runtime_now_us(node->runtime);
}

static struct node_zone *
find_zone_out(const struct node *node, const char *name)
{
    struct node_zone *zone;
    LIST_FOREACH (zone, &node->zones_out, link) {
        if (strcmp(zone->name, name) == 0) {
            return zone;
        }
    }
    return NULL;
}

bool
node_zone_is_out(void *ctx, const char *zone)
{
    return find_zone_out(ctx, zone) != NULL;
}

int64_t
node_zone_out_since_us(const struct node *node, const char *zone)
{
    const struct node_zone *out = find_zone_out(node, zone);
    return out != NULL ? out->since_us : 0;
}

struct node_keymap *
node_find_keymap(const struct node *node, const char *service)
{
    struct node_keymap *keys;
    LIST_FOREACH (keys, &node->keys, link) {
        if (strcmp(keys->service, service) == 0) {
            return keys;
        }
    }
    return NULL;
}

static struct node_keymap *
add_keymap(struct node *node, const char *service)
{
    struct node_keymap *keys = node_find_keymap(node, service);
    if (keys == NULL) {
        keys = memory_calloc(1, sizeof(*keys));
        keymap_init(&keys->map);
        snprintf(keys->service, sizeof(keys->service), "%s", service);
        LIST_INSERT_HEAD(&node->keys, keys, link);
    }
    return keys;
}

const struct declared_service *
node_own_service(const struct node *node)
{
    const char *name = localtarget_service(node->target);
    if (node->declared == NULL) {
        return NULL;
    }
    return declared_find_service(
        node->declared, name[0] != '\0' ? name : node->settings.service);
}

void
node_keymap_row_name(char key[ROWSTORE_NAME_MAX + 1], const char *service)
{
    snprintf(key, ROWSTORE_NAME_MAX + 1, NODE_KEYS_KEY "%s", service);
}

/** Replaces the service's key map by a newer one, if it is valid. */
static void
apply_keymap(struct node *node, const char *service, const char *text,
             size_t size, uint64_t version)
{
    struct error err = {.code = ERROR_NONE};
    struct node_keymap *keys = add_keymap(node, service);
    if (!keymap_parse(&keys->map, text, size, version, &err)) {
        char description[ERROR_SUBJECT_SIZE * 2];
        LOG_ERR("keys_invalid", LOG_STR("service", service),
                LOG_UINT("version", version),
                LOG_STR("error", error_describe(&err, description,
                                                sizeof(description))));
        return;
    }
    LOG_INFO("keys", LOG_STR("service", service), LOG_UINT("version", version),
             LOG_UINT("segments", keys->map.count),
             LOG_UINT("next_fence", keys->map.next_fence));
}

void
node_receive_keymap(struct node *node, const char *service, const char *text,
                    uint64_t version)
{
    char key[ROWSTORE_NAME_MAX + 1];
    node_keymap_row_name(key, service);
    if (rowwatch_version(node->fleet_watch) > 0) {
        rowwatch_apply_row(node->fleet_watch, &(struct rowstore_row){
                                                  .key = key,
                                                  .version = version,
                                                  .value = text,
                                                  .size = strlen(text),
                                              });
    }
}

/** True if the segment's keys had the same owner and fence before. */
static bool
has_same_fence(const struct keymap_segment *segment,
               const struct keymap *before)
{
    const struct keymap_segment *old = keymap_find(before, segment->first);
    return old->fence == segment->fence;
}

void
node_publish_keymap(struct node *node, struct node_keymap *keys,
                    const char *text, uint64_t version)
{
    struct keymap before;
    keymap_copy(&before, &keys->map);
    node_receive_keymap(node, keys->service, text, version);
    const char *pushed_to = "";
    for (size_t i = 0; i < keys->map.count; i++) {
        const struct keymap_segment *segment = &keys->map.segments[i];
        const char *owner = segment->holder.instance;
        if (owner[0] != '\0' && strcmp(owner, pushed_to) != 0 &&
            !has_same_fence(segment, &before)) {
            relaytask_push_keymap(node->relay, owner, keys->service, version,
                                  text);
            pushed_to = owner;
        }
    }
    keymap_clear(&before);
}

/** Applies changed declarations of the operators. */
static void
apply_declared(struct node *node)
{
    for (size_t i = 0;
         node->declared != NULL && i < declared_service_count(node->declared);
         i++) {
        const struct declared_service *service =
            declared_service_at(node->declared, i);
        if (service->keyed) {
            add_keymap(node, service->name);
        }
    }
    localtarget_configure(node->target);
    localgate_target_changed(node->gate);
    ingress_owners_changed(node->ingress);
}

static void
set_zone(struct node *node, const char *name, bool out)
{
    struct node_zone *zone = find_zone_out(node, name);
    if (out == (zone != NULL)) {
        return;
    }
    if (out) {
        LOG_INFO("zone_out", LOG_STR("zone", name));
        zone = memory_calloc(1, sizeof(*zone));
        snprintf(zone->name, sizeof(zone->name), "%s", name);
        if (rowwatch_version(node->declared_watch) > 0) {
            zone->since_us = node_now_us(node);
        }
        LIST_INSERT_HEAD(&node->zones_out, zone, link);
        return;
    }
    LOG_INFO("zone_in", LOG_STR("zone", name));
    LIST_REMOVE(zone, link);
    free(zone);
    if (strcmp(name, node->settings.zone) == 0) {
        localtarget_assume_cold(node->target);
    }
}

static void
apply_config(struct node *node, struct declared *config)
{
    if (node->declared != NULL &&
        declared_version(config) <= declared_version(node->declared)) {
        LOG_WARN("config_older",
                 LOG_UINT("version", declared_version(config)));
        declared_destroy(config);
        return;
    }
    LOG_INFO("config", LOG_UINT("version", declared_version(config)),
             LOG_UINT("routes", declared_route_count(config)),
             LOG_UINT("services", declared_service_count(config)));
    declared_destroy(node->declared);
    node->declared = config;
}

static void
on_declared_row(void *ctx, const struct rowstore_row *row)
{
    struct node *node = ctx;
    struct wire_declaration declaration;
    struct error err = {.code = ERROR_NONE};
    if (!node->wire->read_declaration(row, &declaration, &err)) {
        char text[ERROR_SUBJECT_SIZE * 2];
        LOG_ERR("declaration_invalid", LOG_STR("row", row->key),
                LOG_UINT("version", row->version),
                LOG_STR("error", error_describe(&err, text, sizeof(text))));
        return;
    }
    switch (declaration.kind) {
    case WIRE_DECLARED_CONFIG:
        apply_config(node, declaration.config);
        break;
    case WIRE_DECLARED_ZONE_OUT:
        set_zone(node, declaration.zone, !row->removed);
        break;
    case WIRE_DECLARED_UNKNOWN:
        break;
    }
}

static void
on_declared_settled(void *ctx)
{
    apply_declared(ctx);
}

static void
on_instance_row(struct node *node, const char *instance,
                const struct rowstore_row *row)
{
    struct instancetable_row instance_row;
    struct error err = {.code = ERROR_NONE};
    if (row->removed) {
        instancetable_remove(&node->instancetable, instance);
        return;
    }
    if (!instancetable_parse(&instance_row, instance, row->value, row->size,
                             &err)) {
        LOG_ERR("instance_invalid", LOG_STR("peer", instance),
                LOG_UINT("version", row->version));
        return;
    }
    LOG_INFO("instance", LOG_STR("peer", instance),
             LOG_STR("service", instance_row.service),
             LOG_STR("target", instance_row.target),
             LOG_INT("state", instance_row.state),
             LOG_UINT("accused", instance_row.crash_suspect_count),
             LOG_UINT("version", row->version));
    instancetable_update(&node->instancetable, &instance_row, row->version);
    if (instance_row.departed &&
        strcmp(instance, node->settings.instance) == 0) {
        /* An earlier process may have acknowledged the departure. */
        localtarget_record_departure(node->target, instance_row.target,
                                     instance_row.target_started_ms);
    }
}

static void
on_fleet_row(void *ctx, const struct rowstore_row *row)
{
    struct node *node = ctx;
    const size_t instance = strlen(NODE_INSTANCE_KEY);
    const size_t keys = strlen(NODE_KEYS_KEY);
    if (strncmp(row->key, NODE_INSTANCE_KEY, instance) == 0) {
        on_instance_row(node, row->key + instance, row);
    }
    else if (strncmp(row->key, NODE_KEYS_KEY, keys) == 0 && !row->removed) {
        apply_keymap(node, row->key + keys, row->value, row->size,
                     row->version);
        keyowner_map_changed(node->keyowner);
        ingress_owners_changed(node->ingress);
    }
}

static void
on_fleet_settled(void *ctx)
{
    struct node *node = ctx;
    const int64_t pause_us =
        (int64_t)instancetable_count(&node->instancetable) *
        FEED_PAUSE_PER_INSTANCE_US;
    rowwatch_set_feed_pause(node->fleet_watch, pause_us < FEED_PAUSE_MAX_US
                                                   ? pause_us
                                                   : FEED_PAUSE_MAX_US);
    ownrow_update(node->ownrow);
    keyowner_map_changed(node->keyowner);
    planner_changed(node->planner);
    ingress_owners_changed(node->ingress);
}

static void
on_store_reachable(void *ctx, bool reachable)
{
    (void)ctx;
    if (reachable) {
        LOG_INFO("store_reachable");
    }
    else {
        LOG_WARN("store_lost");
    }
}

static void
create_watches(struct node *node)
{
    struct rowwatch_options options = {
        .runtime = node->runtime,
        .store = &node->options.store,
        .table = node->wire->declared_table,
        .row = on_declared_row,
        .settled = on_declared_settled,
        .ctx = node,
    };
    node->declared_watch = rowwatch_create(&options);
    options.table = NODE_TABLE;
    options.row = on_fleet_row;
    options.settled = on_fleet_settled;
    options.reachable = on_store_reachable;
    node->fleet_watch = rowwatch_create(&options);
}

struct node *
node_create(const struct node_options *options, struct error *err)
{
    struct node *node = memory_calloc(1, sizeof(*node));
    node->options = *options;
    node->settings = *options->settings;
    node->runtime = options->runtime;
    node->started_ms = runtime_wall_ms(node->runtime);
    node->wire = options->wire;
    random_seed(&node->random, options->seed);
    LIST_INIT(&node->zones_out);
    LIST_INIT(&node->keys);
    LIST_INIT(&node->instancetable.instances);
    node->nodemetrics = nodemetrics_create(node);
    if (!nodeservers_open(node, err)) {
        node_destroy(node);
        return NULL;
    }
    node->target = localtarget_create(node);
    node->gate = localgate_create(node);
    node->keyowner = keyowner_create(node);
    node->relay = relaytask_create(node);
    node->planner = planner_create(node);
    node->ingress = ingress_create(node);
    node->ownrow = ownrow_create(node);
    create_watches(node);
    LOG_INFO("started", LOG_STR("version", CHESTNUTGAP_VERSION),
             LOG_STR("zone", node->settings.zone),
             LOG_STR("service", node->settings.service));
    return node;
}

static void
free_lists(struct node *node)
{
    struct node_zone *zone;
    while ((zone = LIST_FIRST(&node->zones_out)) != NULL) {
        LIST_REMOVE(zone, link);
        free(zone);
    }
    struct node_keymap *keys;
    while ((keys = LIST_FIRST(&node->keys)) != NULL) {
        LIST_REMOVE(keys, link);
        keymap_clear(&keys->map);
        free(keys);
    }
    instancetable_clear(&node->instancetable);
}

void
node_destroy(struct node *node)
{
    if (node == NULL) {
        return;
    }
    nodestop_destroy(node);
    rowwatch_destroy(node->declared_watch);
    rowwatch_destroy(node->fleet_watch);
    ownrow_destroy(node->ownrow);
    planner_destroy(node->planner);
    ingress_destroy(node->ingress);
    relaytask_destroy(node->relay);
    http_server_destroy(node->callers);
    http_server_destroy(node->announcements);
    http_server_destroy(node->metrics);
    http_server_destroy(node->readiness);
    rpc_node_destroy(node->rpc);
    keyowner_destroy(node->keyowner);
    localgate_destroy(node->gate);
    localtarget_destroy(node->target);
    nodemetrics_destroy(node->nodemetrics);
    declared_destroy(node->declared);
    free_lists(node);
    free(node);
}

void
node_stop(struct node *node)
{
    nodestop_begin(node);
}

void
node_reload(struct node *node, const struct nodesettings *settings)
{
    const bool moved =
        !address_equal(&settings->callers, &node->settings.callers) ||
        !address_equal(&settings->rpc, &node->settings.rpc) ||
        !address_equal(&settings->store, &node->settings.store);
    if (moved) {
        LOG_WARN("settings_need_restart");
        return;
    }
    node->settings = *settings;
    LOG_INFO("settings_reloaded", LOG_STR("service", settings->service));
    ownrow_update(node->ownrow);
}
