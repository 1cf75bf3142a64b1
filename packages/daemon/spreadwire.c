#include "daemon/spreadwire.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LOG_MODULE "spread"
#include "base/log.h"
#include "daemon/daemon_internal.h"

#define SUSPECTS_SPREAD_MAX 64
#define FINGERPRINT_SIZE 17 /* bytes of a fingerprint as text */

static void
apply_member(struct daemon *daemon, const struct spread_item *item,
             const json_t *value)
{
    struct member row;
    struct error err = {.code = ERROR_NONE};
    if (member_from_json(value, item->version, &row, &err)) {
        membertask_apply_row(daemon->members, &row);
        return;
    }
    LOG_WARN("member_malformed", LOG_STR("name", item->name),
             LOG_STR("error", error_name(err.code)));
}

static void
apply_suspect(struct daemon *daemon, const json_t *value)
{
    const char *text =
        json_string_value(json_object_get(value, "fingerprint"));
    const json_t *crashes = json_object_get(value, "crashes");
    struct suspects_item item = {
        .remaining_us =
            json_integer_value(json_object_get(value, "remaining_us")),
        .cleared =
            (uint32_t)json_integer_value(json_object_get(value, "forgiven")),
    };
    if (text == NULL || json_array_size(crashes) > SUSPECTS_CRASHES_MAX) {
        return;
    }
    item.fingerprint = strtoull(text, NULL, 16);
    for (size_t i = 0; i < json_array_size(crashes); i++) {
        const json_t *crash = json_array_get(crashes, i);
        const char *id = json_string_value(json_array_get(crash, 0));
        item.crashes[item.crash_count++] = (struct suspects_crash){
            .id = id != NULL ? strtoull(id, NULL, 16) : 0,
            .in_flight =
                (uint32_t)json_integer_value(json_array_get(crash, 1)),
        };
    }
    suspects_import(daemon->suspects, runtime_now_us(daemon->runtime), &item);
}

static void
on_deliver(void *ctx, const struct spread_item *item)
{
    struct daemon *daemon = ctx;
    json_t *value = json_loadb(item->payload, item->size, 0, NULL);
    if (value == NULL) {
        LOG_WARN("item_malformed", LOG_STR("name", item->name));
        return;
    }
    char *text;
    switch (item->kind) {
    case SPREAD_CONFIG:
        configtask_offer(daemon->config, item->version, value);
        break;
    case SPREAD_SUSPECT:
        apply_suspect(daemon, value);
        break;
    case SPREAD_MEMBER:
        apply_member(daemon, item, value);
        break;
    case SPREAD_PAGE:
        text = json_dumps(value, JSON_COMPACT);
        if (text != NULL) {
            placetask_apply_page(daemon->placement, text, item->version);
        }
        free(text);
        break;
    }
    json_decref(value);
}

static void
on_acknowledged(void *ctx, const char *peer, uint64_t revision)
{
    struct daemon *daemon = ctx;
    config_record_acknowledged(configtask_config(daemon->config), peer,
                               revision);
}

static bool
address_of(void *ctx, const char *peer, struct address *address)
{
    const struct daemon *daemon = ctx;
    struct member row;
    if (!membertable_row(membertask_table(daemon->members), peer, &row)) {
        return false;
    }
    *address = row.rpc;
    return true;
}

void
spreadwire_create(struct daemon *daemon)
{
    const struct spreadtask_options options = {
        .runtime = daemon->runtime,
        .node = daemon->node,
        .counters = daemon->counters,
        .instance = daemon->settings.instance,
        .zone = daemon->settings.zone,
        .region = daemon->settings.region,
        .bytes_per_second = SPREAD_BYTES_PER_SECOND,
        .seed = random_u64(&daemon->random),
        .callbacks =
            {
                .deliver = on_deliver,
                .acknowledged = on_acknowledged,
                .address_of = address_of,
                .ctx = daemon,
            },
    };
    daemon->spread = spreadtask_create(&options);
    if (daemon->spread == NULL) {
        abort();
    }
}

void
spreadwire_destroy(struct daemon *daemon)
{
    if (daemon->spread != NULL) {
        spreadtask_destroy(daemon->spread);
        daemon->spread = NULL;
    }
}

/* Steals the reference to value. */
static void
put_json(struct daemon *daemon, enum spread_kind kind, const char *name,
         uint64_t version, json_t *value)
{
    char *text = json_dumps(value, JSON_COMPACT);
    json_decref(value);
    if (text == NULL) {
        abort();
    }
    const struct spread_item item = {
        .kind = kind,
        .name = name,
        .version = version,
        .payload = text,
        .size = strlen(text),
    };
    spreadtask_put(daemon->spread, &item);
    free(text);
}

void
spreadwire_put_member(struct daemon *daemon, const struct member *row)
{
    const struct membertable *members = membertask_table(daemon->members);
    struct membertable_view view;
    struct config *config = configtask_config(daemon->config);
    const char *name = row->self.instance;
    if (!membertable_find(members, name, &view)) {
        return;
    }
    if (member_is_live(row)) {
        if (strcmp(name, daemon->settings.instance) != 0) {
            spreadtask_add_member(daemon->spread, view.instance, view.zone,
                                  view.region);
        }
        config_add_member(config, name);
    }
    else {
        spreadtask_remove_member(daemon->spread, name);
        config_remove_member(config, name);
    }
    put_json(daemon, SPREAD_MEMBER, name, row->version, member_to_json(row));
}

void
spreadwire_put_page(struct daemon *daemon, const char *row, uint64_t version,
                    const char *text)
{
    const struct spread_item item = {
        .kind = SPREAD_PAGE,
        .name = row,
        .version = version,
        .payload = text,
        .size = strlen(text),
    };
    spreadtask_put(daemon->spread, &item);
}

void
spreadwire_put_config(struct daemon *daemon)
{
    const struct config *config = configtask_config(daemon->config);
    const uint64_t revision = config_revision(config);
    spreadtask_set_revision(daemon->spread, revision);
    config_record_acknowledged(configtask_config(daemon->config),
                               daemon->settings.instance, revision);
    put_json(daemon, SPREAD_CONFIG, SPREAD_CONFIG_NAME, revision,
             json_incref((json_t *)config_document(config)));
}

static json_t *
suspect_to_json(const struct suspects_item *item, const char *fingerprint)
{
    json_t *crashes = json_array();
    for (uint32_t i = 0; i < item->crash_count; i++) {
        char id[FINGERPRINT_SIZE];
        snprintf(id, sizeof(id), "%016" PRIx64, item->crashes[i].id);
        json_array_append_new(
            crashes,
            json_pack("[s, I]", id, (json_int_t)item->crashes[i].in_flight));
    }
    return json_pack("{s:s, s:I, s:I, s:o}", "fingerprint", fingerprint,
                     "remaining_us", (json_int_t)item->remaining_us,
                     "forgiven", (json_int_t)item->cleared, "crashes",
                     crashes);
}

void
spreadwire_put_suspects(struct daemon *daemon)
{
    struct suspects_item items[SUSPECTS_SPREAD_MAX];
    const size_t count =
        suspects_export(daemon->suspects, runtime_now_us(daemon->runtime),
                        items, SUSPECTS_SPREAD_MAX);
    for (size_t i = 0; i < count; i++) {
        char name[FINGERPRINT_SIZE];
        snprintf(name, sizeof(name), "%016" PRIx64, items[i].fingerprint);
        /* Rises with each crash and when crashes are cleared. */
        const uint64_t version = items[i].crash_count + items[i].cleared;
        put_json(daemon, SPREAD_SUSPECT, name, version,
                 suspect_to_json(&items[i], name));
    }
}
