#include "placement/shardmap_internal.h"

size_t
shardmap_memory(const struct shardmap *map)
{
    size_t bytes = sizeof(*map) + ownertable_memory(map->owners);
    const struct map_service *service;

    LIST_FOREACH (service, &map->services, link) {
        uint32_t pages = shardpage_count(service->shards);
        bytes += sizeof(*service);
        bytes += service->shards * sizeof(struct map_entry);
        bytes += pages * sizeof(struct map_page);
        for (uint32_t i = 0; i < pages; i++) {
            bytes +=
                service->pages[i].key_count * sizeof(struct map_key_entry);
        }
    }
    return bytes;
}

json_t *
shardmap_snapshot(const struct shardmap *map, uint64_t version)
{
    json_t *pages = json_array();
    const struct map_service *service;

    LIST_FOREACH (service, &map->services, link) {
        for (uint32_t i = 0; i < shardpage_count(service->shards); i++) {
            struct shardpage page;
            uint64_t known = shardmap_copy_page(map, service->name, i, &page);
            if (known != 0) {
                json_array_append_new(
                    pages, json_pack("{s:I,s:o}", "version", (json_int_t)known,
                                     "page", shardpage_to_json(&page)));
            }
        }
    }
    return json_pack("{s:I,s:o}", "version", (json_int_t)version, "pages",
                     pages);
}

uint64_t
shardmap_restore(struct shardmap *map, const json_t *snapshot,
                 shardmap_change_cb changed, void *ctx, struct error *err)
{
    json_int_t version =
        json_integer_value(json_object_get(snapshot, "version"));
    const json_t *pages = json_object_get(snapshot, "pages");

    if (version <= 0 || !json_is_array(pages)) {
        (void)error_set(err, ERROR_FIELD_MISSING, "snapshot of the shard map");
        return 0;
    }
    for (size_t i = 0; i < json_array_size(pages); i++) {
        const json_t *item = json_array_get(pages, i);
        json_int_t known =
            json_integer_value(json_object_get(item, "version"));
        struct shardpage page;
        if (!shardpage_from_json(&page, json_object_get(item, "page"), err)) {
            return 0;
        }
        shardmap_apply(map, &page, (uint64_t)known, changed, ctx);
    }
    return (uint64_t)version;
}
