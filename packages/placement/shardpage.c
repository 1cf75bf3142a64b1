#include "placement/shardpage.h"

#include <stdio.h>
#include <string.h>

/* Bits of the third number in an entry's JSON. */
#define FLAG_WAIT 1
#define FLAG_TAKEN_OVER 2

uint32_t
shardpage_count(uint32_t shards)
{
    return (shards + SHARDPAGE_SHARDS - 1) / SHARDPAGE_SHARDS;
}

const char *
shardpage_row_name(char buffer[SHARDPAGE_ROW_NAME_SIZE], const char *service,
                   uint32_t number)
{
    (void)snprintf(buffer, SHARDPAGE_ROW_NAME_SIZE, "%s/%05u", service,
                   number);
    return buffer;
}

void
shardpage_init(struct shardpage *page, const char *service, uint32_t number,
               uint32_t shards)
{
    uint32_t first_shard = number * SHARDPAGE_SHARDS;
    uint32_t remaining = shards > first_shard ? shards - first_shard : 0;

    memset(page, 0, sizeof(*page));
    (void)snprintf(page->service, sizeof(page->service), "%s", service);
    page->page = number;
    page->shard_count =
        remaining < SHARDPAGE_SHARDS ? remaining : SHARDPAGE_SHARDS;
    for (size_t i = 0; i < page->shard_count; i++) {
        page->entries[i].shard = first_shard + (uint32_t)i;
        page->entries[i].base = first_shard + (uint32_t)i;
    }
}

struct shardpage_entry *
shardpage_find(struct shardpage *page, uint32_t shard)
{
    if ((shard & SHARD_KEY_FLAG) == 0) {
        uint32_t index = shard - page->page * SHARDPAGE_SHARDS;
        return index < page->shard_count ? &page->entries[index] : NULL;
    }
    for (size_t i = 0; i < page->key_count; i++) {
        struct shardpage_entry *entry = &page->entries[page->shard_count + i];
        if (entry->shard == shard) {
            return entry;
        }
    }
    return NULL;
}

struct shardpage_entry *
shardpage_split(struct shardpage *page, uint32_t shard, uint32_t key)
{
    struct shardpage_entry *base = shardpage_find(page, shard);
    struct shardpage_entry *entry;

    if (base == NULL || base->epoch == 0 ||
        page->key_count == SHARDPAGE_KEYS ||
        shardpage_find(page, key) != NULL) {
        return NULL;
    }
    entry = &page->entries[page->shard_count + page->key_count++];
    *entry = *base;
    entry->shard = key;
    entry->base = shard;
    entry->epoch = base->epoch + 1;
    return entry;
}

bool
shardpage_merge(struct shardpage *page, uint32_t key)
{
    struct shardpage_entry *entry = shardpage_find(page, key);
    struct shardpage_entry *base;

    if (entry == NULL || (key & SHARD_KEY_FLAG) == 0) {
        return false;
    }
    base = shardpage_find(page, entry->base);
    if (base == NULL || strcmp(base->owner, entry->owner) != 0) {
        return false;
    }
    base->epoch =
        (base->epoch > entry->epoch ? base->epoch : entry->epoch) + 1;
    base->wait = base->wait || entry->wait;
    base->taken_over = base->taken_over || entry->taken_over;
    page->key_count--;
    *entry = page->entries[page->shard_count + page->key_count];
    return true;
}

static size_t
owner_index(json_t *owners, const char *owner)
{
    size_t index;
    json_t *name;

    json_array_foreach (owners, index, name) {
        if (strcmp(json_string_value(name), owner) == 0) {
            return index;
        }
    }
    json_array_append_new(owners, json_string(owner));
    return json_array_size(owners) - 1;
}

json_t *
shardpage_to_json(const struct shardpage *page)
{
    json_t *owners = json_array();
    json_t *shards = json_array();
    json_t *keys = json_array();

    for (size_t i = 0; i < page->shard_count + page->key_count; i++) {
        const struct shardpage_entry *entry = &page->entries[i];
        json_int_t owner = (json_int_t)owner_index(owners, entry->owner);
        json_int_t epoch = entry->epoch;
        int flags = (entry->wait ? FLAG_WAIT : 0) |
                    (entry->taken_over ? FLAG_TAKEN_OVER : 0);
        if (i < page->shard_count) {
            json_array_append_new(shards,
                                  json_pack("[I,I,i]", owner, epoch, flags));
            continue;
        }
        json_array_append_new(keys, json_pack("[I,I,i,I,I]", owner, epoch,
                                              flags, (json_int_t)entry->shard,
                                              (json_int_t)entry->base));
    }
    return json_pack("{s:s,s:i,s:o,s:o,s:o}", "service", page->service, "page",
                     (int)page->page, "owners", owners, "shards", shards,
                     "keys", keys);
}

static bool
entry_from_json(struct shardpage_entry *entry, const json_t *owners,
                const json_t *value, bool key, struct error *err)
{
    json_int_t owner = -1;
    json_int_t epoch = 0;
    json_int_t shard = entry->shard;
    json_int_t base = entry->shard;
    int flags = 0;
    const char *name;
    /* json_unpack() takes a mutable pointer but does not modify it. */
    json_t *list = (json_t *)value;
    int failed = key ? json_unpack(list, "[I,I,i,I,I]", &owner, &epoch, &flags,
                                   &shard, &base)
                     : json_unpack(list, "[I,I,i]", &owner, &epoch, &flags);

    if (failed != 0 || epoch < 0 || epoch > UINT32_MAX || owner < 0) {
        return error_set(err, ERROR_FIELD_TYPE, "entry of a shard page");
    }
    name = json_string_value(json_array_get(owners, (size_t)owner));
    if (name == NULL || strlen(name) > STATE_NAME_MAX) {
        return error_set(err, ERROR_FIELD_REFERENCE, "owner of a shard");
    }
    entry->epoch = (uint32_t)epoch;
    entry->shard = (uint32_t)shard;
    entry->base = (uint32_t)base;
    entry->wait = (flags & FLAG_WAIT) != 0;
    entry->taken_over = (flags & FLAG_TAKEN_OVER) != 0;
    (void)snprintf(entry->owner, sizeof(entry->owner), "%s", name);
    return true;
}

bool
shardpage_from_json(struct shardpage *page, const json_t *value,
                    struct error *err)
{
    const char *service = NULL;
    int number = -1;
    json_t *owners = NULL;
    json_t *shards = NULL;
    json_t *keys = NULL;
    size_t shard_count;
    size_t key_count;

    if (value == NULL ||
        json_unpack((json_t *)value, "{s:s,s:i,s:o,s:o,s:o}", "service",
                    &service, "page", &number, "owners", &owners, "shards",
                    &shards, "keys", &keys) != 0 ||
        number < 0 || strlen(service) > STATE_NAME_MAX) {
        return error_set(err, ERROR_FIELD_MISSING, "shard page");
    }
    shard_count = json_array_size(shards);
    key_count = json_array_size(keys);
    if (shard_count > SHARDPAGE_SHARDS || key_count > SHARDPAGE_KEYS) {
        return error_set(err, ERROR_FIELD_RANGE, "size of a shard page");
    }
    shardpage_init(page, service, (uint32_t)number,
                   (uint32_t)number * SHARDPAGE_SHARDS +
                       (uint32_t)shard_count);
    for (size_t i = 0; i < shard_count; i++) {
        if (!entry_from_json(&page->entries[i], owners,
                             json_array_get(shards, i), false, err)) {
            return false;
        }
    }
    for (size_t i = 0; i < key_count; i++) {
        if (!entry_from_json(&page->entries[shard_count + i], owners,
                             json_array_get(keys, i), true, err)) {
            return false;
        }
    }
    page->key_count = key_count;
    return true;
}
