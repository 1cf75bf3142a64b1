#include "placement/shardchange.h"

#include <stdio.h>
#include <string.h>

const char *
shardchange_kind_name(enum shardchange_kind kind)
{
    static const char *const names[] = {
        [SHARDCHANGE_MOVE] = "move",   [SHARDCHANGE_REPLACE] = "replace",
        [SHARDCHANGE_CLAIM] = "claim", [SHARDCHANGE_SPLIT] = "split",
        [SHARDCHANGE_MERGE] = "merge",
    };

    return names[kind];
}

static enum shardchange_status
compare_split(const struct shardchange *change, struct shardpage *page)
{
    const struct shardpage_entry *key = shardpage_find(page, change->shard);
    const struct shardpage_entry *base = shardpage_find(page, change->base);

    if (key != NULL) {
        bool matches = strcmp(key->owner, change->to) == 0 &&
                       key->epoch == change->from_epoch + 1;
        return matches ? SHARDCHANGE_APPLIED : SHARDCHANGE_STALE;
    }
    if (base == NULL || strcmp(base->owner, change->from) != 0 ||
        base->epoch != change->from_epoch) {
        return SHARDCHANGE_STALE;
    }
    return SHARDCHANGE_PENDING;
}

enum shardchange_status
shardchange_compare(const struct shardchange *change, struct shardpage *page,
                    const struct peers *peers)
{
    const struct shardpage_entry *entry = shardpage_find(page, change->shard);
    const struct peer *from;

    if (change->kind == SHARDCHANGE_SPLIT) {
        return compare_split(change, page);
    }
    if (entry == NULL) {
        return change->kind == SHARDCHANGE_MERGE ? SHARDCHANGE_APPLIED
                                                 : SHARDCHANGE_STALE;
    }
    if (entry->epoch == change->from_epoch + 1 &&
        strcmp(entry->owner, change->to) == 0) {
        return SHARDCHANGE_APPLIED;
    }
    if (entry->epoch != change->from_epoch ||
        strcmp(entry->owner, change->from) != 0) {
        return SHARDCHANGE_STALE;
    }
    if (change->kind == SHARDCHANGE_MERGE) {
        const struct shardpage_entry *base = shardpage_find(page, entry->base);
        bool matches = base != NULL && strcmp(base->owner, change->from) == 0;
        return matches ? SHARDCHANGE_PENDING : SHARDCHANGE_STALE;
    }
    if (change->kind != SHARDCHANGE_REPLACE) {
        return SHARDCHANGE_PENDING;
    }
    from = peers_find(peers, change->from);
    if (from == NULL || from->info.state != PEER_GONE ||
        from->info.version != change->from_version) {
        return SHARDCHANGE_STALE;
    }
    return SHARDCHANGE_PENDING;
}

bool
shardchange_apply(const struct shardchange *change, struct shardpage *page)
{
    struct shardpage_entry *entry;

    if (change->kind == SHARDCHANGE_SPLIT) {
        return shardpage_split(page, change->base, change->shard) != NULL;
    }
    if (change->kind == SHARDCHANGE_MERGE) {
        return shardpage_merge(page, change->shard);
    }
    entry = shardpage_find(page, change->shard);
    (void)snprintf(entry->owner, sizeof(entry->owner), "%s", change->to);
    entry->epoch = change->from_epoch + 1;
    entry->wait = change->wait;
    entry->taken_over = change->kind == SHARDCHANGE_REPLACE;
    return true;
}
