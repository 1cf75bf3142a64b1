#include "placement/placemodel_internal.h"

#include <stdlib.h>
#include <string.h>

#include "base/timeunits.h"

#define FENCE_MARGIN_US (10 * US_PER_MS) /* after the end of the lease */
/* For the certificates and the transaction of a fence. */
#define FENCE_DELAY_US (60 * US_PER_MS)
/* Until other members get a changed members row. */
#define NOTIFY_DELAY_US (200 * US_PER_MS)
#define LATE_WRITE_MAX_US (5 * US_PER_SECOND)

static bool
conditions_hold(struct placemodel *model, const struct page_write *write)
{
    const struct placemodel_page *page = &model->pages[write->page.page];

    if (page->version != write->base_version) {
        return false;
    }
    for (size_t i = 0; i < write->condition_count; i++) {
        int index =
            placemodel_member_index(model, write->conditions[i].instance);
        if (index < 0 ||
            model->rows[index].version != write->conditions[i].version) {
            return false;
        }
    }
    return true;
}

static void
record_moves(struct placemodel *model, const struct page_write *write)
{
    for (size_t i = 0; i < write->change_count; i++) {
        char detail[200];
        const struct shardchange_record *change = &write->changes[i];
        model->load_moved += placemodel_shard_at(model, change->shard)->load;
        model->shards_moved += change->kind == SHARDCHANGE_MOVE ||
                               change->kind == SHARDCHANGE_REPLACE;
        if (change->kind == SHARDCHANGE_MOVE) {
            /* Drained requests have finished, so no wait is needed. */
            placemodel_shard_at(model, change->shard)->served_us = 0;
        }
        (void)snprintf(detail, sizeof(detail), "%s %u: %s -> %s epoch %u (%s)",
                       shardchange_kind_name(change->kind), change->shard,
                       change->from[0] == '\0' ? "-" : change->from,
                       change->to, change->epoch, change->reason);
        placemodel_trace(model, "store", "write", detail);
    }
}

static void
check_epochs(struct placemodel *model, const struct page_write *write)
{
    struct shardpage before = model->pages[write->page.page].page;

    for (size_t i = 0; i < write->page.shard_count; i++) {
        const struct shardpage_entry *entry = &write->page.entries[i];
        if (model->pages[write->page.page].version != 0 &&
            entry->epoch < before.entries[i].epoch) {
            placemodel_violation(model, "epoch falls in the store",
                                 entry->shard, entry->owner);
        }
    }
}

/* Sets *version if the write is committed. */
static enum store_outcome
apply_write(struct placemodel *model, const struct page_write *write,
            uint64_t *version)
{
    struct placemodel_page *page = &model->pages[write->page.page];

    if (model->conflict_next_commit) {
        model->conflict_next_commit = false;
        if (page->version != 0) {
            page->version = ++model->store_version;
        }
    }
    if (!conditions_hold(model, write)) {
        model->result.conflicts++;
        placemodel_trace(model, "store", "conflict", "");
        return STORE_CONFLICT;
    }
    check_epochs(model, write);
    record_moves(model, write);
    page->version = ++model->store_version;
    page->page = write->page;
    *version = page->version;
    model->result.commits++;
    return STORE_COMMITTED;
}

static void
commit_answered(struct placemodel *model, struct placemodel_event *event)
{
    placer_committed(model->members[event->member].placer, event->number,
                     event->outcome, event->version, model->now_us);
}

struct commit_answer {
    uint64_t txn_id;
    uint64_t version;
};

static void
answer_commit(struct placemodel *model, unsigned member, int64_t delay_us,
              const struct commit_answer *answer, enum store_outcome outcome)
{
    struct placemodel_event *event =
        placemodel_event_add(model, member, delay_us, commit_answered);

    event->number = answer->txn_id;
    event->outcome = outcome;
    event->version = answer->version;
}

/* A write in transit takes effect also after its sender has stopped. */
static void
late_write(struct placemodel *model, struct placemodel_event *event)
{
    uint64_t version;

    placemodel_trace(model, "store", "late", "a delayed write arrives");
    (void)apply_write(model, event->action->write, &version);
}

static bool
is_reachable(const struct placemodel *model, unsigned member)
{
    return !model->store_down && !model->members[member].isolated;
}

static void
commit_arrives(struct placemodel *model, struct placemodel_event *event)
{
    const struct placemodel_faults *faults = &model->options.faults;
    struct commit_answer answer = {.txn_id = event->action->write->txn_id};
    int64_t answer_delay_us =
        placemodel_latency(model, model->options.store_us / 2);
    enum store_outcome outcome;
    bool lost = model->lose_next_answer ||
                random_chance(&model->random, faults->lost_answers);

    if (!is_reachable(model, event->member)) {
        answer_commit(model, event->member, answer_delay_us, &answer,
                      STORE_UNAVAILABLE);
        return;
    }
    if (random_chance(&model->random, faults->late_writes)) {
        struct placemodel_event *late = placemodel_event_add(
            model, event->member,
            random_range(&model->random, 0, LATE_WRITE_MAX_US), late_write);
        late->action = event->action;
        event->action = NULL;
        model->result.unknown++;
        answer_commit(model, event->member, PLACEMODEL_ANSWER_LOST_US, &answer,
                      STORE_UNKNOWN);
        return;
    }
    outcome = apply_write(model, event->action->write, &answer.version);
    if (lost) {
        model->lose_next_answer = false;
        model->result.unknown++;
        placemodel_trace(model, "store", "lost", "answer");
        answer_commit(model, event->member, PLACEMODEL_ANSWER_LOST_US, &answer,
                      STORE_UNKNOWN);
        return;
    }
    answer_commit(model, event->member, answer_delay_us, &answer, outcome);
}

void
placemodel_store_commit(struct placemodel *model, unsigned member,
                        struct place_action *action)
{
    struct placemodel_event *event = placemodel_event_add(
        model, member, placemodel_latency(model, model->options.store_us / 2),
        commit_arrives);

    event->action = action;
}

static void
read_answered(struct placemodel *model, struct placemodel_event *event)
{
    placer_page_read(model->members[event->member].placer, event->page,
                     event->flag, event->content, event->number,
                     model->now_us);
}

static struct shardpage *
copy_page(const struct shardpage *page)
{
    struct shardpage *copy = malloc(sizeof(*copy));

    if (copy == NULL) {
        abort();
    }
    *copy = *page;
    return copy;
}

static void
read_arrives(struct placemodel *model, struct placemodel_event *event)
{
    const struct placemodel_page *page = &model->pages[event->page];
    struct placemodel_event *answer = placemodel_event_add(
        model, event->member,
        placemodel_latency(model, model->options.store_us / 2), read_answered);

    answer->page = event->page;
    answer->flag = is_reachable(model, event->member);
    answer->number = page->version;
    answer->content = page->version == 0 ? NULL : copy_page(&page->page);
}

void
placemodel_store_read(struct placemodel *model, unsigned member, uint32_t page)
{
    struct placemodel_event *event = placemodel_event_add(
        model, member, placemodel_latency(model, model->options.store_us / 2),
        read_arrives);

    event->page = page;
}

static void
page_read(struct placemodel *model, struct placemodel_event *event)
{
    placer_apply_page(model->members[event->member].placer, event->content,
                      event->number, model->now_us);
}

static void
scan_answered(struct placemodel *model, struct placemodel_event *event)
{
    placer_pages_scanned(model->members[event->member].placer, event->flag,
                         event->number, model->now_us);
}

/* Without faults a member needs only pages with shards of its own. */
static bool
needs_page(const struct placemodel *model, unsigned member,
           const struct placemodel_page *page)
{
    const char *name = model->members[member].name;

    for (size_t i = 0; i < page->page.shard_count; i++) {
        if (strcmp(page->page.entries[i].owner, name) == 0) {
            return true;
        }
    }
    return !model->options.reduced_messages;
}

static void
scan_arrives(struct placemodel *model, struct placemodel_event *event)
{
    bool ok = is_reachable(model, event->member);
    int64_t answer_delay_us =
        placemodel_latency(model, model->options.store_us / 2);
    struct placemodel_event *answer;

    for (uint32_t i = 0; ok && i < model->page_count; i++) {
        if (model->pages[i].version <= event->number ||
            model->pages[i].version <=
                shardmap_page_version(model->members[event->member].map,
                                      PLACEMODEL_SERVICE, i) ||
            (!event->flag &&
             !needs_page(model, event->member, &model->pages[i]))) {
            continue;
        }
        answer = placemodel_event_add(model, event->member, answer_delay_us,
                                      page_read);
        answer->number = model->pages[i].version;
        answer->content = copy_page(&model->pages[i].page);
    }
    if (event->flag) {
        answer = placemodel_event_add(model, event->member, answer_delay_us,
                                      scan_answered);
        answer->flag = ok;
        answer->number = model->store_version;
    }
}

void
placemodel_store_scan(struct placemodel *model, unsigned member,
                      uint64_t since, bool answer)
{
    struct placemodel_event *event = placemodel_event_add(
        model, member, placemodel_latency(model, model->options.store_us / 2),
        scan_arrives);

    event->number = since;
    event->flag = answer;
}

static void
member_notified(struct placemodel *model, struct placemodel_event *event)
{
    const struct placemodel_member *subject = &model->members[event->from];
    const struct placemodel_row *row = &model->rows[event->from];
    struct peer_info info = {
        .state = row->state,
        .incarnation = row->incarnation,
        .version = row->version,
        .capacity = model->options.capacity,
        .fenced_here = event->flag && row->state == PEER_GONE,
    };

    (void)snprintf(info.name, sizeof(info.name), "%s", subject->name);
    (void)snprintf(info.zone, sizeof(info.zone), "%s", subject->zone);
    if (row->version != 0) {
        placer_update_member(model->members[event->member].placer, &info,
                             model->now_us);
    }
}

void
placemodel_notify_member(struct placemodel *model, unsigned member,
                         unsigned subject, bool fenced_here)
{
    struct placemodel_event *event = placemodel_event_add(
        model, member, placemodel_latency(model, NOTIFY_DELAY_US),
        member_notified);

    event->from = subject;
    event->flag = fenced_here;
}

void
placemodel_notify_members(struct placemodel *model, unsigned subject)
{
    for (unsigned i = 0; i < model->options.members; i++) {
        if (model->members[i].running && !model->members[i].isolated) {
            placemodel_notify_member(model, i, subject, false);
        }
    }
}

static void
registered(struct placemodel *model, struct placemodel_event *event)
{
    struct placemodel_member *member = &model->members[event->member];
    struct placemodel_row *row = &model->rows[event->member];

    member->registering = false;
    if (!is_reachable(model, event->member)) {
        return;
    }
    row->version = ++model->store_version;
    row->incarnation = ++member->incarnation;
    row->state = PEER_ACTIVE;
    member->lease_until_us = model->now_us + PLACEMODEL_LEASE_US;
    member->leaving = false;
    member->registered = true;
    placer_set_own_row(member->placer, row->incarnation, row->version,
                       model->now_us);
    placer_set_leaving(member->placer, false);
    placemodel_trace(model, member->name, "registers", "");
    placemodel_notify_members(model, event->member);
}

void
placemodel_register(struct placemodel *model, unsigned index)
{
    struct placemodel_member *member = &model->members[index];

    if (!member->registering) {
        member->registering = true;
        (void)placemodel_event_add(
            model, index, placemodel_latency(model, model->options.store_us),
            registered);
    }
}

static void
fence(struct placemodel *model, unsigned index)
{
    struct placemodel_row *row = &model->rows[index];
    unsigned by =
        (unsigned)random_below(&model->random, model->options.members);
    for (unsigned i = 0; i < model->options.members; i++) {
        if (model->members[by].running) {
            break;
        }
        by = (by + 1) % model->options.members;
    }

    row->version = ++model->store_version;
    row->state = PEER_GONE;
    model->result.fences++;
    placemodel_trace(model, model->members[index].name, "fenced", "");
    placemodel_notify_members(model, index);
    if (model->members[by].running && !model->members[by].isolated) {
        struct placemodel_event *event =
            placemodel_event_add(model, by, 0, member_notified);
        event->from = index;
        event->flag = true;
    }
}

static void
renew(struct placemodel *model, unsigned index)
{
    struct placemodel_member *member = &model->members[index];
    struct placemodel_row *row = &model->rows[index];

    if (member->isolated || !member->running || member->paused ||
        model->now_us - member->renewed_us < PLACEMODEL_RENEW_US) {
        return;
    }
    member->renewed_us = model->now_us;
    if (!member->registered || row->state == PEER_GONE) {
        placemodel_register(model, index);
        return;
    }
    member->lease_until_us = model->now_us + PLACEMODEL_LEASE_US;
    /* Rewrites the row in the store at times. */
    if (!model->store_down && !model->options.reduced_messages &&
        random_chance(&model->random, 0.01)) {
        row->version = ++model->store_version;
        placer_set_own_row(member->placer, row->incarnation, row->version,
                           model->now_us);
        placemodel_notify_members(model, index);
    }
}

void
placemodel_update_leases(struct placemodel *model)
{
    for (unsigned i = 0; i < model->options.members; i++) {
        struct placemodel_member *member = &model->members[i];
        struct placemodel_row *row = &model->rows[i];
        int64_t lapsed_us;
        renew(model, i);
        lapsed_us = model->now_us - member->lease_until_us;
        if (row->version != 0 && row->state != PEER_GONE &&
            lapsed_us > FENCE_MARGIN_US + FENCE_DELAY_US &&
            !model->store_down) {
            fence(model, i);
        }
    }
}
