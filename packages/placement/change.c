#include "placement/change.h"

#include <stdio.h>
#include <string.h>

const char *
change_kind_name(enum change_kind kind)
{
    static const char *const names[] = {
        [CHANGE_MOVE] = "move",   [CHANGE_REPLACE] = "replace",
        [CHANGE_CLAIM] = "claim", [CHANGE_SPLIT] = "split",
        [CHANGE_MERGE] = "merge",
    };

    return names[kind];
}

static enum standing
split_standing(const struct change *change, struct shardpage *page)
{
    const struct shardpage_entry *key = shardpage_find(page, change->shard);
    const struct shardpage_entry *base = shardpage_find(page, change->base);

    if (key != NULL) {
        bool same = strcmp(key->owner, change->to) == 0 &&
                    key->epoch == change->from_epoch + 1;
        return same ? STANDING_DONE : STANDING_OVERTAKEN;
    }
    if (base == NULL || strcmp(base->owner, change->from) != 0 ||
        base->epoch != change->from_epoch) {
        return STANDING_OVERTAKEN;
    }
    return STANDING_WANTED;
}

enum standing
change_standing(const struct change *change, struct shardpage *page,
                const struct peers *peers)
{
    const struct shardpage_entry *entry = shardpage_find(page, change->shard);
    const struct peer *from;

    if (change->kind == CHANGE_SPLIT) {
        return split_standing(change, page);
    }
    if (entry == NULL) {
        return change->kind == CHANGE_MERGE ? STANDING_DONE
                                            : STANDING_OVERTAKEN;
    }
    if (entry->epoch == change->from_epoch + 1 &&
        strcmp(entry->owner, change->to) == 0) {
        return STANDING_DONE;
    }
    if (entry->epoch != change->from_epoch ||
        strcmp(entry->owner, change->from) != 0) {
        return STANDING_OVERTAKEN;
    }
    if (change->kind == CHANGE_MERGE) {
        const struct shardpage_entry *base = shardpage_find(page, entry->base);
        bool same = base != NULL && strcmp(base->owner, change->from) == 0;
        return same ? STANDING_WANTED : STANDING_OVERTAKEN;
    }
    if (change->kind != CHANGE_REPLACE) {
        return STANDING_WANTED;
    }
    from = peers_find(peers, change->from);
    if (from == NULL || from->info.state != PEER_GONE ||
        from->info.version != change->from_version) {
        return STANDING_OVERTAKEN;
    }
    return STANDING_WANTED;
}

bool
change_edit(const struct change *change, struct shardpage *page)
{
    struct shardpage_entry *entry;

    if (change->kind == CHANGE_SPLIT) {
        return shardpage_split(page, change->base, change->shard) != NULL;
    }
    if (change->kind == CHANGE_MERGE) {
        return shardpage_merge(page, change->shard);
    }
    entry = shardpage_find(page, change->shard);
    (void)snprintf(entry->owner, sizeof(entry->owner), "%s", change->to);
    entry->epoch = change->from_epoch + 1;
    entry->wait = change->wait;
    entry->taken = change->kind == CHANGE_REPLACE;
    return true;
}
