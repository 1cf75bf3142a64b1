#include "placement/pagewriter.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TROUBLE_US INT64_C(3000000) /* no new moves after a failed write */

/* Changes wanted of one page. */
struct page_work {
    LIST_ENTRY(page_work) link;
    uint32_t page;
    struct change_list changes;
    struct page_write *write; /* in progress, or NULL */
    bool must_read;
    bool reading;
    uint64_t unsettled_base; /* version that a lost write compared */
    int64_t due_us;          /* nothing is started before */
    int64_t backoff_us;
};

LIST_HEAD(page_work_list, page_work);

struct pagewriter {
    struct pagewriter_spec spec;
    struct random_state random;
    uint64_t self_version;
    struct page_work_list works;
    struct change_list ended; /* to be freed */
    size_t pending;
    int64_t trouble_until_us;
};

struct pagewriter *
pagewriter_create(const struct pagewriter_spec *spec, uint64_t seed)
{
    struct pagewriter *writer = calloc(1, sizeof(*writer));

    if (writer != NULL) {
        writer->spec = *spec;
        random_seed(&writer->random, seed);
        LIST_INIT(&writer->works);
        TAILQ_INIT(&writer->ended);
    }
    return writer;
}

static void
free_changes(struct change_list *list)
{
    struct change *change = TAILQ_FIRST(list);

    while (change != NULL) {
        struct change *next = TAILQ_NEXT(change, link);
        free(change);
        change = next;
    }
    TAILQ_INIT(list);
}

static void
work_free(struct page_work *work)
{
    free_changes(&work->changes);
    free(work->write);
    free(work);
}

void
pagewriter_reset(struct pagewriter *writer)
{
    struct page_work *work = LIST_FIRST(&writer->works);

    while (work != NULL) {
        struct page_work *next = LIST_NEXT(work, link);
        work_free(work);
        work = next;
    }
    LIST_INIT(&writer->works);
    free_changes(&writer->ended);
    writer->pending = 0;
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
pagewriter_set_self(struct pagewriter *writer, uint64_t version)
{
    writer->self_version = version;
}

static struct page_work *
find_work(const struct pagewriter *writer, uint32_t page)
{
    struct page_work *work;

    LIST_FOREACH (work, &writer->works, link) {
        if (work->page == page) {
            return work;
        }
    }
    return NULL;
}

void
pagewriter_add(struct pagewriter *writer, uint32_t page, struct change *change)
{
    struct page_work *work = find_work(writer, page);

    if (work == NULL) {
        work = calloc(1, sizeof(*work));
        if (work == NULL) {
            abort();
        }
        work->page = page;
        TAILQ_INIT(&work->changes);
        LIST_INSERT_HEAD(&writer->works, work, link);
    }
    change->tries = 0;
    change->in_write = false;
    change->unsettled = false;
    TAILQ_INSERT_TAIL(&work->changes, change, link);
    writer->pending++;
}

bool
pagewriter_has(const struct pagewriter *writer, uint32_t page, uint32_t shard)
{
    const struct page_work *work = find_work(writer, page);
    const struct change *change;

    if (work == NULL) {
        return false;
    }
    TAILQ_FOREACH (change, &work->changes, link) {
        if (change->shard == shard) {
            return true;
        }
    }
    return false;
}

bool
pagewriter_busy(const struct pagewriter *writer, uint32_t page)
{
    const struct page_work *work = find_work(writer, page);

    return work != NULL &&
           (work->write != NULL || work->reading || work->must_read);
}

size_t
pagewriter_pending(const struct pagewriter *writer)
{
    return writer->pending;
}

bool
pagewriter_troubled(const struct pagewriter *writer, int64_t now_us)
{
    return now_us < writer->trouble_until_us;
}

static void
end_change(struct pagewriter *writer, struct page_work *work,
           struct change *change, enum change_result result)
{
    TAILQ_REMOVE(&work->changes, change, link);
    writer->pending--;
    TAILQ_INSERT_TAIL(&writer->ended, change, link);
    writer->spec.ops->ended(writer->spec.ctx, change, result);
}

static void
back_off(struct pagewriter *writer, struct page_work *work, int64_t now_us)
{
    int64_t next = 2 * work->backoff_us;

    if (work->backoff_us == 0) {
        next = PAGE_RETRY_MIN_US;
    }
    work->backoff_us = next > PAGE_RETRY_MAX_US ? PAGE_RETRY_MAX_US : next;
    work->due_us = now_us + work->backoff_us / 2 +
                   random_range(&writer->random, 0, work->backoff_us / 2);
}

static bool
is_unsettled(const struct page_work *work)
{
    const struct change *change;

    TAILQ_FOREACH (change, &work->changes, link) {
        if (change->unsettled) {
            return true;
        }
    }
    return false;
}

/* True once no write that was lost can still take effect. */
static bool
settle(const struct pagewriter *writer, struct page_work *work)
{
    uint64_t version =
        shardmap_version(writer->spec.map, writer->spec.service, work->page);
    struct change *change;

    if (version <= work->unsettled_base) {
        return false;
    }
    TAILQ_FOREACH (change, &work->changes, link) {
        change->unsettled = false;
    }
    return true;
}

/* A write that is not of the owner's making is safe to forget at any time:
 * whoever it names serves only once it saw the page. */
static bool
may_forget(const struct change *change)
{
    return change->kind == CHANGE_REPLACE || change->kind == CHANGE_CLAIM;
}

/* Ends the changes that the known page shows as done or overtaken. */
static void
end_decided(struct pagewriter *writer, struct page_work *work)
{
    bool settled = !is_unsettled(work) || settle(writer, work);
    struct shardpage page;
    struct change *change = TAILQ_FIRST(&work->changes);

    shardmap_page(writer->spec.map, writer->spec.service, work->page, &page);
    while (change != NULL) {
        struct change *next = TAILQ_NEXT(change, link);
        enum standing standing =
            change_standing(change, &page, writer->spec.peers);
        if (standing == STANDING_DONE) {
            end_change(writer, work, change, CHANGE_DONE);
        }
        else if (standing == STANDING_OVERTAKEN &&
                 (settled || may_forget(change))) {
            end_change(writer, work, change, CHANGE_SUPERSEDED);
        }
        else if (settled && change->tries >= PAGE_WRITE_TRIES) {
            end_change(writer, work, change, CHANGE_REFUSED);
        }
        change = next;
    }
}

static bool
add_expect(struct page_write *write, const char *instance, uint64_t version)
{
    for (size_t i = 0; i < write->expect_count; i++) {
        if (strcmp(write->expects[i].instance, instance) == 0) {
            return write->expects[i].version == version;
        }
    }
    if (write->expect_count == PAGE_WRITE_EXPECTS) {
        return false;
    }
    struct page_expect *expect = &write->expects[write->expect_count++];
    (void)snprintf(expect->instance, sizeof(expect->instance), "%s", instance);
    expect->version = version;
    return true;
}

static bool
add_condition(const struct pagewriter *writer, const struct change *change,
              struct page_write *write)
{
    if (change->kind == CHANGE_REPLACE) {
        return add_expect(write, change->from, change->from_version);
    }
    if (change->kind == CHANGE_CLAIM) {
        return true;
    }
    return add_expect(write, writer->spec.instance, writer->self_version);
}

static void
record_change(struct page_write *write, const struct change *change)
{
    struct page_change *record = &write->changes[write->change_count++];

    record->kind = change->kind;
    record->shard = change->shard;
    record->epoch = change->from_epoch + 1;
    record->why = change->why;
    (void)snprintf(record->from, sizeof(record->from), "%s", change->from);
    (void)snprintf(record->to, sizeof(record->to), "%s", change->to);
}

static void
start_write(struct pagewriter *writer, struct page_work *work)
{
    struct page_write *write = calloc(1, sizeof(*write));
    struct change *change;

    if (write == NULL) {
        abort();
    }
    write->txn_id = random_u64(&writer->random);
    write->base_version = shardmap_page(writer->spec.map, writer->spec.service,
                                        work->page, &write->page);
    TAILQ_FOREACH (change, &work->changes, link) {
        change->in_write =
            write->change_count < SHARDPAGE_ENTRIES &&
            change_standing(change, &write->page, writer->spec.peers) ==
                STANDING_WANTED &&
            add_condition(writer, change, write) &&
            change_edit(change, &write->page);
        if (change->in_write) {
            change->tries++;
            record_change(write, change);
        }
    }
    if (write->change_count == 0) {
        free(write);
        return;
    }
    work->write = write;
    writer->spec.ops->commit(writer->spec.ctx, write);
}

static void
run_work(struct pagewriter *writer, struct page_work *work, int64_t now_us)
{
    if (work->write != NULL || work->reading || now_us < work->due_us) {
        return;
    }
    if (work->must_read) {
        work->must_read = false;
        work->reading = true;
        writer->spec.ops->read(writer->spec.ctx, work->page);
        return;
    }
    end_decided(writer, work);
    if (TAILQ_EMPTY(&work->changes)) {
        LIST_REMOVE(work, link);
        work_free(work);
        return;
    }
    start_write(writer, work);
}

void
pagewriter_run(struct pagewriter *writer, int64_t now_us)
{
    struct page_work *work = LIST_FIRST(&writer->works);

    while (work != NULL) {
        struct page_work *next = LIST_NEXT(work, link);
        run_work(writer, work, now_us);
        work = next;
    }
    free_changes(&writer->ended);
}

static void
write_committed(struct pagewriter *writer, struct page_work *work,
                const struct page_write *write, uint64_t version)
{
    struct change *change = TAILQ_FIRST(&work->changes);

    work->backoff_us = 0;
    writer->spec.ops->learned(writer->spec.ctx, &write->page, version);
    while (change != NULL) {
        struct change *next = TAILQ_NEXT(change, link);
        if (change->in_write) {
            end_change(writer, work, change, CHANGE_DONE);
        }
        change = next;
    }
}

/* The write was not done: what no lost write contains is refused. */
static void
write_refused(struct pagewriter *writer, struct page_work *work)
{
    struct change *change = TAILQ_FIRST(&work->changes);

    while (change != NULL) {
        struct change *next = TAILQ_NEXT(change, link);
        if (!change->unsettled) {
            end_change(writer, work, change, CHANGE_REFUSED);
        }
        change = next;
    }
}

static void
write_unknown(struct page_work *work, const struct page_write *write)
{
    struct change *change;

    if (!is_unsettled(work) || write->base_version > work->unsettled_base) {
        work->unsettled_base = write->base_version;
    }
    TAILQ_FOREACH (change, &work->changes, link) {
        change->unsettled = change->unsettled || change->in_write;
    }
}

static unsigned
max_tries(const struct page_work *work)
{
    const struct change *change;
    unsigned tries = 0;

    TAILQ_FOREACH (change, &work->changes, link) {
        tries = change->tries > tries ? change->tries : tries;
    }
    return tries;
}

void
pagewriter_committed(struct pagewriter *writer, uint64_t txn_id,
                     enum store_outcome outcome, uint64_t version,
                     int64_t now_us)
{
    struct page_work *work;
    struct page_write *write;

    LIST_FOREACH (work, &writer->works, link) {
        if (work->write != NULL && work->write->txn_id == txn_id) {
            break;
        }
    }
    if (work == NULL) {
        return;
    }
    write = work->write;
    work->write = NULL;
    switch (outcome) {
    case STORE_COMMITTED:
        write_committed(writer, work, write, version);
        break;
    case STORE_CONFLICT:
        work->must_read = true;
        if (max_tries(work) >= PAGE_WRITE_TRIES) {
            back_off(writer, work, now_us);
        }
        break;
    case STORE_UNAVAILABLE:
        writer->trouble_until_us = now_us + TROUBLE_US;
        write_refused(writer, work);
        work->must_read = true;
        back_off(writer, work, now_us);
        break;
    case STORE_UNKNOWN:
        writer->trouble_until_us = now_us + TROUBLE_US;
        write_unknown(work, write);
        work->must_read = true;
        back_off(writer, work, now_us);
        break;
    }
    free(write);
    pagewriter_run(writer, now_us);
}

void
pagewriter_read(struct pagewriter *writer, uint32_t number, bool ok,
                const struct shardpage *page, uint64_t version, int64_t now_us)
{
    struct page_work *work = find_work(writer, number);

    if (work == NULL || !work->reading) {
        return;
    }
    work->reading = false;
    if (!ok) {
        writer->trouble_until_us = now_us + TROUBLE_US;
        write_refused(writer, work);
        work->must_read = is_unsettled(work);
        back_off(writer, work, now_us);
        pagewriter_run(writer, now_us);
        return;
    }
    if (page != NULL) {
        writer->spec.ops->learned(writer->spec.ctx, page, version);
    }
    pagewriter_run(writer, now_us);
}

void
pagewriter_changed(struct pagewriter *writer, uint32_t number, int64_t now_us)
{
    struct page_work *work = find_work(writer, number);

    if (work != NULL && work->write == NULL && is_unsettled(work)) {
        work->due_us = now_us;
        work->must_read = false;
    }
}
