#include "placement/placer_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "base/timeunits.h"

/* Delays after ownership is known, until shards without earlier owner are
 * claimed and shards of members that are gone are reassigned. */
#define CLAIM_DELAY_US (2 * US_PER_SECOND)
#define REPLACE_DELAY_US (5 * US_PER_SECOND)
#define RANK_DELAY_US (300 * US_PER_MS) /* between successive ranks */
#define OWNERS_CHECK_PERIOD_US (3 * US_PER_SECOND)
#define REPLACE_CHOICES 3 /* random receivers compared for a shard */

static struct shardchange *
shardchange_create(const struct shardpage_entry *entry,
                   enum shardchange_kind kind, const char *to,
                   const char *reason)
{
    struct shardchange *change = calloc(1, sizeof(*change));

    if (change == NULL) {
        abort();
    }
    change->kind = kind;
    change->shard = entry->shard;
    change->base = entry->base;
    change->from_epoch = entry->epoch;
    change->reason = reason;
    (void)snprintf(change->from, sizeof(change->from), "%s", entry->owner);
    (void)snprintf(change->to, sizeof(change->to), "%s", to);
    return change;
}

/* Delay by this instance's rank for a subject and page: the members act on a
 * page one after another, in an order that differs from page to page. */
static int64_t
rank_delay_us(const struct placer *placer, const char *subject, uint32_t page)
{
    uint64_t hash = hash_bytes(&page, sizeof(page), hash_string(subject));
    size_t rank = peers_rank(placer->peers, hash, placer->instance);

    return (int64_t)rank * RANK_DELAY_US;
}

/* Assigns contiguous ranges in proportion to capacity, so that the shards of a
 * member are on few pages. */
static const char *
initial_owner(const struct placer *placer, uint32_t shard)
{
    double total = 0;
    double position;

    for (size_t i = 0; i < peers_count(placer->peers); i++) {
        const struct peer *peer = peers_at(placer->peers, i);
        total += peer_is_eligible(peer) ? peer->info.capacity : 0;
    }
    position = total * shard / placer->shards;
    for (size_t i = 0; i < peers_count(placer->peers); i++) {
        const struct peer *peer = peers_at(placer->peers, i);
        if (!peer_is_eligible(peer)) {
            continue;
        }
        if (position < peer->info.capacity) {
            return peer->info.name;
        }
        position -= peer->info.capacity;
    }
    return placer->instance;
}

static void
claim_page(struct placer *placer, uint32_t number, struct shardpage *page)
{
    for (size_t i = 0; i < page->shard_count; i++) {
        const struct shardpage_entry *entry = &page->entries[i];
        if (entry->epoch == 0 &&
            !pagewriter_has_change(placer->writer, number, entry->shard)) {
            pagewriter_add(
                placer->writer, number,
                shardchange_create(entry, SHARDCHANGE_CLAIM,
                                   initial_owner(placer, entry->shard),
                                   "never owned"));
        }
    }
}

/* Estimated load of each shard of a member that is gone. */
static double
estimated_load(const struct placer *placer, const struct peer *gone)
{
    uint32_t owned = shardmap_owned_count(placer->map, gone->info.name);

    if (owned == 0) {
        return 0;
    }
    return placer_rebalance_view(placer).mean_ratio * gone->info.capacity /
           owned;
}

static const char *
choose_replacement(struct placer *placer, double load)
{
    struct peer *peer = peers_pick_least_loaded(placer->peers, &placer->random,
                                                REPLACE_CHOICES, load, "");

    if (peer == NULL) {
        return NULL;
    }
    peers_add_pending_load(peer, load, placer->now_us);
    return peer->info.name;
}

static void
replace_entry(struct placer *placer, uint32_t number,
              const struct shardpage_entry *entry, const struct peer *gone,
              double load)
{
    const char *to = choose_replacement(placer, load);
    struct shardchange *change;

    if (to == NULL) {
        return;
    }
    change =
        shardchange_create(entry, SHARDCHANGE_REPLACE, to, "owner is gone");
    change->from_version = gone->info.version;
    change->wait = !placer->limits.targets_check_grants;
    pagewriter_add(placer->writer, number, change);
}

static bool
is_own_turn(const struct placer *placer, const struct peer *gone,
            uint32_t number)
{
    int64_t gone_for_us = placer->now_us - gone->state_changed_us;

    return gone->info.fenced_here ||
           gone_for_us >= rank_delay_us(placer, gone->info.name, number);
}

static void
replace_gone_owners(struct placer *placer, uint32_t number)
{
    struct shardpage page;

    shardmap_copy_page(placer->map, placer->service, number, &page);
    for (size_t i = 0; i < page.shard_count + page.key_count; i++) {
        const struct shardpage_entry *entry = &page.entries[i];
        const struct peer *owner;
        if (entry->epoch == 0 || strcmp(entry->owner, placer->instance) == 0) {
            continue;
        }
        owner = peers_find(placer->peers, entry->owner);
        if (owner != NULL && owner->info.state == PEER_GONE &&
            is_own_turn(placer, owner, number) &&
            !pagewriter_has_change(placer->writer, number, entry->shard)) {
            replace_entry(placer, number, entry, owner,
                          estimated_load(placer, owner));
        }
    }
}

struct owner_check {
    struct placer *placer;
    bool any_owner_gone;
};

/* Records whether an owner is gone; requests the row of an unknown one. */
static void
check_owner(void *ctx, const char *name)
{
    struct owner_check *check = ctx;
    const struct peer *peer = peers_find(check->placer->peers, name);

    if (peer != NULL && peer->info.state == PEER_GONE) {
        check->any_owner_gone = true;
    }
    if (peer == NULL) {
        struct place_action *action =
            placer_add_action(check->placer, PLACE_READ_MEMBER);
        (void)snprintf(action->peer, sizeof(action->peer), "%s", name);
    }
}

static bool
check_owners(struct placer *placer)
{
    struct owner_check check = {.placer = placer};

    if (placer->now_us < placer->owners_check_due_us) {
        return placer->owners_gone;
    }
    placer->owners_check_due_us = placer->now_us + OWNERS_CHECK_PERIOD_US;
    shardmap_visit_owners(placer->map, placer->service, check_owner, &check);
    placer->owners_gone = check.any_owner_gone;
    return check.any_owner_gone;
}

void
placer_assign_unowned(struct placer *placer)
{
    int64_t age_us = placer->now_us - placer->ownership_known_us;
    bool gone = check_owners(placer);

    if (placer->leaving || placer->zone_out || age_us < CLAIM_DELAY_US ||
        pagewriter_is_backing_off(placer->writer, placer->now_us)) {
        return;
    }
    for (uint32_t i = 0; i < shardpage_count(placer->shards); i++) {
        bool never_written =
            shardmap_page_version(placer->map, placer->service, i) == 0;
        if (never_written &&
            age_us >= CLAIM_DELAY_US + rank_delay_us(placer, "claim", i)) {
            struct shardpage page;
            shardmap_copy_page(placer->map, placer->service, i, &page);
            claim_page(placer, i, &page);
        }
        else if (!never_written && gone && age_us >= REPLACE_DELAY_US) {
            replace_gone_owners(placer, i);
        }
    }
}
