#include "placement/shardmap.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "base/invariant.h"
#include "placement/ownertable.h"
#include "placement/shardmap_internal.h"

struct shardmap *
shardmap_create(void)
{
    struct shardmap *map = calloc(1, sizeof(*map));

    if (map == NULL) {
        return NULL;
    }
    map->owners = ownertable_create();
    if (map->owners == NULL) {
        free(map);
        return NULL;
    }
    LIST_INIT(&map->services);
    return map;
}

static void
service_destroy(struct map_service *service)
{
    for (uint32_t i = 0; i < shardpage_count(service->shards); i++) {
        free(service->pages[i].keys);
    }
    free(service->pages);
    free(service->shard_entries);
    free(service);
}

void
shardmap_destroy(struct shardmap *map)
{
    if (map == NULL) {
        return;
    }
    while (!LIST_EMPTY(&map->services)) {
        struct map_service *service = LIST_FIRST(&map->services);
        LIST_REMOVE(service, link);
        service_destroy(service);
    }
    ownertable_destroy(map->owners);
    free(map);
}

static struct map_service *
find_service(const struct shardmap *map, const char *name)
{
    struct map_service *service;

    LIST_FOREACH (service, &map->services, link) {
        if (strcmp(service->name, name) == 0) {
            return service;
        }
    }
    return NULL;
}

bool
shardmap_add_service(struct shardmap *map, const char *name, uint32_t shards,
                     struct error *err)
{
    struct map_service *service = find_service(map, name);

    if (service != NULL && service->shards == shards) {
        return true;
    }
    if (service != NULL || shards == 0 || shards > STATE_SHARDS_MAX) {
        return error_set(err, ERROR_FIELD_RANGE, "shards of service %s", name);
    }
    service = calloc(1, sizeof(*service));
    if (service == NULL) {
        return error_set(err, ERROR_NO_MEMORY, "service %s", name);
    }
    (void)snprintf(service->name, sizeof(service->name), "%s", name);
    service->shards = shards;
    service->shard_entries = calloc(shards, sizeof(*service->shard_entries));
    service->pages = calloc(shardpage_count(shards), sizeof(*service->pages));
    if (service->shard_entries == NULL || service->pages == NULL) {
        free(service->shard_entries);
        free(service->pages);
        free(service);
        return error_set(err, ERROR_NO_MEMORY, "service %s", name);
    }
    LIST_INSERT_HEAD(&map->services, service, link);
    return true;
}

uint32_t
shardmap_shard_count(const struct shardmap *map, const char *name)
{
    const struct map_service *service = find_service(map, name);

    return service == NULL ? 0 : service->shards;
}

uint32_t
shardmap_shard_of(uint64_t hash, uint32_t shards)
{
    return (uint32_t)(((hash & UINT32_MAX) * shards) >> 32);
}

uint64_t
shardmap_hash(const char *service, const void *key, size_t key_size)
{
    return hash_bytes(key, key_size, hash_string(service));
}

uint32_t
shardmap_key_shard(uint64_t hash)
{
    return (uint32_t)(hash >> 33) | SHARD_KEY_FLAG;
}

static struct map_key_entry *
find_key(const struct map_page *page, uint32_t key)
{
    for (size_t i = 0; i < page->key_count; i++) {
        if (page->keys[i].key == key) {
            return &page->keys[i];
        }
    }
    return NULL;
}

static uint64_t
hash_location(const struct map_service *service, uint32_t shard)
{
    return hash_bytes(&shard, sizeof(shard), hash_string(service->name));
}

static void
fill_location(const struct shardmap *map, const struct map_service *service,
              const struct map_entry *stored, uint32_t shard,
              struct shardmap_location *location)
{
    uint64_t location_hash = hash_location(service, shard);
    const struct owner_hint *hint = &map->hints[location_hash % OWNER_HINTS];

    *location = (struct shardmap_location){
        .shard = shard,
        .epoch = stored->epoch,
        .owner = stored->owner == 0
                     ? NULL
                     : ownertable_name(map->owners, stored->owner),
        .wait = stored->wait != 0,
    };
    if (hint->location_hash == location_hash && hint->epoch > stored->epoch) {
        location->epoch = hint->epoch;
        location->owner = hint->owner;
    }
}

bool
shardmap_lookup(const struct shardmap *map, const char *name, const void *key,
                size_t key_size, struct shardmap_location *location)
{
    const struct map_service *service = find_service(map, name);
    const struct map_key_entry *key_entry;
    uint64_t hash;
    uint32_t shard;

    if (service == NULL) {
        return false;
    }
    hash = shardmap_hash(name, key, key_size);
    shard = shardmap_shard_of(hash, service->shards);
    key_entry = find_key(&service->pages[shard / SHARDPAGE_SHARDS],
                         shardmap_key_shard(hash));
    if (key_entry != NULL && key_entry->base == shard) {
        fill_location(map, service, &key_entry->stored, key_entry->key,
                      location);
        return true;
    }
    fill_location(map, service, &service->shard_entries[shard], shard,
                  location);
    return true;
}

static struct map_entry *
find_stored(const struct map_service *service, uint32_t shard)
{
    if ((shard & SHARD_KEY_FLAG) == 0) {
        return shard < service->shards ? &service->shard_entries[shard] : NULL;
    }
    for (uint32_t i = 0; i < shardpage_count(service->shards); i++) {
        struct map_key_entry *key_entry = find_key(&service->pages[i], shard);
        if (key_entry != NULL) {
            return &key_entry->stored;
        }
    }
    return NULL;
}

bool
shardmap_find(const struct shardmap *map, const char *name, uint32_t shard,
              struct shardmap_location *location)
{
    const struct map_service *service = find_service(map, name);
    const struct map_entry *stored =
        service == NULL ? NULL : find_stored(service, shard);

    if (stored == NULL) {
        return false;
    }
    fill_location(map, service, stored, shard, location);
    return true;
}

static void
fill_entry(const struct shardmap *map, const struct map_entry *stored,
           struct shardpage_entry *entry)
{
    entry->epoch = stored->epoch;
    entry->wait = stored->wait != 0;
    entry->taken_over = stored->taken_over != 0;
    (void)snprintf(entry->owner, sizeof(entry->owner), "%s",
                   ownertable_name(map->owners, stored->owner));
}

uint64_t
shardmap_copy_page(const struct shardmap *map, const char *name,
                   uint32_t number, struct shardpage *page)
{
    const struct map_service *service = find_service(map, name);
    const struct map_page *known;

    if (service == NULL || number >= shardpage_count(service->shards)) {
        memset(page, 0, sizeof(*page));
        return 0;
    }
    known = &service->pages[number];
    shardpage_init(page, name, number, service->shards);
    for (size_t i = 0; i < page->shard_count; i++) {
        fill_entry(map, &service->shard_entries[page->entries[i].shard],
                   &page->entries[i]);
    }
    page->key_count = known->key_count;
    for (size_t i = 0; i < known->key_count; i++) {
        struct shardpage_entry *entry = &page->entries[page->shard_count + i];
        entry->shard = known->keys[i].key;
        entry->base = known->keys[i].base;
        fill_entry(map, &known->keys[i].stored, entry);
    }
    return known->version;
}

uint64_t
shardmap_page_version(const struct shardmap *map, const char *name,
                      uint32_t number)
{
    const struct map_service *service = find_service(map, name);

    if (service == NULL || number >= shardpage_count(service->shards)) {
        return 0;
    }
    return service->pages[number].version;
}

static void
store_entry(struct shardmap *map, struct map_entry *stored,
            const struct shardpage_entry *entry)
{
    uint16_t owner = ownertable_acquire(map->owners, entry->owner);

    ownertable_release(map->owners, stored->owner);
    stored->owner = owner;
    stored->epoch = entry->epoch;
    stored->wait = entry->wait ? 1 : 0;
    stored->taken_over = entry->taken_over ? 1 : 0;
}

/* An epoch must not fall, nor an owner change within an epoch. */
static bool
entry_is_later(const struct shardpage_entry *before,
               const struct shardpage_entry *after)
{
    if (after->epoch == before->epoch) {
        return strcmp(after->owner, before->owner) == 0;
    }
    return after->epoch > before->epoch;
}

static bool
page_is_later(struct shardpage *before, const struct shardpage *after)
{
    size_t count = after->shard_count + after->key_count;

    for (size_t i = 0; i < count; i++) {
        const struct shardpage_entry *entry = &after->entries[i];
        const struct shardpage_entry *known =
            shardpage_find(before, entry->shard);
        char subject[2 * STATE_NAME_MAX];
        (void)snprintf(subject, sizeof(subject), "%s/%u", after->service,
                       entry->shard);
        if (known != NULL &&
            !invariant_check(INVARIANT_EPOCH_RISES,
                             entry_is_later(known, entry), subject)) {
            return false;
        }
    }
    return true;
}

static void
replace_keys(struct shardmap *map, struct map_page *known,
             const struct shardpage *page)
{
    struct map_key_entry *keys = NULL;

    if (page->key_count > 0) {
        keys = calloc(page->key_count, sizeof(*keys));
        if (keys == NULL) {
            abort();
        }
    }
    for (size_t i = 0; i < page->key_count; i++) {
        const struct shardpage_entry *entry =
            &page->entries[page->shard_count + i];
        keys[i].key = entry->shard;
        keys[i].base = entry->base;
        store_entry(map, &keys[i].stored, entry);
    }
    for (size_t i = 0; i < known->key_count; i++) {
        ownertable_release(map->owners, known->keys[i].stored.owner);
    }
    free(known->keys);
    known->keys = keys;
    known->key_count = page->key_count;
}

static void
report_changes(struct shardpage *before, struct shardpage *after,
               shardmap_change_cb changed, void *ctx)
{
    for (size_t i = 0; i < after->shard_count + after->key_count; i++) {
        const struct shardpage_entry *entry = &after->entries[i];
        const struct shardpage_entry *known =
            shardpage_find(before, entry->shard);
        if (known == NULL || known->epoch != entry->epoch) {
            changed(ctx, known, entry);
        }
    }
    for (size_t i = 0; i < before->key_count; i++) {
        const struct shardpage_entry *known =
            &before->entries[before->shard_count + i];
        if (shardpage_find(after, known->shard) == NULL) {
            changed(ctx, known, NULL);
        }
    }
}

bool
shardmap_apply(struct shardmap *map, const struct shardpage *page,
               uint64_t version, shardmap_change_cb changed, void *ctx)
{
    struct map_service *service = find_service(map, page->service);
    struct map_page *known;
    struct shardpage before;
    struct shardpage after = *page;

    if (service == NULL || page->page >= shardpage_count(service->shards)) {
        return false;
    }
    known = &service->pages[page->page];
    if (version <= known->version) {
        return false;
    }
    shardmap_copy_page(map, page->service, page->page, &before);
    if (before.shard_count != page->shard_count ||
        !page_is_later(&before, page)) {
        return false;
    }
    known->version = version;
    for (size_t i = 0; i < page->shard_count; i++) {
        store_entry(map, &service->shard_entries[page->entries[i].shard],
                    &page->entries[i]);
    }
    replace_keys(map, known, page);
    if (changed != NULL) {
        report_changes(&before, &after, changed, ctx);
    }
    return true;
}

bool
shardmap_add_owner_hint(struct shardmap *map, const char *name, uint32_t shard,
                        const char *owner, uint32_t epoch)
{
    const struct map_service *service = find_service(map, name);
    const struct map_entry *stored =
        service == NULL ? NULL : find_stored(service, shard);
    struct owner_hint *hint;
    uint64_t location_hash;

    if (stored == NULL || epoch <= stored->epoch) {
        return false;
    }
    location_hash = hash_location(service, shard);
    hint = &map->hints[location_hash % OWNER_HINTS];
    if (hint->location_hash == location_hash && hint->epoch >= epoch) {
        return false;
    }
    hint->location_hash = location_hash;
    hint->epoch = epoch;
    (void)snprintf(hint->owner, sizeof(hint->owner), "%s", owner);
    return true;
}

uint32_t
shardmap_owned_count(const struct shardmap *map, const char *instance)
{
    return ownertable_shard_count(map->owners, instance);
}

void
shardmap_visit_owners(const struct shardmap *map, const char *name,
                      void (*visit)(void *ctx, const char *owner), void *ctx)
{
    const struct map_service *service = find_service(map, name);
    uint8_t *seen;

    if (service == NULL) {
        return;
    }
    seen = calloc(OWNERTABLE_MAX + 1, 1);
    if (seen == NULL) {
        abort();
    }
    for (uint32_t i = 0; i < service->shards; i++) {
        seen[service->shard_entries[i].owner] = 1;
    }
    for (uint32_t i = 0; i < shardpage_count(service->shards); i++) {
        const struct map_page *page = &service->pages[i];
        for (size_t j = 0; j < page->key_count; j++) {
            seen[page->keys[j].stored.owner] = 1;
        }
    }
    for (uint32_t i = 1; i <= OWNERTABLE_MAX; i++) {
        if (seen[i] != 0) {
            visit(ctx, ownertable_name(map->owners, (uint16_t)i));
        }
    }
    free(seen);
}

uint32_t
shardmap_base_shard(const struct shardmap *map, const char *name,
                    uint32_t shard)
{
    const struct map_service *service = find_service(map, name);

    if (service == NULL || (shard & SHARD_KEY_FLAG) == 0) {
        return shard;
    }
    for (uint32_t i = 0; i < shardpage_count(service->shards); i++) {
        const struct map_key_entry *key_entry =
            find_key(&service->pages[i], shard);
        if (key_entry != NULL) {
            return key_entry->base;
        }
    }
    return shard;
}
