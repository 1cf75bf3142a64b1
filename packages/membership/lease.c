#include "membership/lease_internal.h"

#include <stdlib.h>
#include <string.h>

#include "base/invariant.h"

#define RENEWALS_PER_LEASE 3
#define ATTEMPTS_PER_RENEWAL 3

struct lease *
lease_create(const struct lease_config *config, const struct member *row,
             const struct lease_ops *ops, void *ctx)
{
    struct lease *lease = calloc(1, sizeof(*lease));
    if (lease == NULL) {
        return NULL;
    }
    lease->config = *config;
    lease->ops = ops;
    lease->ctx = ctx;
    lease->row = *row;
    lease->wanted = *row;
    lease->generation = 1;
    lease->retry_us = LEASE_NEVER_US;
    lease->guardians_changed_us = LEASE_NEVER_US;
    lease->replacement_due_us = LEASE_NEVER_US;
    lease->store_renewed_us = LEASE_NEVER_US;
    lease->adopted_us = LEASE_NEVER_US;
    lease->lease_changed_us = LEASE_NEVER_US;
    lease->until_us = LEASE_NEVER_US;
    lease->highest_until_us = LEASE_NEVER_US;
    return lease;
}

void
lease_destroy(struct lease *lease)
{
    free(lease);
}

static void
add_peers(struct lease *lease, const struct guardian_set *set,
          const struct lease_peer *old, size_t old_count, int64_t now_us)
{
    for (size_t i = 0; i < set->count; i++) {
        if (lease_find_peer(lease, &set->refs[i]) != NULL) {
            continue;
        }
        struct lease_peer peer = {
            .ref = set->refs[i],
            .acked_us = LEASE_NEVER_US,
            .unanswered_since_us = now_us,
            .sent_us = LEASE_NEVER_US,
        };
        for (size_t j = 0; j < old_count; j++) {
            if (member_ref_equal(&old[j].ref, &peer.ref)) {
                peer = old[j];
            }
        }
        if (lease->lease_changed_us == now_us) {
            peer.acked_us = LEASE_NEVER_US;
        }
        peer.certified = false;
        peer.next_us = now_us;
        lease->peers[lease->peer_count++] = peer;
    }
}

/** Makes a row that was found in the store the known one. */
static void
adopt_row(struct lease *lease, const struct member *row, int64_t sent_us,
          int64_t now_us)
{
    struct lease_peer old[LEASE_PEERS_MAX];
    size_t old_count = lease->peer_count;
    memcpy(old, lease->peers, sizeof(old));
    if (lease->row.lease_us != row->lease_us) {
        lease->lease_changed_us = now_us;
    }
    lease->status = LEASE_REGISTERED;
    lease->row = *row;
    lease->adopted_us = now_us;
    lease->store_renewed_us = lease_max_us(lease->store_renewed_us, sent_us);
    lease->counted = (struct lease_counted){true, true};
    lease->unresolved_count = 0;
    lease->backoff_us = 0;
    lease->retry_us = LEASE_NEVER_US;
    lease->peer_count = 0;
    add_peers(lease, &row->guardians, old, old_count, now_us);
    add_peers(lease, &row->outgoing, old, old_count, now_us);
    lease_update_until(lease);
}

void
lease_end(struct lease *lease)
{
    lease->status = LEASE_ENDED;
    lease_update_until(lease);
}

/** Ends the lease because of the row in the store, which must not happen
 * while it is held. */
static void
end_by_row(struct lease *lease, int64_t now_us)
{
    invariant_check(INVARIANT_ONE_OWNER, now_us >= lease->until_us,
                    lease->row.self.instance);
    lease_end(lease);
}

/** Sends the renewals that are due. @return when the next one is due. */
static int64_t
renew_peers(struct lease *lease, int64_t now_us)
{
    int64_t interval_us = lease->row.lease_us / RENEWALS_PER_LEASE;
    int64_t next_us = INT64_MAX;
    for (size_t i = 0; i < lease->peer_count; i++) {
        struct lease_peer *peer = &lease->peers[i];
        if (peer->gone) {
            continue;
        }
        if (now_us >= peer->next_us) {
            if (!peer->waiting) {
                peer->unanswered_since_us = now_us;
            }
            bool unresponsive =
                now_us - peer->unanswered_since_us > lease->row.lease_us;
            peer->sent_us = now_us;
            peer->waiting = true;
            peer->next_us =
                now_us + (unresponsive ? interval_us
                                       : interval_us / ATTEMPTS_PER_RENEWAL);
            lease->ops->renew(lease->ctx, &peer->ref, lease->row.version,
                              now_us);
        }
        next_us = lease_min_us(next_us, peer->next_us);
    }
    return next_us;
}

int64_t
lease_tick(struct lease *lease, int64_t now_us)
{
    if (lease->status == LEASE_ENDED) {
        return INT64_MAX;
    }
    int64_t next_us = INT64_MAX;
    if (lease->status == LEASE_REGISTERED) {
        next_us = renew_peers(lease, now_us);
    }
    lease_start_store_operation(lease, now_us);
    return lease_min_us(next_us, lease_store_due_us(lease, now_us));
}

void
lease_on_renew_reply(struct lease *lease, const struct member_ref *guardian,
                     enum lease_renew_status status, int64_t sent_us)
{
    struct lease_peer *peer = lease_find_peer(lease, guardian);
    if (peer == NULL || lease->status != LEASE_REGISTERED) {
        return;
    }
    if (peer->waiting && sent_us >= peer->unanswered_since_us) {
        peer->waiting = false;
        peer->next_us = sent_us + lease->row.lease_us / RENEWALS_PER_LEASE;
    }
    if (status == LEASE_NOT_GUARDIAN) {
        peer->gone = true;
    }
    else if (status == LEASE_CERTIFIED) {
        peer->certified = sent_us >= lease->adopted_us;
    }
    else if (sent_us >= lease->lease_changed_us &&
             sent_us <=
                 lease_add_us(lease->highest_until_us, LEASE_REGAIN_MAX_US)) {
        peer->acked_us = lease_max_us(peer->acked_us, sent_us);
        lease_update_until(lease);
    }
}

int64_t
lease_unanswered_us(struct lease *lease, const struct member_ref *guardian,
                    int64_t now_us)
{
    const struct lease_peer *peer = lease_find_peer(lease, guardian);
    return peer == NULL || !peer->waiting ? 0
                                          : now_us - peer->unanswered_since_us;
}

void
lease_on_guardian_gone(struct lease *lease, const struct member_ref *guardian)
{
    struct lease_peer *peer = lease_find_peer(lease, guardian);
    if (peer != NULL) {
        peer->gone = true;
    }
}

static struct lease_unresolved_write *
find_unresolved_write(struct lease *lease, uint64_t txn_id)
{
    for (size_t i = 0; i < lease->unresolved_count; i++) {
        if (lease->unresolved[i].txn_id == txn_id) {
            return &lease->unresolved[i];
        }
    }
    return NULL;
}

static void
adopt_write(struct lease *lease, const struct lease_unresolved_write *write,
            uint64_t version, int64_t now_us)
{
    struct member row = write->row;
    row.version = version;
    lease->written_generation = write->generation;
    adopt_row(lease, &row, write->sent_us, now_us);
    if (row.state == MEMBER_LEFT) {
        lease_end(lease);
    }
}

void
lease_on_written(struct lease *lease, uint64_t txn_id,
                 enum store_outcome outcome, uint64_t version, int64_t now_us)
{
    struct lease_unresolved_write *write =
        find_unresolved_write(lease, txn_id);
    lease->busy = false;
    if (write == NULL || lease->status == LEASE_ENDED) {
        return;
    }
    if (outcome == STORE_COMMITTED) {
        adopt_write(lease, write, version, now_us);
        return;
    }
    if (outcome == STORE_UNAVAILABLE) {
        lease->counted = lease->counted_before;
        lease->unresolved_count--;
        lease_update_until(lease);
        lease_back_off(lease, now_us);
        return;
    }
    lease->must_read = true;
    if (outcome == STORE_UNKNOWN) {
        lease_back_off(lease, now_us);
    }
}

/** Handles a newer row than the known one, written by this lease or not. */
static void
apply_row(struct lease *lease, const struct member *row, uint64_t txn_id,
          int64_t now_us)
{
    const struct lease_unresolved_write *write =
        find_unresolved_write(lease, txn_id);
    if (write != NULL) {
        adopt_write(lease, write, row->version, now_us);
    }
    else if (row->self.incarnation != lease->wanted.self.incarnation ||
             !member_is_live(row)) {
        end_by_row(lease, now_us);
    }
    else {
        adopt_row(lease, row, LEASE_NEVER_US, now_us);
    }
}

void
lease_on_read(struct lease *lease, enum store_outcome outcome,
              const struct member *row, uint64_t txn_id, int64_t now_us)
{
    lease->busy = false;
    if (lease->status == LEASE_ENDED) {
        return;
    }
    if (outcome != STORE_COMMITTED) {
        lease_back_off(lease, now_us);
        return;
    }
    lease->must_read = false;
    if (row != NULL && row->version > lease->row.version) {
        apply_row(lease, row, txn_id, now_us);
    }
}

void
lease_on_row(struct lease *lease, const struct member *row, int64_t now_us)
{
    bool live = row->self.incarnation == lease->wanted.self.incarnation &&
                member_is_live(row);
    if (lease->status == LEASE_REGISTERED && !live &&
        row->version > lease->row.version &&
        lease->wanted.state != MEMBER_LEFT) {
        end_by_row(lease, now_us);
    }
}

void
lease_set_state(struct lease *lease, enum member_state state)
{
    if (lease->wanted.state != state) {
        lease->wanted.state = state;
        lease->generation++;
        lease_update_until(lease);
    }
}

void
lease_set_attributes(struct lease *lease, const struct member *row)
{
    struct member *wanted = &lease->wanted;
    const bool same = strcmp(wanted->service, row->service) == 0 &&
                      wanted->slots == row->slots &&
                      wanted->checks_grants == row->checks_grants &&
                      wanted->longest_request_us == row->longest_request_us &&
                      wanted->lease_us == row->lease_us &&
                      wanted->renewal_max_us == row->renewal_max_us;
    if (same) {
        return;
    }
    member_copy_name(wanted->service, row->service);
    wanted->slots = row->slots;
    wanted->checks_grants = row->checks_grants;
    wanted->longest_request_us = row->longest_request_us;
    wanted->lease_us = row->lease_us;
    wanted->renewal_max_us = row->renewal_max_us;
    lease->generation++;
}

void
lease_set_replacement_jitter(struct lease *lease,
                             int64_t replacement_jitter_us)
{
    lease->replacement_jitter_us = replacement_jitter_us;
}

enum lease_status
lease_status(const struct lease *lease)
{
    return lease->status;
}

int64_t
lease_until_us(const struct lease *lease)
{
    return lease->until_us;
}

bool
lease_is_held(const struct lease *lease, int64_t now_us)
{
    return now_us < lease->until_us;
}

const struct member *
lease_row(const struct lease *lease)
{
    return &lease->row;
}

bool
lease_in_state(const struct lease *lease, enum member_state state)
{
    return lease->status == LEASE_REGISTERED && lease->row.state == state;
}
