#include "placement/pagewriter.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/timeunits.h"

/* No new moves are started for this time after the store failed. */
#define FAILURE_BACKOFF_US (3 * US_PER_SECOND)

/* Changes of one page that have not ended. */
struct page_queue {
    LIST_ENTRY(page_queue) link;
    uint32_t page;
    struct shardchange_list changes;
    struct page_write *write; /* in progress, or NULL */
    bool must_read;
    bool reading;
    uint64_t unresolved_base_version; /* highest one compared by a write of
                                         unknown outcome */
    int64_t due_us;                   /* of the next read or write */
    int64_t backoff_us;
};

LIST_HEAD(page_queue_list, page_queue);

struct pagewriter {
    struct pagewriter_spec spec;
    struct random_state random;
    uint64_t own_row_version;
    struct page_queue_list queues;
    struct shardchange_list ended; /* freed by pagewriter_run() */
    size_t pending_count;
    int64_t failure_backoff_until_us;
};

struct pagewriter *
pagewriter_create(const struct pagewriter_spec *spec, uint64_t seed)
{
    struct pagewriter *writer = calloc(1, sizeof(*writer));

    if (writer != NULL) {
        writer->spec = *spec;
        random_seed(&writer->random, seed);
        LIST_INIT(&writer->queues);
        TAILQ_INIT(&writer->ended);
    }
    return writer;
}

static void
free_changes(struct shardchange_list *list)
{
    struct shardchange *change = TAILQ_FIRST(list);

    while (change != NULL) {
        struct shardchange *next = TAILQ_NEXT(change, link);
        free(change);
        change = next;
    }
    TAILQ_INIT(list);
}

static void
queue_free(struct page_queue *queue)
{
    free_changes(&queue->changes);
    free(queue->write);
    free(queue);
}

void
pagewriter_reset(struct pagewriter *writer)
{
    struct page_queue *queue = LIST_FIRST(&writer->queues);

    while (queue != NULL) {
        struct page_queue *next = LIST_NEXT(queue, link);
        queue_free(queue);
        queue = next;
    }
    LIST_INIT(&writer->queues);
    free_changes(&writer->ended);
    writer->pending_count = 0;
}

void
pagewriter_destroy(struct pagewriter *writer)
{
    if (writer != NULL) {
        pagewriter_reset(writer);
        free(writer);
    }
}

void
pagewriter_set_own_version(struct pagewriter *writer, uint64_t version)
{
    writer->own_row_version = version;
}

static struct page_queue *
find_queue(const struct pagewriter *writer, uint32_t page)
{
    struct page_queue *queue;

    LIST_FOREACH (queue, &writer->queues, link) {
        if (queue->page == page) {
            return queue;
        }
    }
    return NULL;
}

void
pagewriter_add(struct pagewriter *writer, uint32_t page,
               struct shardchange *change)
{
    struct page_queue *queue = find_queue(writer, page);

    if (queue == NULL) {
        queue = calloc(1, sizeof(*queue));
        if (queue == NULL) {
            abort();
        }
        queue->page = page;
        TAILQ_INIT(&queue->changes);
        LIST_INSERT_HEAD(&writer->queues, queue, link);
    }
    change->attempts = 0;
    change->in_write = false;
    change->unresolved = false;
    TAILQ_INSERT_TAIL(&queue->changes, change, link);
    writer->pending_count++;
}

bool
pagewriter_has_change(const struct pagewriter *writer, uint32_t page,
                      uint32_t shard)
{
    const struct page_queue *queue = find_queue(writer, page);
    const struct shardchange *change;

    if (queue == NULL) {
        return false;
    }
    TAILQ_FOREACH (change, &queue->changes, link) {
        if (change->shard == shard) {
            return true;
        }
    }
    return false;
}

bool
pagewriter_page_is_busy(const struct pagewriter *writer, uint32_t page)
{
    const struct page_queue *queue = find_queue(writer, page);

    return queue != NULL &&
           (queue->write != NULL || queue->reading || queue->must_read);
}

size_t
pagewriter_pending(const struct pagewriter *writer)
{
    return writer->pending_count;
}

bool
pagewriter_is_backing_off(const struct pagewriter *writer, int64_t now_us)
{
    return now_us < writer->failure_backoff_until_us;
}

static void
end_change(struct pagewriter *writer, struct page_queue *queue,
           struct shardchange *change, enum shardchange_result result)
{
    TAILQ_REMOVE(&queue->changes, change, link);
    writer->pending_count--;
    TAILQ_INSERT_TAIL(&writer->ended, change, link);
    writer->spec.ops->ended(writer->spec.ctx, change, result);
}

static void
back_off(struct pagewriter *writer, struct page_queue *queue, int64_t now_us)
{
    int64_t next = 2 * queue->backoff_us;

    if (queue->backoff_us == 0) {
        next = PAGE_RETRY_MIN_US;
    }
    queue->backoff_us = next > PAGE_RETRY_MAX_US ? PAGE_RETRY_MAX_US : next;
    queue->due_us = now_us + queue->backoff_us / 2 +
                    random_range(&writer->random, 0, queue->backoff_us / 2);
}

static bool
has_unresolved(const struct page_queue *queue)
{
    const struct shardchange *change;

    TAILQ_FOREACH (change, &queue->changes, link) {
        if (change->unresolved) {
            return true;
        }
    }
    return false;
}

/* True once no write of unknown outcome can take effect any more. */
static bool
clear_resolved(const struct pagewriter *writer, struct page_queue *queue)
{
    uint64_t version = shardmap_page_version(
        writer->spec.map, writer->spec.service, queue->page);
    struct shardchange *change;

    if (version <= queue->unresolved_base_version) {
        return false;
    }
    TAILQ_FOREACH (change, &queue->changes, link) {
        change->unresolved = false;
    }
    return true;
}

/* Changes that are not made by the owner may be dropped while their outcome is
 * unknown: the new owner serves only once it has seen the page. */
static bool
may_discard(const struct shardchange *change)
{
    return change->kind == SHARDCHANGE_REPLACE ||
           change->kind == SHARDCHANGE_CLAIM;
}

/* Ends the changes that are applied or stale in the known page, and those
 * without attempts left. */
static void
end_decided_changes(struct pagewriter *writer, struct page_queue *queue)
{
    bool resolved = !has_unresolved(queue) || clear_resolved(writer, queue);
    struct shardpage page;
    struct shardchange *change = TAILQ_FIRST(&queue->changes);

    shardmap_copy_page(writer->spec.map, writer->spec.service, queue->page,
                       &page);
    while (change != NULL) {
        struct shardchange *next = TAILQ_NEXT(change, link);
        enum shardchange_status status =
            shardchange_compare(change, &page, writer->spec.peers);
        if (status == SHARDCHANGE_APPLIED) {
            end_change(writer, queue, change, SHARDCHANGE_COMMITTED);
        }
        else if (status == SHARDCHANGE_STALE &&
                 (resolved || may_discard(change))) {
            end_change(writer, queue, change, SHARDCHANGE_SUPERSEDED);
        }
        else if (resolved && change->attempts >= PAGE_WRITE_ATTEMPTS) {
            end_change(writer, queue, change, SHARDCHANGE_FAILED);
        }
        change = next;
    }
}

static bool
add_condition(struct page_write *write, const char *instance, uint64_t version)
{
    for (size_t i = 0; i < write->condition_count; i++) {
        if (strcmp(write->conditions[i].instance, instance) == 0) {
            return write->conditions[i].version == version;
        }
    }
    if (write->condition_count == PAGE_WRITE_CONDITIONS) {
        return false;
    }
    struct page_condition *condition =
        &write->conditions[write->condition_count++];
    (void)snprintf(condition->instance, sizeof(condition->instance), "%s",
                   instance);
    condition->version = version;
    return true;
}

static bool
add_change_condition(const struct pagewriter *writer,
                     const struct shardchange *change,
                     struct page_write *write)
{
    if (change->kind == SHARDCHANGE_REPLACE) {
        return add_condition(write, change->from, change->from_version);
    }
    if (change->kind == SHARDCHANGE_CLAIM) {
        return true;
    }
    return add_condition(write, writer->spec.instance,
                         writer->own_row_version);
}

static void
record_change(struct page_write *write, const struct shardchange *change)
{
    struct shardchange_record *record = &write->changes[write->change_count++];

    record->kind = change->kind;
    record->shard = change->shard;
    record->epoch = change->from_epoch + 1;
    record->reason = change->reason;
    (void)snprintf(record->from, sizeof(record->from), "%s", change->from);
    (void)snprintf(record->to, sizeof(record->to), "%s", change->to);
}

static void
start_write(struct pagewriter *writer, struct page_queue *queue)
{
    struct page_write *write = calloc(1, sizeof(*write));
    struct shardchange *change;

    if (write == NULL) {
        abort();
    }
    write->txn_id = random_u64(&writer->random);
    write->base_version = shardmap_copy_page(
        writer->spec.map, writer->spec.service, queue->page, &write->page);
    TAILQ_FOREACH (change, &queue->changes, link) {
        change->in_write =
            write->change_count < SHARDPAGE_ENTRIES &&
            shardchange_compare(change, &write->page, writer->spec.peers) ==
                SHARDCHANGE_PENDING &&
            add_change_condition(writer, change, write) &&
            shardchange_apply(change, &write->page);
        if (change->in_write) {
            change->attempts++;
            record_change(write, change);
        }
    }
    if (write->change_count == 0) {
        free(write);
        return;
    }
    queue->write = write;
    writer->spec.ops->commit(writer->spec.ctx, write);
}

static void
run_queue(struct pagewriter *writer, struct page_queue *queue, int64_t now_us)
{
    if (queue->write != NULL || queue->reading || now_us < queue->due_us) {
        return;
    }
    if (queue->must_read) {
        queue->must_read = false;
        queue->reading = true;
        writer->spec.ops->read(writer->spec.ctx, queue->page);
        return;
    }
    end_decided_changes(writer, queue);
    if (TAILQ_EMPTY(&queue->changes)) {
        LIST_REMOVE(queue, link);
        queue_free(queue);
        return;
    }
    start_write(writer, queue);
}

void
pagewriter_run(struct pagewriter *writer, int64_t now_us)
{
    struct page_queue *queue = LIST_FIRST(&writer->queues);

    while (queue != NULL) {
        struct page_queue *next = LIST_NEXT(queue, link);
        run_queue(writer, queue, now_us);
        queue = next;
    }
    free_changes(&writer->ended);
}

static void
write_committed(struct pagewriter *writer, struct page_queue *queue,
                const struct page_write *write, uint64_t version)
{
    struct shardchange *change = TAILQ_FIRST(&queue->changes);

    queue->backoff_us = 0;
    writer->spec.ops->page_known(writer->spec.ctx, &write->page, version);
    while (change != NULL) {
        struct shardchange *next = TAILQ_NEXT(change, link);
        if (change->in_write) {
            end_change(writer, queue, change, SHARDCHANGE_COMMITTED);
        }
        change = next;
    }
}

/* Fails the changes that are in no write of unknown outcome. */
static void
write_failed(struct pagewriter *writer, struct page_queue *queue)
{
    struct shardchange *change = TAILQ_FIRST(&queue->changes);

    while (change != NULL) {
        struct shardchange *next = TAILQ_NEXT(change, link);
        if (!change->unresolved) {
            end_change(writer, queue, change, SHARDCHANGE_FAILED);
        }
        change = next;
    }
}

static void
write_unknown(struct page_queue *queue, const struct page_write *write)
{
    struct shardchange *change;

    if (!has_unresolved(queue) ||
        write->base_version > queue->unresolved_base_version) {
        queue->unresolved_base_version = write->base_version;
    }
    TAILQ_FOREACH (change, &queue->changes, link) {
        change->unresolved = change->unresolved || change->in_write;
    }
}

static unsigned
max_attempts(const struct page_queue *queue)
{
    const struct shardchange *change;
    unsigned attempts = 0;

    TAILQ_FOREACH (change, &queue->changes, link) {
        attempts = change->attempts > attempts ? change->attempts : attempts;
    }
    return attempts;
}

void
pagewriter_committed(struct pagewriter *writer, uint64_t txn_id,
                     enum store_outcome outcome, uint64_t version,
                     int64_t now_us)
{
    struct page_queue *queue;
    struct page_write *write;

    LIST_FOREACH (queue, &writer->queues, link) {
        if (queue->write != NULL && queue->write->txn_id == txn_id) {
            break;
        }
    }
    if (queue == NULL) {
        return;
    }
    write = queue->write;
    queue->write = NULL;
    switch (outcome) {
    case STORE_COMMITTED:
        write_committed(writer, queue, write, version);
        break;
    case STORE_CONFLICT:
        queue->must_read = true;
        if (max_attempts(queue) >= PAGE_WRITE_ATTEMPTS) {
            back_off(writer, queue, now_us);
        }
        break;
    case STORE_UNAVAILABLE:
        writer->failure_backoff_until_us = now_us + FAILURE_BACKOFF_US;
        write_failed(writer, queue);
        queue->must_read = true;
        back_off(writer, queue, now_us);
        break;
    case STORE_UNKNOWN:
        writer->failure_backoff_until_us = now_us + FAILURE_BACKOFF_US;
        write_unknown(queue, write);
        queue->must_read = true;
        back_off(writer, queue, now_us);
        break;
    }
    free(write);
    pagewriter_run(writer, now_us);
}

void
pagewriter_page_read(struct pagewriter *writer, uint32_t number, bool ok,
                     const struct shardpage *page, uint64_t version,
                     int64_t now_us)
{
    struct page_queue *queue = find_queue(writer, number);

    if (queue == NULL || !queue->reading) {
        return;
    }
    queue->reading = false;
    if (!ok) {
        writer->failure_backoff_until_us = now_us + FAILURE_BACKOFF_US;
        write_failed(writer, queue);
        queue->must_read = has_unresolved(queue);
        back_off(writer, queue, now_us);
        pagewriter_run(writer, now_us);
        return;
    }
    if (page != NULL) {
        writer->spec.ops->page_known(writer->spec.ctx, page, version);
    }
    pagewriter_run(writer, now_us);
}

void
pagewriter_page_changed(struct pagewriter *writer, uint32_t number,
                        int64_t now_us)
{
    struct page_queue *queue = find_queue(writer, number);

    if (queue != NULL && queue->write == NULL && has_unresolved(queue)) {
        queue->due_us = now_us;
        queue->must_read = false;
    }
}
