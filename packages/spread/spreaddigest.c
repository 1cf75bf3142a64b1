#include "spread/spread_internal.h"

#include <string.h>

#define ITEMS_PER_BUCKET 8 /* expected in a section */

static uint32_t
section_count(size_t items)
{
    return (uint32_t)(items / ((size_t)SPREAD_BUCKETS * ITEMS_PER_BUCKET)) + 1;
}

struct digest_sums {
    uint32_t section;
    uint32_t sections;
    u_int *sums;
};

/* @return -1 if the item is in another section. */
static int
bucket_of(const struct stored_item *item, uint32_t section, uint32_t sections)
{
    if (item->hash % sections != section) {
        return -1;
    }
    return (int)((item->hash >> 32) % SPREAD_BUCKETS);
}

static void
add_to_sum(void *ctx, struct stored_item *item)
{
    struct digest_sums *digest = ctx;
    int bucket = bucket_of(item, digest->section, digest->sections);
    uint64_t mixed =
        (item->hash ^ item->version) * UINT64_C(0x9e3779b97f4a7c15);

    if (bucket >= 0 && item->version != 0) {
        digest->sums[bucket] += (u_int)(mixed >> 32);
    }
}

static void
compute_sums(const struct spread *spread, uint32_t section, uint32_t sections,
             u_int sums[SPREAD_BUCKETS])
{
    struct digest_sums digest = {section, sections, sums};

    memset(sums, 0, SPREAD_BUCKETS * sizeof(*sums));
    itemtable_visit(spread->table, add_to_sum, &digest);
}

void
spread_send_digest(struct spread *spread)
{
    struct spread_message message = {.from = spread->instance};
    const char *peer =
        random_chance(&spread->random, 0.5)
            ? spreadpeers_choose(spread->peers, &spread->random)
            : spreadpeers_choose_other_zone(spread->peers, &spread->random);

    if (peer == NULL) {
        return;
    }
    message.sections = section_count(itemtable_count(spread->table));
    spread->digest_sections = message.sections;
    spread->digest_section = (spread->digest_section + 1) % message.sections;
    message.section = spread->digest_section;
    compute_sums(spread, message.section, message.sections, spread->sums);
    message.sums.sums_val = spread->sums;
    message.sums.sums_len = SPREAD_BUCKETS;
    spread->counts.digests++;
    spread_send(spread, peer, &message);
}

struct bucket_listing {
    struct spread *spread;
    const struct spread_message *message;
    int bucket;
    u_int count;
    bool full;
};

static void
list_item(void *ctx, struct stored_item *item)
{
    struct bucket_listing *listing = ctx;
    struct spread_known *known;

    if (item->version == 0 ||
        bucket_of(item, listing->message->section,
                  listing->message->sections) != listing->bucket) {
        return;
    }
    if (listing->count == SPREAD_KNOWN_MAX) {
        listing->full = true;
        return;
    }
    known = &listing->spread->known[listing->count++];
    known->hash = item->hash;
    known->item_version = item->version;
}

void
spread_answer_digest(struct spread *spread,
                     const struct spread_message *message)
{
    struct bucket_listing listing = {.spread = spread, .message = message};
    u_int buckets = 0;
    u_int sums[SPREAD_BUCKETS];

    if (message->sections == 0 || message->sums.sums_len != SPREAD_BUCKETS) {
        return;
    }
    compute_sums(spread, message->section, message->sections, sums);
    for (int i = 0; i < SPREAD_BUCKETS && !listing.full; i++) {
        u_int before = listing.count;
        if (sums[i] == message->sums.sums_val[i]) {
            continue;
        }
        listing.bucket = i;
        itemtable_visit(spread->table, list_item, &listing);
        if (listing.full && buckets > 0) {
            /* A bucket is listed completely or not at all. */
            listing.count = before;
            break;
        }
        spread->differing[buckets++] = (u_int)i;
    }
    spread->reply.buckets.buckets_val = spread->differing;
    spread->reply.buckets.buckets_len = buckets;
    spread->reply.known.known_val = spread->known;
    spread->reply.known.known_len = listing.count;
}

struct digest_diff {
    struct spread *spread;
    const struct spread_reply *reply;
    size_t budget;
    u_int count;
};

static bool
reply_lists_bucket(const struct spread_reply *reply, int bucket)
{
    for (u_int i = 0; i < reply->buckets.buckets_len; i++) {
        if ((int)reply->buckets.buckets_val[i] == bucket) {
            return true;
        }
    }
    return false;
}

/* Collects an item that the reply lacks or lists with a lower version. */
static void
collect_missing_at_peer(void *ctx, struct stored_item *item)
{
    struct digest_diff *diff = ctx;
    const struct spread_reply *reply = diff->reply;
    int bucket = bucket_of(item, diff->spread->digest_section,
                           diff->spread->digest_sections);

    if (bucket < 0 || !item->complete || !reply_lists_bucket(reply, bucket) ||
        diff->count == SPREAD_ITEMS_MAX ||
        spread_entry_bytes(item) > diff->budget) {
        return;
    }
    for (u_int i = 0; i < reply->known.known_len; i++) {
        if (reply->known.known_val[i].hash == item->hash &&
            reply->known.known_val[i].item_version >= item->version) {
            return;
        }
    }
    diff->budget -= spread_entry_bytes(item);
    spread_fill_entry(item, &diff->spread->entries[diff->count++]);
}

static u_int
collect_missing_here(struct spread *spread, const struct spread_reply *reply)
{
    u_int count = 0;

    for (u_int i = 0; i < reply->known.known_len; i++) {
        const struct spread_known *known = &reply->known.known_val[i];
        const struct stored_item *stored =
            itemtable_find(spread->table, known->hash);
        if ((stored == NULL || stored->version < known->item_version) &&
            count < SPREAD_KNOWN_MAX) {
            spread->wanted[count++] = known->hash;
        }
    }
    return count;
}

void
spread_reconcile(struct spread *spread, const char *peer,
                 const struct spread_reply *reply)
{
    struct spread_message message = {.from = spread->instance};
    struct digest_diff diff = {
        .spread = spread, .reply = reply, .budget = SPREAD_MESSAGE_ITEM_BYTES};

    if (reply->buckets.buckets_len == 0) {
        return;
    }
    itemtable_visit(spread->table, collect_missing_at_peer, &diff);
    message.items.items_val = spread->entries;
    message.items.items_len = diff.count;
    message.wanted.wanted_val = spread->wanted;
    message.wanted.wanted_len = collect_missing_here(spread, reply);
    if (diff.count > 0 || message.wanted.wanted_len > 0) {
        spread_send(spread, peer, &message);
    }
}
