#include "membership/lease_internal.h"

#include <string.h>

#include "base/timeunits.h"

#define AVOID_GUARDIAN_US (30 * US_PER_SECOND) /* after a replacement */
#define GUARDIAN_LOST_US (2 * US_PER_SECOND)   /* without a reply */
#define REPLACEMENT_INTERVAL_US (1 * US_PER_SECOND)
#define BACKOFF_MIN_US (100 * US_PER_MS) /* after a failed write */
#define BACKOFF_MAX_US (2 * US_PER_SECOND)

void
lease_back_off(struct lease *lease, int64_t now_us)
{
    lease->backoff_us =
        lease->backoff_us == 0
            ? BACKOFF_MIN_US
            : lease_min_us(lease->backoff_us * 2, BACKOFF_MAX_US);
    lease->retry_us =
        now_us + lease->backoff_us +
        random_range(lease->config.random, 0, lease->backoff_us / 2);
}

static void
send_write(struct lease *lease, struct member *candidate,
           enum lease_reason reason, int64_t now_us)
{
    uint64_t txn_id = random_u64(lease->config.random) >> 1;
    if (lease->unresolved_count == LEASE_UNRESOLVED_WRITES_MAX) {
        memmove(lease->unresolved, lease->unresolved + 1,
                (LEASE_UNRESOLVED_WRITES_MAX - 1) *
                    sizeof(lease->unresolved[0]));
        lease->unresolved_count--;
    }
    lease->unresolved[lease->unresolved_count++] =
        (struct lease_unresolved_write){
            .txn_id = txn_id,
            .sent_us = now_us,
            .generation = lease->generation,
            .row = *candidate,
        };
    lease_exclude_unneeded_sets(lease, candidate);
    lease_update_until(lease);
    lease->busy = true;
    lease->ops->write(lease->ctx, candidate, txn_id, reason);
}

/** The known row with the wanted state and attributes. */
static struct member
wanted_row(const struct lease *lease)
{
    struct member candidate = lease->wanted;
    candidate.guardians = lease->row.guardians;
    candidate.outgoing = lease->row.outgoing;
    candidate.version = lease->row.version;
    return candidate;
}

static bool
is_responsive(const struct lease_peer *peer, int64_t unanswered_max_us,
              int64_t now_us)
{
    return !peer->gone &&
           (!peer->waiting ||
            now_us - peer->unanswered_since_us <= unanswered_max_us);
}

static void
avoid(struct lease *lease, const struct member_ref *ref, int64_t now_us)
{
    size_t kept = 0;
    for (size_t i = 0; i < lease->avoided_count; i++) {
        const struct lease_avoided *old = &lease->avoided[i];
        if (!member_ref_equal(&old->ref, ref) &&
            now_us - old->since_us < AVOID_GUARDIAN_US) {
            lease->avoided[kept++] = *old;
        }
    }
    if (kept == LEASE_AVOIDED_MAX) {
        memmove(lease->avoided, lease->avoided + 1,
                (LEASE_AVOIDED_MAX - 1) * sizeof(lease->avoided[0]));
        kept--;
    }
    lease->avoided[kept] = (struct lease_avoided){*ref, now_us};
    lease->avoided_count = kept + 1;
}

static void
request_guardians(struct lease *lease, struct guardian_set *chosen,
                  int64_t now_us)
{
    struct member_ref refs[LEASE_AVOIDED_MAX];
    size_t count = 0;
    for (size_t i = 0; i < lease->avoided_count; i++) {
        if (now_us - lease->avoided[i].since_us < AVOID_GUARDIAN_US) {
            refs[count++] = lease->avoided[i].ref;
        }
    }
    lease->ops->choose(lease->ctx, refs, count, chosen);
}

/** Chooses the new guardian set, which keeps the responsive guardians. */
static struct guardian_set
choose_guardians(struct lease *lease, int64_t unanswered_max_us,
                 int64_t now_us)
{
    struct guardian_set chosen = {0};
    for (size_t i = 0; i < lease->row.guardians.count; i++) {
        const struct member_ref *ref = &lease->row.guardians.refs[i];
        const struct lease_peer *peer = lease_find_peer(lease, ref);
        bool keep =
            peer != NULL && is_responsive(peer, unanswered_max_us, now_us);
        if (keep) {
            guardian_set_add(&chosen, ref);
        }
        else {
            avoid(lease, ref, now_us);
        }
    }
    request_guardians(lease, &chosen, now_us);
    return chosen;
}

/** Puts the chosen set into the row, and the one that currently holds the
 * lease longest as the outgoing set. */
static void
replace_guardians(struct lease *lease, struct member *candidate,
                  const struct guardian_set *chosen)
{
    if (guardian_set_equal(chosen, &lease->row.guardians)) {
        return;
    }
    const struct guardian_set *outgoing = &lease->row.guardians;
    if (lease->row.outgoing.count > 0 &&
        lease_guardians_until_us(lease, &lease->row.outgoing) >
            lease_guardians_until_us(lease, outgoing)) {
        outgoing = &lease->row.outgoing;
    }
    candidate->outgoing = *outgoing;
    if (!lease->config.rules.joint_guardians) {
        candidate->outgoing.count = 0;
    }
    candidate->guardians = *chosen;
}

static bool
write_join(struct lease *lease, int64_t now_us)
{
    struct member candidate = wanted_row(lease);
    candidate.guardians.count = 0;
    candidate.outgoing.count = 0;
    request_guardians(lease, &candidate.guardians, now_us);
    send_write(lease, &candidate, LEASE_REASON_JOIN, now_us);
    return true;
}

/** True if a guardian has certified the known version, so that renewals need
 * a new version. */
static bool
is_certified(const struct lease *lease)
{
    for (size_t i = 0; i < lease->peer_count; i++) {
        if (lease->peers[i].certified) {
            return true;
        }
    }
    return false;
}

static bool
write_with_new_guardians(struct lease *lease, int64_t unanswered_max_us,
                         enum lease_reason reason, int64_t now_us)
{
    struct member candidate = wanted_row(lease);
    struct guardian_set chosen =
        choose_guardians(lease, unanswered_max_us, now_us);
    bool had_no_guardians = lease->row.guardians.count == 0;
    bool recently_written = lease_add_us(lease->store_renewed_us,
                                         lease->row.lease_us / 2) > now_us;
    if (reason == LEASE_REASON_GUARDIANS && !is_certified(lease) &&
        guardian_set_equal(&chosen, &lease->row.guardians)) {
        lease->guardians_changed_us = now_us;
        return false;
    }
    /* Without guardians, only a recent write holds the lease until the new
     * ones acknowledge renewals. */
    if (had_no_guardians && !recently_written) {
        reason = LEASE_REASON_RENEW;
    }
    else {
        replace_guardians(lease, &candidate, &chosen);
        lease->guardians_changed_us = now_us;
    }
    send_write(lease, &candidate, reason, now_us);
    return true;
}

static bool
write_confirm(struct lease *lease, int64_t now_us)
{
    struct member candidate = wanted_row(lease);
    candidate.outgoing.count = 0;
    send_write(lease, &candidate, LEASE_REASON_CONFIRM, now_us);
    return true;
}

static bool
is_about_to_lapse(const struct lease *lease, int64_t now_us)
{
    return lease->wanted.state != MEMBER_LEFT &&
           lease_add_us(lease->until_us, -lease->row.lease_us / 2) <= now_us;
}

static bool
has_failed_guardian(struct lease *lease, int64_t now_us)
{
    for (size_t i = 0; i < lease->row.guardians.count; i++) {
        const struct lease_peer *peer =
            lease_find_peer(lease, &lease->row.guardians.refs[i]);
        if (peer == NULL || peer->certified ||
            !is_responsive(peer, GUARDIAN_LOST_US, now_us)) {
            return true;
        }
    }
    return lease->row.guardians.count < MEMBER_GUARDIANS_MAX;
}

static bool
confirm_is_due(struct lease *lease, int64_t now_us)
{
    return lease->row.outgoing.count > 0 &&
           lease_add_us(lease_guardians_until_us(lease, &lease->row.guardians),
                        -lease->row.lease_us / 2) > now_us;
}

static int64_t
renewal_due_us(const struct lease *lease)
{
    return lease_add_us(lease->store_renewed_us,
                        lease->row.renewal_max_us / 2);
}

/** When to replace a lost guardian; INT64_MAX if none is lost. */
static int64_t
replacement_due_us(struct lease *lease, int64_t now_us)
{
    if (lease->row.outgoing.count > 0 || !has_failed_guardian(lease, now_us)) {
        lease->replacement_due_us = LEASE_NEVER_US;
        return INT64_MAX;
    }
    if (lease->replacement_due_us == LEASE_NEVER_US) {
        lease->replacement_due_us = now_us;
        if (lease->replacement_jitter_us > 0) {
            lease->replacement_due_us += random_range(
                lease->config.random, 0, lease->replacement_jitter_us);
        }
    }
    return lease_max_us(
        lease->replacement_due_us,
        lease_add_us(lease->guardians_changed_us, REPLACEMENT_INTERVAL_US));
}

bool
lease_start_store_operation(struct lease *lease, int64_t now_us)
{
    if (lease->busy || now_us < lease->retry_us ||
        lease->status == LEASE_ENDED) {
        return false;
    }
    if (lease->must_read) {
        lease->busy = true;
        lease->ops->read(lease->ctx);
        return true;
    }
    if (lease->status == LEASE_UNREGISTERED) {
        return write_join(lease, now_us);
    }
    if (is_about_to_lapse(lease, now_us)) {
        return write_with_new_guardians(lease, lease->row.lease_us / 2,
                                        LEASE_REASON_REESTABLISH, now_us);
    }
    if (lease->generation != lease->written_generation) {
        struct member candidate = wanted_row(lease);
        send_write(lease, &candidate, LEASE_REASON_STATE, now_us);
        return true;
    }
    if (confirm_is_due(lease, now_us)) {
        return write_confirm(lease, now_us);
    }
    if (now_us >= replacement_due_us(lease, now_us)) {
        return write_with_new_guardians(lease, GUARDIAN_LOST_US,
                                        LEASE_REASON_GUARDIANS, now_us);
    }
    if (now_us >= renewal_due_us(lease)) {
        struct member candidate = wanted_row(lease);
        send_write(lease, &candidate, LEASE_REASON_RENEW, now_us);
        return true;
    }
    return false;
}

int64_t
lease_store_due_us(struct lease *lease, int64_t now_us)
{
    if (lease->busy) {
        return INT64_MAX;
    }
    int64_t due_us = renewal_due_us(lease);
    due_us = lease_min_us(
        due_us, lease_add_us(lease->until_us, -lease->row.lease_us / 2));
    due_us = lease_min_us(due_us, replacement_due_us(lease, now_us));
    if (lease->must_read || lease->generation != lease->written_generation) {
        due_us = now_us;
    }
    return lease_max_us(due_us, lease_max_us(lease->retry_us, now_us + 1));
}
