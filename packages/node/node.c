#include "node/node.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LOG_MODULE "node"
#include "base/log.h"
#include "base/memory.h"
#include "node/feedrelay.h"
#include "node/ingress.h"
#include "node/keyowner.h"
#include "node/localgate.h"
#include "node/localtarget.h"
#include "node/node_internal.h"
#include "node/nodemetrics.h"
#include "node/ownrow.h"
#include "node/planner.h"
#include "node/quotagranter.h"
#include "node/quotatask.h"
#include "node/relayserve.h"
#include "node/relaytask.h"
#include "node/rowcommit.h"

/* Of a read for changes, where declarations may not be older than a bound: a
 * short outage of the store must leave them newer than that. */
#define DECLARED_WAIT_US (450 * US_PER_MS)
#define MMAP_THRESHOLD_BYTES (128 << 10)

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

/** True if the instance owns keys of the page. */
static bool
owns_keys_of(const struct node *node, const struct keymap *map, unsigned page)
{
    for (size_t i = 0; i < map->count; i++) {
        const struct keymap_segment *segment = &map->segments[i];
        if (keymap_page_of(segment->first) <= page &&
            keymap_page_of(segment->last) >= page &&
            strcmp(segment->holder.instance, node->settings.instance) == 0) {
            return true;
        }
    }
    return false;
}

/** Replaces a page of the service's key map by a newer one, if it is valid. */
static void
apply_keymap_page(struct node *node, const char *service, unsigned page,
                  const struct rowstore_row *row)
{
    struct error err = {.code = ERROR_NONE};
    struct node_keymap *keys = add_keymap(node, service);
    const bool owned = owns_keys_of(node, &keys->map, page);
    if (row->removed) {
        keymap_forget_page(&keys->map, page);
    }
    else if (!keymap_parse_page(&keys->map, page, row->value, row->size,
                                row->version, &err)) {
        char description[ERROR_SUBJECT_SIZE * 2];
        LOG_ERR("keys_invalid", LOG_STR("service", service),
                LOG_UINT("page", page), LOG_UINT("version", row->version),
                LOG_STR("error", error_describe(&err, description,
                                                sizeof(description))));
        return;
    }
    /* Logged by owners only: all instances read all pages. */
    if (owned || owns_keys_of(node, &keys->map, page)) {
        LOG_INFO("keys", LOG_STR("service", service), LOG_UINT("page", page),
                 LOG_UINT("version", row->version),
                 LOG_UINT("segments", keys->map.count));
    }
}

/** To be called once all pages of a transaction were applied. */
static void
keymaps_changed(struct node *node)
{
    keyowner_map_changed(node->keyowner);
    ingress_owners_changed(node->ingress);
}

static void
apply_newer_page(struct node *node, const char *service, unsigned page,
                 const char *text, uint64_t version)
{
    char key[ROWSTORE_NAME_MAX + 1];
    keymapwrite_row_name(key, service, page);
    if (rowwatch_version(node->fleet_watch) > 0) {
        rowwatch_apply_row(node->fleet_watch, &(struct rowstore_row){
                                                  .key = key,
                                                  .version = version,
                                                  .value = text,
                                                  .size = strlen(text),
                                              });
    }
}

void
node_receive_keymap_page(struct node *node, const char *service, unsigned page,
                         const char *text, uint64_t version)
{
    apply_newer_page(node, service, page, text, version);
    keymaps_changed(node);
}

/** True if the segment's keys had the same owner and fence before. */
static bool
has_same_fence(const struct keymap_segment *segment,
               const struct keymap *before)
{
    const struct keymap_segment *old = keymap_find(before, segment->first);
    return old->fence == segment->fence;
}

/** Pushes a page to the owners of its changed segments. */
static void
push_page(struct node *node, const struct node_keymap *keys,
          const struct keymap *before, const struct keymapwrite_page *page,
          uint64_t version)
{
    const char *pushed_to = "";
    for (size_t i = 0; i < keys->map.count; i++) {
        const struct keymap_segment *segment = &keys->map.segments[i];
        const char *owner = segment->holder.instance;
        if (keymap_page_of(segment->first) <= page->number &&
            keymap_page_of(segment->last) >= page->number &&
            owner[0] != '\0' && strcmp(owner, pushed_to) != 0 &&
            !has_same_fence(segment, before)) {
            relaytask_push_keymap(node->relay, owner, keys->service,
                                  page->number, version, page->text);
            pushed_to = owner;
        }
    }
}

void
node_publish_keymap(struct node *node, struct node_keymap *keys,
                    const struct keymapwrite *write, uint64_t version)
{
    struct keymap before;
    keymap_copy(&before, &keys->map);
    for (size_t i = 0; i < write->count; i++) {
        apply_newer_page(node, keys->service, write->pages[i].number,
                         write->pages[i].text, version);
    }
    for (size_t i = 0; i < write->count; i++) {
        push_page(node, keys, &before, &write->pages[i], version);
    }
    keymap_clear(&before);
    /* May prepare the next write, in place of this one. */
    keymaps_changed(node);
}

void
node_apply_keymap_conflict(struct node *node,
                           const struct rowstore_result *result)
{
    char service[KEYMAP_NAME_MAX + 1];
    unsigned page;
    for (size_t i = 0;
         result->outcome == ROWSTORE_CONFLICT && i < result->row_count; i++) {
        if (keymapwrite_parse_row_name(result->rows[i].key, service, &page)) {
            rowwatch_apply_row(node->fleet_watch, &result->rows[i]);
        }
    }
    keymaps_changed(node);
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
        node->config_unreadable = node->config_unreadable ||
                                  declaration.kind == WIRE_DECLARED_CONFIG;
        return;
    }
    switch (declaration.kind) {
    case WIRE_DECLARED_CONFIG:
        node->config_unreadable = false;
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
    struct node *node = ctx;
    if (!node->config_unreadable) {
        node->config_freshness = *rowwatch_freshness(node->declared_watch);
    }
    apply_declared(node);
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
    if (strcmp(instance_row.zone, node->settings.zone) == 0) {
        LOG_INFO("instance", LOG_STR("peer", instance),
                 LOG_STR("service", instance_row.service),
                 LOG_STR("target", instance_row.target),
                 LOG_INT("state", instance_row.state),
                 LOG_UINT("accused", instance_row.crash_suspect_count),
                 LOG_UINT("version", row->version));
    }
    instancetable_update(&node->instancetable, &instance_row, row->version);
    if (strcmp(instance, node->settings.instance) == 0) {
        /* An earlier process may have stored departures. */
        localtarget_read_own_row(node->target, &instance_row, row->value,
                                 row->size);
    }
}

/** Resets what rests on the former era if the version is of a new one. */
static bool
observe_era(struct node *node, uint64_t version)
{
    const struct keyera former = node->keyera;
    if (!keyera_observe(&node->keyera, version, node_now_us(node))) {
        return false;
    }
    keyowner_store_restored(node->keyowner, &former);
    planner_store_restored(node->planner);
    return true;
}

static void
on_fleet_row(void *ctx, const struct rowstore_row *row)
{
    struct node *node = ctx;
    const size_t instance = strlen(NODE_INSTANCE_KEY);
    const size_t era = strlen(NODE_ERA_KEY);
    char service[KEYMAP_NAME_MAX + 1];
    unsigned page;
    /* Another instance may have read it: before it is used, keys are claimed
     * that it may give to others. */
    observe_era(node, row->version);
    if (strncmp(row->key, NODE_INSTANCE_KEY, instance) == 0) {
        on_instance_row(node, row->key + instance, row);
    }
    else if (strncmp(row->key, NODE_ERA_KEY, era) == 0) {
        if (strcmp(row->key + era, node->settings.service) == 0 &&
            !row->removed &&
            !keyera_parse_settled(&node->keyera, row->value, row->size)) {
            LOG_ERR("era_invalid", LOG_UINT("version", row->version));
        }
    }
    else if (keymapwrite_parse_row_name(row->key, service, &page)) {
        apply_keymap_page(node, service, page, row);
    }
}

bool
node_observe_version(struct node *node, uint64_t version)
{
    if (!observe_era(node, version)) {
        return false;
    }
    rowwatch_refresh(node->fleet_watch);
    return true;
}

static void
on_fleet_settled(void *ctx)
{
    struct node *node = ctx;
    node_observe_version(node, rowwatch_version(node->fleet_watch));
    if (!node->own_row_known) {
        node->own_row_known = true;
        localtarget_own_row_known(node->target);
    }
    ownrow_update(node->ownrow);
    keymaps_changed(node);
    planner_changed(node->planner);
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

/** Reads declarations more often where their age matters. */
static void
set_declared_wait(struct node *node)
{
    rowwatch_set_wait(node->declared_watch,
                      node->settings.revoke_us > 0 ? DECLARED_WAIT_US : 0);
}

static void
create_watches(struct node *node)
{
    struct rowwatch_options options = {
        .runtime = node->runtime,
        .store = &node->options.store,
        .feeds = node->feeds,
        .table = node->wire->declared_table,
        .row = on_declared_row,
        .settled = on_declared_settled,
        .ctx = node,
    };
    node->declared_watch = rowwatch_create(&options);
    set_declared_wait(node);
    options.table = NODE_TABLE;
    options.row = on_fleet_row;
    options.settled = on_fleet_settled;
    options.reachable = on_store_reachable;
    node->fleet_watch = rowwatch_create(&options);
    feedrelay_add_table(node->feeds, node->wire->declared_table,
                        node->declared_watch);
    feedrelay_add_table(node->feeds, NODE_TABLE, node->fleet_watch);
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
    zonetraffic_init(&node->zonetraffic, options->counters);
    if (node->settings.memory_mb > 0) {
        memory_budget_init(&node->memory, node->settings.memory_mb);
        /* Long bodies return to the system when they are freed. */
        mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES);
        mallopt(M_TRIM_THRESHOLD, MMAP_THRESHOLD_BYTES);
    }
    if (!nodeservers_open(node, err)) {
        node_destroy(node);
        return NULL;
    }
    node->target = localtarget_create(node);
    node->gate = localgate_create(node);
    node->keyowner = keyowner_create(node);
    node->relay = relaytask_create(node);
    node->relayserve = relayserve_create(node);
    node->feeds = feedrelay_create(node);
    node->commits = rowcommit_create(node);
    node->planner = planner_create(node);
    node->quotagranter = quotagranter_create(node);
    node->quotas = quotatask_create(node);
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
    feedrelay_destroy(node->feeds);
    keyowner_destroy(node->keyowner);
    ownrow_destroy(node->ownrow);
    planner_destroy(node->planner);
    rowcommit_destroy(node->commits);
    ingress_destroy(node->ingress);
    quotatask_destroy(node->quotas);
    quotagranter_destroy(node->quotagranter);
    relaytask_destroy(node->relay);
    relayserve_destroy(node->relayserve);
    http_server_destroy(node->callers);
    http_server_destroy(node->announcements);
    http_server_destroy(node->metrics);
    http_server_destroy(node->readiness);
    rpc_node_destroy(node->rpc);
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
        !address_equal(&settings->store, &node->settings.store) ||
        settings->memory_mb != node->settings.memory_mb ||
        settings->max_fds != node->settings.max_fds;
    if (moved) {
        LOG_WARN("settings_need_restart");
        return;
    }
    node->settings = *settings;
    set_declared_wait(node);
    LOG_INFO("settings_reloaded", LOG_STR("service", settings->service));
    ownrow_update(node->ownrow);
}
