#include "membership/membertask_internal.h"

#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "membership/rules.h"

#define WATCH_INTERVAL_US INT64_C(50000)
#define PAUSE_US INT64_C(200000) /* later than this is a pause */
#define PROBE_PERCENT 50         /* of the lease without renewals */
#define CERTIFY_PERCENT 67       /* likewise; see guardian_create() */
#define PROBE_INTERVAL_US INT64_C(100000)
#define RANK_DELAY_US INT64_C(100000) /* between guardians that fence */
#define OVERDUE_INTERVAL_US INT64_C(10000000)
#define SPREAD_MIN_US INT64_C(5000000) /* of what any member may do */
#define SPREAD_PER_MEMBER_US INT64_C(20000)
#define LOST_INTERVAL_US INT64_C(1000000)
#define LOST_TURN_US INT64_C(1500000) /* has at least one look in it */

/**
 * A refused connection proves that the incarnation is gone only if it was
 * heard from that address this recently.
 */
#define ADDRESS_KNOWN_US INT64_C(10000000)

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
        .heard_us = LEASE_NEVER_US,
        .probed_us = LEASE_NEVER_US,
        .fence_after_us = LEASE_NEVER_US,
    };
    return contact;
}

/** Drops contacts whose ward record has expired. */
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
member_watch_heard(struct membertask *task, uint64_t holder,
                   const struct address *peer)
{
    struct member_contact *contact = add_contact(task, holder);
    contact->heard_us = member_now_us(task);
    contact->heard_from = endpoint_from_address(peer);
}

/** The holder's row, if it is live and names us as a guardian. */
static bool
ward_row(struct membertask *task, struct member_contact *contact,
         struct member *row)
{
    bool found = contact->instance[0] != '\0'
                     ? directory_row(task->directory, contact->instance, row)
                     : directory_row_by_incarnation(task->directory,
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
probe(struct membertask *task, struct member_contact *contact,
      const struct member *row)
{
    int64_t now_us = member_now_us(task);
    if (contact->probed_us != LEASE_NEVER_US &&
        now_us - contact->probed_us < PROBE_INTERVAL_US) {
        return;
    }
    contact->probed_us = now_us;
    member_call_start(task, MEMBER_CALL_PROBE_HOLDER, 0, &row->self, &row->rpc,
                      NULL);
}

/** Looks at once whether the holder's process is gone. */
void
member_watch_suspect(struct membertask *task, uint64_t holder)
{
    struct member row;
    struct member_contact *contact = add_contact(task, holder);
    if (ward_row(task, contact, &row)) {
        probe(task, contact, &row);
    }
}

void
member_watch_probed(struct membertask *task, const struct member_call *call,
                    enum rpc_status status)
{
    const struct member_contact *contact =
        find_contact(task, call->peer.incarnation);
    struct member row;
    if (status != RPC_REFUSED_BY_HOST || contact == NULL ||
        contact->heard_us == LEASE_NEVER_US ||
        member_now_us(task) - contact->heard_us > ADDRESS_KNOWN_US ||
        !directory_row(task->directory, call->peer.instance, &row) ||
        row.self.incarnation != call->peer.incarnation ||
        !member_is_live(&row)) {
        return;
    }
    struct address heard_from = endpoint_to_address(&contact->heard_from);
    struct member_fence *attempt =
        member_fence_find(task, call->peer.incarnation);
    if (!address_equal(&heard_from, &row.rpc)) {
        return;
    }
    if (attempt == NULL) {
        attempt = member_fence_start(task, &call->peer);
    }
    if (attempt != NULL) {
        fence_on_holder_refused(attempt->fence);
        attempt->next_us = member_now_us(task);
    }
}

static size_t
rank_of(const struct membertask *task, const struct member *row)
{
    for (size_t i = 0; i < row->guardians.count; i++) {
        if (member_ref_equal(&row->guardians.refs[i], &task->self.self)) {
            return i;
        }
    }
    return row->guardians.count;
}

static void
watch_ward(void *ctx, const struct guardian_ward *ward)
{
    struct membertask *task = ctx;
    struct member row;
    int64_t now_us = member_now_us(task);
    struct member_contact *contact = add_contact(task, ward->holder);
    if (!ward_row(task, contact, &row)) {
        return;
    }
    probe(task, contact, &row);
    int64_t silence_us = now_us - ward->quiet_since_us;
    int64_t patience_us = ward->lease_us * CERTIFY_PERCENT / 100 +
                          (int64_t)rank_of(task, &row) * RANK_DELAY_US;
    if (silence_us >= patience_us && now_us >= contact->fence_after_us &&
        member_fence_find(task, ward->holder) == NULL) {
        member_fence_start(task, &row.self);
    }
}

/** A number below bound that differs between members, for one holder. */
static int64_t
own_delay_us(const struct membertask *task, const char *holder,
             int64_t bound_us)
{
    uint64_t hash =
        hash_bytes(holder, strlen(holder), task->self.self.incarnation);
    return (int64_t)(hash % (uint64_t)bound_us);
}

/** Over this time members take their turns, so that few act at once. */
static int64_t
spread_us(const struct membertask *task)
{
    int64_t all_us =
        (int64_t)directory_live_count(task->directory) * SPREAD_PER_MEMBER_US;
    return all_us > SPREAD_MIN_US ? all_us : SPREAD_MIN_US;
}

static void
check_overdue(void *ctx, const struct directory_view *view)
{
    struct membertask *task = ctx;
    struct member_ref holder = {.incarnation = view->incarnation};
    int64_t limit_us =
        lease_rules_wait_us(&task->rules, view->renewal_max_us) +
        own_delay_us(task, view->instance, spread_us(task));
    if (view->incarnation == task->self.self.incarnation ||
        member_now_us(task) - view->first_seen_us < limit_us ||
        member_fence_find(task, view->incarnation) != NULL) {
        return;
    }
    member_copy_name(holder.instance, view->instance);
    member_fence_start(task, &holder);
}

/** True for a while in each spread_us(), for a member that does not guard. */
static bool
is_own_turn(const struct membertask *task, const char *instance)
{
    int64_t period_us = spread_us(task);
    int64_t since_us = member_now_us(task) - task->lost_since_us;
    int64_t turn_us = own_delay_us(task, instance, period_us);
    return since_us >= turn_us &&
           (since_us - turn_us) % period_us < LOST_TURN_US;
}

static void
check_lost_instance(struct membertask *task, const char *instance)
{
    struct member row;
    int64_t now_us = member_now_us(task);
    if (!directory_row(task->directory, instance, &row) ||
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
check_rare(struct membertask *task, int64_t now_us)
{
    if (now_us >= task->overdue_us) {
        const struct directory_filter filter = {.live_only = true};
        task->overdue_us = now_us + OVERDUE_INTERVAL_US;
        if (!task->poll.failing) {
            directory_visit(task->directory, &filter, check_overdue, task);
        }
        expire_contacts(task, now_us);
    }
    if (task->lost_count == 0 || task->poll.failing) {
        return task->overdue_us;
    }
    if (now_us >= task->lost_us) {
        task->lost_us = now_us + LOST_INTERVAL_US;
        for (size_t i = 0; i < task->lost_count; i++) {
            check_lost_instance(task, task->lost[i]);
        }
    }
    return task->lost_us < task->overdue_us ? task->lost_us : task->overdue_us;
}

void
member_watch_check_pause(struct membertask *task, int64_t now_us)
{
    if (now_us - task->watched_us > PAUSE_US) {
        guardian_forgive(task->guardian, now_us);
        task->watched_us = now_us;
    }
}

int64_t
member_watch_tick(struct membertask *task, int64_t now_us)
{
    int64_t rare_us = check_rare(task, now_us);
    member_watch_check_pause(task, now_us);
    if (now_us - task->watched_us >= WATCH_INTERVAL_US) {
        task->watched_us = now_us;
        guardian_visit_quiet(task->guardian, PROBE_PERCENT, now_us, watch_ward,
                             task);
    }
    int64_t next_us = task->watched_us + WATCH_INTERVAL_US;
    return next_us < rare_us ? next_us : rare_us;
}
