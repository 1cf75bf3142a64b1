#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "ctl/commands.h"
#include "ctl/ctlconfig.h"
#include "ctl/ctldaemon.h"
#include "ctl/table.h"
#include "placement/shardmap.h"
#include "placement/shardpage.h"

#define SHARDS_TABLE "shards"
#define NO_OWNER "(none)"

/** Finds or adds an owner in {OWNER: {"shards": N, "keys": N}}. */
static json_t *
find_or_add_owner(json_t *owners, const char *owner)
{
    const char *name = owner[0] != '\0' ? owner : NO_OWNER;
    json_t *entry = json_object_get(owners, name);
    if (entry == NULL) {
        entry = json_pack("{s:i, s:i}", "shards", 0, "keys", 0);
        json_object_set_new(owners, name, entry);
    }
    return entry;
}

static void
increment_field(json_t *entry, const char *field)
{
    json_t *number = json_object_get(entry, field);
    json_integer_set(number, json_integer_value(number) + 1);
}

static void
add_page(json_t *services, const struct shardpage *page)
{
    json_t *owners = json_object_get(services, page->service);
    if (owners == NULL) {
        owners = json_object();
        json_object_set_new(services, page->service, owners);
    }
    for (size_t i = 0; i < page->shard_count + page->key_count; i++) {
        const struct shardpage_entry *entry = &page->entries[i];
        const bool is_key = (entry->shard & SHARD_KEY_FLAG) != 0;
        increment_field(find_or_add_owner(owners, entry->owner),
                        is_key ? "keys" : "shards");
    }
}

/** Counts the shards of a service, or of all if empty, by owner. */
static enum ctl_exit
read_owners(struct ctl *ctl, const char *service, json_t *services)
{
    char prefix[STORE_NAME_MAX + 2] = "";
    if (service[0] != '\0') {
        snprintf(prefix, sizeof(prefix), "%s/", service);
    }
    const struct ctl_scan scan = {.table = SHARDS_TABLE, .prefix = prefix};
    struct ctl_rows rows;
    enum ctl_exit code = ctl_scan(ctl, &scan, &rows);
    for (size_t i = 0; i < rows.count && code == CTL_OK; i++) {
        struct shardpage page;
        struct error err = {.code = ERROR_NONE};
        if (shardpage_from_json(&page, rows.rows[i].value, &err)) {
            add_page(services, &page);
            continue;
        }
        error_wrap(&err, ERROR_STORE_ANSWER, "%s/%s", SHARDS_TABLE,
                   rows.rows[i].name);
        code = ctl_fail(ctl, CTL_FAILED, &err);
    }
    ctl_rows_clear(&rows);
    return code;
}

static void
print_owners(json_t *services)
{
    static const char *const headings[] = {
        "SERVICE",
        "OWNER",
        "SHARDS",
        "SINGLE KEYS",
    };
    struct table *table =
        table_create(headings, sizeof(headings) / sizeof(headings[0]));
    const char *service;
    const char *owner;
    json_t *owners;
    json_t *entry;
    json_object_foreach (services, service, owners) {
        json_object_foreach (owners, owner, entry) {
            table_add_cell(table, "%s", service);
            table_add_cell(table, "%s", owner);
            table_add_cell(
                table, "%" JSON_INTEGER_FORMAT,
                json_integer_value(json_object_get(entry, "shards")));
            table_add_cell(table, "%" JSON_INTEGER_FORMAT,
                           json_integer_value(json_object_get(entry, "keys")));
        }
    }
    table_print(table);
    table_destroy(table);
}

enum ctl_exit
command_owners(struct ctl *ctl)
{
    enum ctl_exit code = ctl_require_store(ctl);
    if (code != CTL_OK) {
        return code;
    }
    json_t *services = json_object();
    code = read_owners(ctl, ctl->options.arguments[0], services);
    if (code == CTL_OK && ctl->options.json) {
        ctl_print_json(json_pack("{s:O}", "services", services));
    }
    else if (code == CTL_OK) {
        print_owners(services);
    }
    json_decref(services);
    return code;
}

/** Placement of a key. */
struct explanation {
    const struct state_service *service;
    const char *key;
    uint32_t shard;
    bool single_key; /* the key is its own shard */
    bool has_entry;  /* entry is set */
    struct shardpage_entry entry;
    bool has_owner;
    struct member owner; /* if has_owner */
    const struct state_zone *zone;
};

/** Finds the entry of the key's shard in its page. */
static enum ctl_exit
find_entry(struct ctl *ctl, struct explanation *explanation)
{
    const struct state_service *service = explanation->service;
    const uint64_t hash = shardmap_hash(service->name, explanation->key,
                                        strlen(explanation->key));
    explanation->shard = shardmap_shard_of(hash, service->shards);
    char name[SHARDPAGE_ROW_NAME_SIZE];
    shardpage_row_name(name, service->name,
                       explanation->shard / SHARDPAGE_SHARDS);
    struct ctl_row row;
    enum ctl_exit code = ctl_read(ctl, SHARDS_TABLE, name, &row);
    if (code != CTL_OK || row.value == NULL) {
        return code;
    }
    struct shardpage page;
    struct error err = {.code = ERROR_NONE};
    if (!shardpage_from_json(&page, row.value, &err)) {
        error_wrap(&err, ERROR_STORE_ANSWER, "%s/%s", SHARDS_TABLE, name);
        code = ctl_fail(ctl, CTL_FAILED, &err);
    }
    ctl_row_clear(&row);
    if (code != CTL_OK) {
        return code;
    }
    const struct shardpage_entry *entry =
        shardpage_find(&page, shardmap_key_shard(hash));
    explanation->single_key =
        entry != NULL && entry->base == explanation->shard;
    if (!explanation->single_key) {
        entry = shardpage_find(&page, explanation->shard);
    }
    explanation->has_entry = entry != NULL;
    if (entry != NULL) {
        explanation->entry = *entry;
    }
    return CTL_OK;
}

static enum ctl_exit
find_owner(struct ctl *ctl, const struct state *state,
           struct explanation *explanation)
{
    struct ctl_row row;
    const char *owner = explanation->entry.owner;
    if (owner[0] == '\0') {
        return CTL_OK;
    }
    const enum ctl_exit code = ctl_read(ctl, MEMBER_TABLE, owner, &row);
    if (code != CTL_OK) {
        return code;
    }
    struct error err;
    explanation->has_owner =
        row.value != NULL &&
        member_from_json(row.value, row.version, &explanation->owner, &err);
    ctl_row_clear(&row);
    if (explanation->has_owner) {
        explanation->zone = state_find_zone(state, explanation->owner.zone);
    }
    return CTL_OK;
}

static json_t *
explanation_to_json(const struct explanation *explanation)
{
    json_t *document = json_pack(
        "{s:s, s:s, s:I, s:b, s:b}", "key", explanation->key, "service",
        explanation->service->name, "shard", (json_int_t)explanation->shard,
        "single_key", explanation->single_key, "owned",
        explanation->entry.owner[0] != '\0');
    if (explanation->has_entry) {
        json_object_set_new(document, "owner",
                            json_string(explanation->entry.owner));
        json_object_set_new(document, "epoch",
                            json_integer(explanation->entry.epoch));
        json_object_set_new(document, "waits",
                            json_boolean(explanation->entry.wait));
    }
    if (explanation->has_owner) {
        json_object_set_new(document, "member",
                            member_to_json(&explanation->owner));
    }
    if (explanation->zone != NULL) {
        json_object_set_new(document, "zone_out",
                            json_boolean(explanation->zone->out));
    }
    return document;
}

static void
print_owner(const struct explanation *explanation)
{
    const struct member *owner = &explanation->owner;
    if (!explanation->has_owner) {
        printf("member     no row: it is gone, others will take over\n");
        return;
    }
    char text[ADDRESS_TEXT_SIZE];
    printf("member     %s, http %s\n", member_state_name(owner->state),
           address_format(&owner->http, text));
    printf("zone       %s, %s\n", owner->zone,
           explanation->zone == NULL ? "not declared"
           : explanation->zone->out  ? "out"
                                     : "in");
}

static void
print_explanation(const struct explanation *explanation)
{
    printf("key        %s of %s\n", explanation->key,
           explanation->service->name);
    printf("shard      %" PRIu32 " of %u%s\n", explanation->shard,
           explanation->service->shards,
           explanation->single_key ? ", the key is a shard of its own" : "");
    if (explanation->entry.owner[0] == '\0') {
        printf("owner      none yet\n");
        return;
    }
    printf("owner      %s, epoch %" PRIu32 "%s\n", explanation->entry.owner,
           explanation->entry.epoch,
           explanation->entry.wait
               ? ", waits for the longest request of the former owner"
               : "");
    print_owner(explanation);
}

static enum ctl_exit
explain(struct ctl *ctl, const struct state *state)
{
    struct explanation explanation = {
        .service = state_find_service(state, ctl->options.service),
        .key = ctl->options.arguments[0],
    };
    if (explanation.service == NULL) {
        return ctl_fail_with(ctl, CTL_FAILED, ERROR_FIELD_REFERENCE,
                             "service %s", ctl->options.service);
    }
    enum ctl_exit code = find_entry(ctl, &explanation);
    if (code == CTL_OK) {
        code = find_owner(ctl, state, &explanation);
    }
    if (code != CTL_OK) {
        return code;
    }
    if (ctl->options.json) {
        ctl_print_json(explanation_to_json(&explanation));
    }
    else {
        print_explanation(&explanation);
    }
    return CTL_OK;
}

enum ctl_exit
command_explain(struct ctl *ctl)
{
    struct ctl_revision current;
    if (ctl->options.log_file != NULL) {
        return command_explain_log(ctl);
    }
    enum ctl_exit code = ctl_require_store(ctl);
    if (code != CTL_OK) {
        return code;
    }
    code = ctl_read_applied(ctl, &current);
    if (code == CTL_OK) {
        code = explain(ctl, current.state);
    }
    ctl_revision_clear(&current);
    return code;
}
