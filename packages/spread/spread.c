#include "spread/spread_internal.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/timeunits.h"

#define PUSHES_EXTRA 6     /* per item, on top of ln(members) */
#define BURST_SECONDS 3.0  /* of bytes_per_second, saved at most */
#define ITEMS_PER_BUCKET 8 /* expected in a section */
#define FETCH_RETRY_US (1 * US_PER_SECOND)

struct spread *
spread_create(const struct spread_options *options, int64_t now_us)
{
    struct spread *spread = calloc(1, sizeof(*spread));

    if (spread == NULL) {
        return NULL;
    }
    (void)snprintf(spread->instance, sizeof(spread->instance), "%s",
                   options->instance);
    spread->ops = options->ops;
    spread->ctx = options->ctx;
    spread->bytes_per_second = options->bytes_per_second;
    spread->tokens = options->bytes_per_second * BURST_SECONDS;
    spread->refilled_us = now_us;
    random_seed(&spread->random, options->seed);
    for (int i = 0; i < SPREAD_KIND_COUNT; i++) {
        TAILQ_INIT(&spread->queues[i]);
    }
    spread->next_push_us = now_us;
    spread->next_digest_us =
        now_us +
        (int64_t)random_below(&spread->random, SPREAD_DIGEST_INTERVAL_US);
    spread->peers =
        spreadpeers_create(options->zone, options->region, options->policy);
    spread->table = itemtable_create();
    if (spread->peers == NULL || spread->table == NULL) {
        spread_destroy(spread);
        return NULL;
    }
    return spread;
}

void
spread_destroy(struct spread *spread)
{
    if (spread != NULL) {
        itemtable_destroy(spread->table);
        spreadpeers_destroy(spread->peers);
        free(spread);
    }
}

struct spreadpeers *
spread_peers(struct spread *spread)
{
    return spread->peers;
}

void
spread_set_revision(struct spread *spread, uint64_t revision)
{
    spread->revision = revision;
}

/* Pushes that reach all members with high probability. */
static unsigned
pushes_needed(const struct spread *spread)
{
    double members = (double)spreadpeers_count(spread->peers) + 1;

    return (unsigned)ceil(log(members)) + PUSHES_EXTRA;
}

static void
enqueue(struct spread *spread, struct stored_item *item)
{
    item->pushes_left = pushes_needed(spread);
    if (!item->queued) {
        item->queued = true;
        TAILQ_INSERT_TAIL(&spread->queues[item->kind], item, queue_link);
    }
}

static void
unqueue(struct spread *spread, struct stored_item *item)
{
    if (item->queued) {
        item->queued = false;
        TAILQ_REMOVE(&spread->queues[item->kind], item, queue_link);
    }
}

bool
spread_put(struct spread *spread, const struct spread_item *item,
           int64_t now_us)
{
    struct stored_item *stored =
        itemtable_add(spread->table, item->kind, item->name);

    if (item->version <= stored->version) {
        return false;
    }
    itemtable_set_payload(spread->table, stored, item->version, item->payload,
                          item->size);
    enqueue(spread, stored);
    if (spread->next_push_us < now_us) {
        spread->next_push_us = now_us;
    }
    return true;
}

static struct spread_item
item_of(const struct stored_item *stored)
{
    return (struct spread_item){
        .kind = stored->kind,
        .name = stored->name,
        .version = stored->version,
        .payload = stored->payload,
        .size = stored->size,
    };
}

bool
spread_find(const struct spread *spread, enum spread_kind kind,
            const char *name, struct spread_item *item)
{
    const struct stored_item *stored =
        itemtable_find(spread->table, itemtable_hash(kind, name));

    if (stored == NULL || !stored->complete) {
        return false;
    }
    *item = item_of(stored);
    return true;
}

void
spread_discard_payload(struct spread *spread, enum spread_kind kind,
                       const char *name)
{
    struct stored_item *stored =
        itemtable_find(spread->table, itemtable_hash(kind, name));

    if (stored != NULL) {
        unqueue(spread, stored);
        itemtable_set_payload(spread->table, stored, stored->version, NULL, 0);
    }
}

/* Stores an item with its payload from a peer. @return true if it is new. */
static bool
accept_item(struct spread *spread, const struct spread_item *item)
{
    struct stored_item *stored =
        itemtable_add(spread->table, item->kind, item->name);
    struct spread_item complete;

    if (item->version <= stored->version) {
        spread->counts.duplicate++;
        return false;
    }
    itemtable_set_payload(spread->table, stored, item->version, item->payload,
                          item->size);
    spread->counts.fresh++;
    enqueue(spread, stored);
    complete = item_of(stored);
    spread->ops->deliver(spread->ctx, &complete);
    return true;
}

static void
fetch_item(struct spread *spread, struct stored_item *stored, const char *peer,
           int64_t now_us)
{
    if (stored->fetching && now_us - stored->fetch_us < FETCH_RETRY_US) {
        return;
    }
    stored->fetching = true;
    stored->fetch_us = now_us;
    spread->counts.fetches++;
    spread->ops->fetch(spread->ctx, peer, stored->kind, stored->name);
}

/* @return true if the version is new, with or without its payload. */
static bool
receive_entry(struct spread *spread, const struct spread_entry *entry,
              const char *peer, int64_t now_us)
{
    struct stored_item *stored;
    struct spread_item item = {
        .kind = entry->kind,
        .name = entry->name,
        .version = entry->item_version,
        .payload = entry->payload.payload_val,
        .size = entry->payload.payload_len,
    };

    if ((unsigned)entry->kind >= SPREAD_KIND_COUNT) {
        return false;
    }
    if (entry->size == entry->payload.payload_len) {
        return accept_item(spread, &item);
    }
    stored = itemtable_add(spread->table, entry->kind, entry->name);
    if (entry->item_version <= stored->version) {
        spread->counts.duplicate++;
        return false;
    }
    if (entry->item_version > stored->announced) {
        stored->announced = entry->item_version;
    }
    fetch_item(spread, stored, peer, now_us);
    return true;
}

void
spread_handle_fetched(struct spread *spread, const char *peer,
                      enum spread_kind kind, const char *name,
                      const struct spread_item *item, int64_t now_us)
{
    struct stored_item *stored =
        itemtable_find(spread->table, itemtable_hash(kind, name));

    (void)peer;
    (void)now_us;
    if (stored != NULL) {
        stored->fetching = false;
    }
    if (item != NULL) {
        (void)accept_item(spread, item);
    }
}

size_t
spread_entry_bytes(const struct stored_item *stored)
{
    size_t payload = stored->size <= SPREAD_INLINE_MAX ? stored->size : 0;

    return SPREAD_ENTRY_BYTES + strlen(stored->name) + payload;
}

void
spread_fill_entry(const struct stored_item *stored, struct spread_entry *entry)
{
    entry->kind = stored->kind;
    entry->name = stored->name;
    entry->item_version = stored->version;
    entry->size = stored->size;
    entry->payload.payload_len = 0;
    entry->payload.payload_val = stored->payload;
    if (stored->size <= SPREAD_INLINE_MAX) {
        entry->payload.payload_len = stored->size;
    }
}

/* Fills entries from the push queues, highest priority first. */
static u_int
collect_queued(struct spread *spread, size_t budget)
{
    u_int count = 0;

    for (int kind = 0; kind < SPREAD_KIND_COUNT; kind++) {
        struct stored_item *stored = TAILQ_FIRST(&spread->queues[kind]);
        while (stored != NULL && count < SPREAD_ITEMS_MAX) {
            struct stored_item *next = TAILQ_NEXT(stored, queue_link);
            size_t bytes = spread_entry_bytes(stored);
            if (bytes > budget) {
                break;
            }
            budget -= bytes;
            spread_fill_entry(stored, &spread->entries[count++]);
            if (--stored->pushes_left == 0) {
                unqueue(spread, stored);
            }
            stored = next;
        }
    }
    return count;
}

static size_t
entries_bytes(const struct spread_entry *entries, u_int count)
{
    size_t bytes = 0;

    for (u_int i = 0; i < count; i++) {
        bytes += SPREAD_ENTRY_BYTES + strlen(entries[i].name) +
                 entries[i].payload.payload_len;
    }
    return bytes;
}

size_t
spread_message_bytes(const struct spread_message *message)
{
    const size_t bytes =
        SPREAD_HEADER_BYTES + 40 + strlen(message->from) +
        entries_bytes(message->items.items_val, message->items.items_len);

    return bytes + 4 * (size_t)message->sums.sums_len +
           8 * (size_t)message->wanted.wanted_len;
}

size_t
spread_reply_bytes(const struct spread_reply *reply)
{
    const size_t bytes =
        SPREAD_HEADER_BYTES + 24 +
        entries_bytes(reply->items.items_val, reply->items.items_len);

    return bytes + 4 * (size_t)reply->buckets.buckets_len +
           16 * (size_t)reply->known.known_len;
}

void
spread_send(struct spread *spread, const char *peer,
            struct spread_message *message)
{
    size_t bytes = spread_message_bytes(message);

    message->from = spread->instance;
    message->revision = spread->revision;
    spread->tokens -= (double)bytes;
    spread->counts.messages++;
    spread->counts.bytes += (int64_t)bytes;
    spread->ops->send(spread->ctx, peer, message);
}

static void
push_queued_items(struct spread *spread)
{
    for (int i = 0; i < SPREAD_FANOUT; i++) {
        struct spread_message message = {.from = spread->instance};
        const char *peer = spreadpeers_choose(spread->peers, &spread->random);
        if (peer == NULL) {
            return;
        }
        if (spread->tokens < SPREAD_HEADER_BYTES) {
            spread->counts.throttled++;
            return;
        }
        message.items.items_val = spread->entries;
        message.items.items_len =
            collect_queued(spread, SPREAD_MESSAGE_ITEM_BYTES);
        if (message.items.items_len == 0) {
            return;
        }
        spread_send(spread, peer, &message);
    }
}

static void
refill_tokens(struct spread *spread, int64_t now_us)
{
    double seconds =
        (double)(now_us - spread->refilled_us) / (double)US_PER_SECOND;

    spread->refilled_us = now_us;
    spread->tokens += spread->bytes_per_second * seconds;
    if (spread->tokens > spread->bytes_per_second * BURST_SECONDS) {
        spread->tokens = spread->bytes_per_second * BURST_SECONDS;
    }
}

void
spread_run(struct spread *spread, int64_t now_us)
{
    refill_tokens(spread, now_us);
    if (now_us >= spread->next_push_us) {
        spread->next_push_us = now_us + SPREAD_PUSH_INTERVAL_US;
        push_queued_items(spread);
    }
    if (now_us >= spread->next_digest_us) {
        spread->next_digest_us =
            now_us + SPREAD_DIGEST_INTERVAL_US / 2 +
            (int64_t)random_below(&spread->random, SPREAD_DIGEST_INTERVAL_US);
        spread_send_digest(spread);
    }
}

int64_t
spread_next_run_us(const struct spread *spread)
{
    return spread->next_push_us < spread->next_digest_us
               ? spread->next_push_us
               : spread->next_digest_us;
}

static void
add_wanted_items(struct spread *spread, const struct spread_message *message)
{
    size_t budget = SPREAD_MESSAGE_ITEM_BYTES;
    u_int count = 0;

    for (u_int i = 0; i < message->wanted.wanted_len; i++) {
        const struct stored_item *stored =
            itemtable_find(spread->table, message->wanted.wanted_val[i]);
        if (stored == NULL || !stored->complete || count == SPREAD_ITEMS_MAX ||
            spread_entry_bytes(stored) > budget) {
            continue;
        }
        budget -= spread_entry_bytes(stored);
        spread_fill_entry(stored, &spread->entries[count++]);
    }
    spread->reply.items.items_val = spread->entries;
    spread->reply.items.items_len = count;
}

/* Fetches the configuration if the peer has a higher revision in force. */
static void
handle_peer_revision(struct spread *spread, const char *peer,
                     uint64_t revision, int64_t now_us)
{
    struct stored_item *stored;

    if (revision == 0) {
        return;
    }
    spread->ops->acknowledged(spread->ctx, peer, revision);
    stored = itemtable_add(spread->table, SPREAD_CONFIG, SPREAD_CONFIG_NAME);
    if (revision > stored->version && revision > spread->revision) {
        fetch_item(spread, stored, peer, now_us);
    }
}

const struct spread_reply *
spread_handle_message(struct spread *spread,
                      const struct spread_message *message, int64_t now_us)
{
    memset(&spread->reply, 0, sizeof(spread->reply));
    handle_peer_revision(spread, message->from, message->revision, now_us);
    for (u_int i = 0; i < message->items.items_len; i++) {
        if (receive_entry(spread, &message->items.items_val[i], message->from,
                          now_us)) {
            spread->reply.fresh++;
        }
    }
    spread_answer_digest(spread, message);
    add_wanted_items(spread, message);
    spread->reply.revision = spread->revision;
    spread->counts.replies++;
    return &spread->reply;
}

void
spread_handle_reply(struct spread *spread, const char *peer,
                    const struct spread_reply *reply, int64_t now_us)
{
    if (reply == NULL) {
        return;
    }
    handle_peer_revision(spread, peer, reply->revision, now_us);
    for (u_int i = 0; i < reply->items.items_len; i++) {
        (void)receive_entry(spread, &reply->items.items_val[i], peer, now_us);
    }
    spread_reconcile(spread, peer, reply);
}

struct spread_counts
spread_counts(const struct spread *spread)
{
    return spread->counts;
}

size_t
spread_item_count(const struct spread *spread)
{
    return itemtable_count(spread->table);
}

size_t
spread_memory(const struct spread *spread)
{
    return sizeof(*spread) + itemtable_memory(spread->table) +
           spreadpeers_memory(spread->peers);
}
