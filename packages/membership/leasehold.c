#include "membership/lease_internal.h"

struct lease_peer *
lease_find_peer(struct lease *lease, const struct member_ref *ref)
{
    for (size_t i = 0; i < lease->peer_count; i++) {
        if (member_ref_equal(&lease->peers[i].ref, ref)) {
            return &lease->peers[i];
        }
    }
    return NULL;
}

/** The shortest lease_us of the rows that may be in the store. */
static int64_t
shortest_lease_us(const struct lease *lease)
{
    int64_t lease_us = lease->row.lease_us;
    for (size_t i = 0; i < lease->unresolved_count; i++) {
        lease_us = lease_min_us(lease_us, lease->unresolved[i].row.lease_us);
    }
    return lease_us;
}

/** The shortest renewal_max_us of the rows that may be in the store. */
static int64_t
shortest_renewal_us(const struct lease *lease)
{
    int64_t renewal_us = lease->row.renewal_max_us;
    for (size_t i = 0; i < lease->unresolved_count; i++) {
        renewal_us =
            lease_min_us(renewal_us, lease->unresolved[i].row.renewal_max_us);
    }
    return renewal_us;
}

int64_t
lease_guardians_until_us(struct lease *lease, const struct guardian_set *set)
{
    int64_t acked_us[MEMBER_GUARDIANS_MAX];
    if (set->count == 0) {
        return lease_add_us(lease->store_renewed_us,
                            shortest_renewal_us(lease));
    }
    for (size_t i = 0; i < set->count; i++) {
        const struct lease_peer *peer = lease_find_peer(lease, &set->refs[i]);
        int64_t value = peer == NULL ? LEASE_NEVER_US : peer->acked_us;
        size_t at = i;
        for (; at > 0 && acked_us[at - 1] < value; at--) {
            acked_us[at] = acked_us[at - 1];
        }
        acked_us[at] = value;
    }
    return lease_add_us(acked_us[guardian_quorum_hold(set->count) - 1],
                        shortest_lease_us(lease));
}

void
lease_update_until(struct lease *lease)
{
    int64_t until_us = LEASE_NEVER_US;
    if (lease->status == LEASE_REGISTERED &&
        lease->wanted.state != MEMBER_LEFT) {
        until_us =
            lease_add_us(lease->store_renewed_us, shortest_lease_us(lease));
        if (lease->counted.guardians) {
            until_us = lease_max_us(
                until_us,
                lease_guardians_until_us(lease, &lease->row.guardians));
        }
        if (lease->counted.outgoing && lease->row.outgoing.count > 0) {
            until_us = lease_max_us(
                until_us,
                lease_guardians_until_us(lease, &lease->row.outgoing));
        }
        until_us =
            lease_min_us(until_us, lease_add_us(lease->store_renewed_us,
                                                shortest_renewal_us(lease)));
    }
    lease->until_us = until_us;
    lease->highest_until_us = lease_max_us(lease->highest_until_us, until_us);
}

/** True if a fence of the row needs the set's certificates. */
static bool
fence_needs_set(const struct member *row, const struct guardian_set *set)
{
    return guardian_set_equal(&row->guardians, set) ||
           (set->count > 0 && guardian_set_equal(&row->outgoing, set));
}

void
lease_exclude_unneeded_sets(struct lease *lease,
                            const struct member *candidate)
{
    const struct lease_rules *rules = &lease->config.rules;
    lease->counted_before = lease->counted;
    if (rules->joint_guardians &&
        !fence_needs_set(candidate, &lease->row.guardians)) {
        lease->counted.guardians = false;
    }
    if (rules->confirm_ends_outgoing &&
        !fence_needs_set(candidate, &lease->row.outgoing)) {
        lease->counted.outgoing = false;
    }
}
