#include "membership/membertask_internal.h"

#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "base/timeunits.h"
#include "membership/leaserules.h"

#define WATCH_INTERVAL_US (50 * US_PER_MS)
#define PAUSE_MIN_US (200 * US_PER_MS) /* a later check counts as a pause */
#define PROBE_PERCENT 50               /* of the lease without contact */
#define CERTIFY_PERCENT 67             /* likewise; see guardian_create() */
#define PROBE_INTERVAL_US (100 * US_PER_MS)
#define RANK_DELAY_US (100 * US_PER_MS) /* between attempts of guardians */
#define OVERDUE_INTERVAL_US (10 * US_PER_SECOND)
#define TURN_PERIOD_MIN_US (5 * US_PER_SECOND)
#define TURN_PERIOD_PER_MEMBER_US (20 * US_PER_MS)
#define DECLARED_LOST_INTERVAL_US (1 * US_PER_SECOND)
#define DECLARED_LOST_TURN_US (1500 * US_PER_MS) /* contains a check */

/**
 * A refused connection proves that the incarnation is gone only if a renewal
 * came from that address this recently.
 */
#define ADDRESS_VALID_US (10 * US_PER_SECOND)

static struct member_contact *
find_contact(struct membertask *task, uint64_t holder)
{
    for (size_t i = 0; i < task->contact_count; i++) {
        if (task->contacts[i].holder == holder) {
            return &task->contacts[i];
        }
    }
    return NULL;
}

static struct member_contact *
add_contact(struct membertask *task, uint64_t holder)
{
    struct member_contact *contact = find_contact(task, holder);
    if (contact != NULL) {
        return contact;
    }
    struct member_contact *contacts = realloc(
        task->contacts, (task->contact_count + 1) * sizeof(*task->contacts));
    if (contacts == NULL) {
        abort();
    }
    task->contacts = contacts;
    contact = &contacts[task->contact_count++];
    *contact = (struct member_contact){
        .holder = holder,
        .last_renewal_us = LEASE_NEVER_US,
        .last_probe_us = LEASE_NEVER_US,
        .fence_after_us = LEASE_NEVER_US,
    };
    return contact;
}

/** Drops contacts whose guardian record has expired. */
static void
expire_contacts(struct membertask *task, int64_t now_us)
{
    size_t kept = 0;
    guardian_expire(task->guardian, now_us);
    for (size_t i = 0; i < task->contact_count; i++) {
        if (guardian_find(task->guardian, task->contacts[i].holder) != NULL) {
            task->contacts[kept++] = task->contacts[i];
        }
    }
    task->contact_count = kept;
}

void
member_watch_record_renewal(struct membertask *task, uint64_t holder,
                            const struct address *peer)
{
    struct member_contact *contact = add_contact(task, holder);
    contact->last_renewal_us = member_now_us(task);
    contact->renewal_source = endpoint_from_address(peer);
}

/** @return false unless the holder's row is live and names this member as a
 * guardian. */
static bool
find_guarded_row(struct membertask *task, struct member_contact *contact,
                 struct member *row)
{
    bool found = contact->instance[0] != '\0'
                     ? membertable_row(task->table, contact->instance, row)
                     : membertable_row_by_incarnation(task->table,
                                                      contact->holder, row);
    if (!found || row->self.incarnation != contact->holder) {
        return false;
    }
    member_copy_name(contact->instance, row->self.instance);
    return member_is_live(row) &&
           (guardian_set_contains(&row->guardians, &task->self.self) ||
            guardian_set_contains(&row->outgoing, &task->self.self));
}

static void
probe_holder(struct membertask *task, struct member_contact *contact,
             const struct member *row)
{
    int64_t now_us = member_now_us(task);
    if (contact->last_probe_us != LEASE_NEVER_US &&
        now_us - contact->last_probe_us < PROBE_INTERVAL_US) {
        return;
    }
    contact->last_probe_us = now_us;
    member_call_start(task, MEMBER_CALL_PROBE_HOLDER, 0, &row->self, &row->rpc,
                      NULL);
}

/** Probes at once whether the holder's process is gone. */
void
member_watch_probe(struct membertask *task, uint64_t holder)
{
    struct member row;
    struct member_contact *contact = add_contact(task, holder);
    if (find_guarded_row(task, contact, &row)) {
        probe_holder(task, contact, &row);
    }
}

void
member_watch_on_probe_done(struct membertask *task,
                           const struct member_call *call,
                           enum rpc_status status)
{
    const struct member_contact *contact =
        find_contact(task, call->peer.incarnation);
    struct member row;
    if (status != RPC_REFUSED_BY_HOST || contact == NULL ||
        contact->last_renewal_us == LEASE_NEVER_US ||
        member_now_us(task) - contact->last_renewal_us > ADDRESS_VALID_US ||
        !membertable_row(task->table, call->peer.instance, &row) ||
        row.self.incarnation != call->peer.incarnation ||
        !member_is_live(&row)) {
        return;
    }
    struct address renewal_source =
        endpoint_to_address(&contact->renewal_source);
    struct member_fence *attempt =
        member_fence_find(task, call->peer.incarnation);
    if (!address_equal(&renewal_source, &row.rpc)) {
        return;
    }
    if (attempt == NULL) {
        attempt = member_fence_start(task, &call->peer);
    }
    if (attempt != NULL) {
        fence_on_connection_refused(attempt->fence);
        attempt->next_us = member_now_us(task);
    }
}

static size_t
guardian_rank(const struct membertask *task, const struct member *row)
{
    for (size_t i = 0; i < row->guardians.count; i++) {
        if (member_ref_equal(&row->guardians.refs[i], &task->self.self)) {
            return i;
        }
    }
    return row->guardians.count;
}

static void
check_holder(void *ctx, const struct guardian_holder *record)
{
    struct membertask *task = ctx;
    struct member row;
    int64_t now_us = member_now_us(task);
    struct member_contact *contact = add_contact(task, record->holder);
    if (!find_guarded_row(task, contact, &row)) {
        return;
    }
    probe_holder(task, contact, &row);
    int64_t unresponsive_us = now_us - record->last_contact_us;
    int64_t fence_delay_us =
        record->lease_us * CERTIFY_PERCENT / 100 +
        (int64_t)guardian_rank(task, &row) * RANK_DELAY_US;
    if (unresponsive_us >= fence_delay_us &&
        now_us >= contact->fence_after_us &&
        member_fence_find(task, record->holder) == NULL) {
        member_fence_start(task, &row.self);
    }
}

/** A delay below bound_us that differs between members for one holder. */
static int64_t
member_delay_us(const struct membertask *task, const char *holder,
                int64_t bound_us)
{
    uint64_t hash =
        hash_bytes(holder, strlen(holder), task->self.self.incarnation);
    return (int64_t)(hash % (uint64_t)bound_us);
}

/** Members take turns over this time, so that few act at once. */
static int64_t
turn_period_us(const struct membertask *task)
{
    int64_t all_us = (int64_t)membertable_live_count(task->table) *
                     TURN_PERIOD_PER_MEMBER_US;
    return all_us > TURN_PERIOD_MIN_US ? all_us : TURN_PERIOD_MIN_US;
}

static void
check_overdue(void *ctx, const struct membertable_view *view)
{
    struct membertask *task = ctx;
    struct member_ref holder = {.incarnation = view->incarnation};
    int64_t limit_us =
        lease_rules_wait_us(&task->rules, view->renewal_max_us) +
        member_delay_us(task, view->instance, turn_period_us(task));
    if (view->incarnation == task->self.self.incarnation ||
        member_now_us(task) - view->first_seen_us < limit_us ||
        member_fence_find(task, view->incarnation) != NULL) {
        return;
    }
    member_copy_name(holder.instance, view->instance);
    member_fence_start(task, &holder);
}

/** True for DECLARED_LOST_TURN_US in each turn_period_us(). */
static bool
is_own_turn(const struct membertask *task, const char *instance)
{
    int64_t period_us = turn_period_us(task);
    int64_t since_us = member_now_us(task) - task->declared_lost_changed_us;
    int64_t turn_us = member_delay_us(task, instance, period_us);
    return since_us >= turn_us &&
           (since_us - turn_us) % period_us < DECLARED_LOST_TURN_US;
}

static void
check_declared_lost(struct membertask *task, const char *instance)
{
    struct member row;
    int64_t now_us = member_now_us(task);
    if (!membertable_row(task->table, instance, &row) ||
        !member_is_live(&row) ||
        row.self.incarnation == task->self.self.incarnation) {
        return;
    }
    bool guards = guardian_set_contains(&row.guardians, &task->self.self);
    struct member_fence *attempt =
        member_fence_find(task, row.self.incarnation);
    if (attempt == NULL && (guards || is_own_turn(task, instance))) {
        attempt = member_fence_start(task, &row.self);
    }
    if (attempt != NULL) {
        fence_on_declared_lost(attempt->fence, now_us);
    }
}

static int64_t
check_periodic(struct membertask *task, int64_t now_us)
{
    if (now_us >= task->next_overdue_check_us) {
        const struct membertable_filter filter = {.live_only = true};
        task->next_overdue_check_us = now_us + OVERDUE_INTERVAL_US;
        if (!task->poll.failing) {
            membertable_visit(task->table, &filter, check_overdue, task);
        }
        expire_contacts(task, now_us);
    }
    if (task->declared_lost_count == 0 || task->poll.failing) {
        return task->next_overdue_check_us;
    }
    if (now_us >= task->next_declared_lost_check_us) {
        task->next_declared_lost_check_us = now_us + DECLARED_LOST_INTERVAL_US;
        for (size_t i = 0; i < task->declared_lost_count; i++) {
            check_declared_lost(task, task->declared_lost[i]);
        }
    }
    return task->next_declared_lost_check_us < task->next_overdue_check_us
               ? task->next_declared_lost_check_us
               : task->next_overdue_check_us;
}

void
member_watch_check_pause(struct membertask *task, int64_t now_us)
{
    if (now_us - task->last_watch_us > PAUSE_MIN_US) {
        guardian_reset_contact_times(task->guardian, now_us);
        task->last_watch_us = now_us;
    }
}

int64_t
member_watch_tick(struct membertask *task, int64_t now_us)
{
    int64_t periodic_us = check_periodic(task, now_us);
    member_watch_check_pause(task, now_us);
    if (now_us - task->last_watch_us >= WATCH_INTERVAL_US) {
        task->last_watch_us = now_us;
        guardian_visit_unresponsive(task->guardian, PROBE_PERCENT, now_us,
                                    check_holder, task);
    }
    int64_t next_us = task->last_watch_us + WATCH_INTERVAL_US;
    return next_us < periodic_us ? next_us : periodic_us;
}
