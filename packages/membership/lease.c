#include "membership/lease.h"

#include <stdlib.h>
#include <string.h>

#define RENEWALS_PER_LEASE 3
#define RETRIES_PER_RENEWAL 3
#define PEERS_MAX (2 * MEMBER_GUARDIANS_MAX)
#define ATTEMPTS_MAX 8
#define AVOIDED_MAX 6
#define AVOID_US INT64_C(30000000)    /* a bad guardian is not chosen again */
#define PEER_LOST_US INT64_C(2000000) /* silence before replacement */
#define CHANGE_PAUSE_US INT64_C(2000000) /* between changes of guardians */
#define BACKOFF_MIN_US INT64_C(100000)   /* after a failed write */
#define BACKOFF_MAX_US INT64_C(2000000)

/** How a guardian answers this holder. */
struct lease_peer {
    struct member_ref ref;
    int64_t acked_us;  /* latest send time that was acknowledged */
    int64_t silent_us; /* first renewal sent since the latest answer */
    int64_t sent_us;   /* latest renewal */
    int64_t next_us;   /* next renewal */
    bool waiting;      /* no answer since silent_us */
    bool gone;         /* not a guardian any more */
    bool certified;    /* it refused the known version */
};

/** A guardian that was replaced because it did not answer. */
struct lease_avoided {
    struct member_ref ref;
    int64_t since_us;
};

/** A write whose outcome is not known. */
struct lease_attempt {
    uint64_t txn_id;
    int64_t sent_us;
    unsigned generation;
    struct member row;
};

/** Sets of the known row that count for the lease. */
struct lease_counted {
    bool guardians;
    bool outgoing;
};

struct lease {
    struct lease_config config;
    const struct lease_ops *ops;
    void *ctx;
    enum lease_status status;
    struct member row;    /* as last known to be in the store */
    struct member wanted; /* state and abilities to write */
    unsigned generation;  /* of wanted */
    unsigned written_generation;
    struct lease_counted counted;
    struct lease_counted counted_before; /* without the latest attempt */
    struct lease_peer peers[PEERS_MAX];
    size_t peer_count;
    struct lease_attempt attempts[ATTEMPTS_MAX]; /* oldest first */
    size_t attempt_count;
    struct lease_avoided avoided[AVOIDED_MAX]; /* oldest first */
    size_t avoided_count;
    bool busy;                /* a write or read is not answered */
    bool must_read;           /* an outcome is unknown */
    int64_t retry_us;         /* no store operation before this */
    int64_t backoff_us;       /* 0 after a success */
    int64_t changed_us;       /* latest change of guardians */
    int64_t store_renewed_us; /* send time of the latest committed write */
    int64_t adopted_us;       /* when the known row became known */
    int64_t lease_changed_us; /* earlier acknowledgements do not count */
    int64_t until_us;
    int64_t highest_until_us;
};

static int64_t
min_us(int64_t a, int64_t b)
{
    return a < b ? a : b;
}

static int64_t
max_us(int64_t a, int64_t b)
{
    return a > b ? a : b;
}

/** A time plus a duration, where LEASE_NEVER_US stays. */
static int64_t
after_us(int64_t time_us, int64_t duration_us)
{
    return time_us == LEASE_NEVER_US ? LEASE_NEVER_US : time_us + duration_us;
}

static struct lease_peer *
find_peer(struct lease *lease, const struct member_ref *ref)
{
    for (size_t i = 0; i < lease->peer_count; i++) {
        if (member_ref_equal(&lease->peers[i].ref, ref)) {
            return &lease->peers[i];
        }
    }
    return NULL;
}

/** Length of a lease under every write that may have taken effect. */
static int64_t
shortest_lease_us(const struct lease *lease)
{
    int64_t lease_us = lease->row.lease_us;
    for (size_t i = 0; i < lease->attempt_count; i++) {
        lease_us = min_us(lease_us, lease->attempts[i].row.lease_us);
    }
    return lease_us;
}

/** Longest time without a write that is safe under all of them. */
static int64_t
shortest_renewal_us(const struct lease *lease)
{
    int64_t renewal_us = lease->row.renewal_max_us;
    for (size_t i = 0; i < lease->attempt_count; i++) {
        renewal_us = min_us(renewal_us, lease->attempts[i].row.renewal_max_us);
    }
    return renewal_us;
}

/** Until when the acknowledgements of a set hold the lease. */
static int64_t
set_until_us(struct lease *lease, const struct guardian_set *set)
{
    int64_t acked_us[MEMBER_GUARDIANS_MAX];
    if (set->count == 0) {
        return after_us(lease->store_renewed_us, shortest_renewal_us(lease));
    }
    for (size_t i = 0; i < set->count; i++) {
        const struct lease_peer *peer = find_peer(lease, &set->refs[i]);
        int64_t value = peer == NULL ? LEASE_NEVER_US : peer->acked_us;
        size_t at = i;
        for (; at > 0 && acked_us[at - 1] < value; at--) {
            acked_us[at] = acked_us[at - 1];
        }
        acked_us[at] = value;
    }
    return after_us(acked_us[guardian_quorum_hold(set->count) - 1],
                    shortest_lease_us(lease));
}

static void
update_until(struct lease *lease)
{
    int64_t until_us = LEASE_NEVER_US;
    if (lease->status == LEASE_REGISTERED &&
        lease->wanted.state != MEMBER_LEFT) {
        until_us = after_us(lease->store_renewed_us, shortest_lease_us(lease));
        if (lease->counted.guardians) {
            until_us =
                max_us(until_us, set_until_us(lease, &lease->row.guardians));
        }
        if (lease->counted.outgoing && lease->row.outgoing.count > 0) {
            until_us =
                max_us(until_us, set_until_us(lease, &lease->row.outgoing));
        }
        until_us = min_us(until_us, after_us(lease->store_renewed_us,
                                             shortest_renewal_us(lease)));
    }
    lease->until_us = until_us;
    lease->highest_until_us = max_us(lease->highest_until_us, until_us);
}

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
    lease->changed_us = LEASE_NEVER_US;
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
        if (find_peer(lease, &set->refs[i]) != NULL) {
            continue;
        }
        struct lease_peer peer = {
            .ref = set->refs[i],
            .acked_us = LEASE_NEVER_US,
            .silent_us = now_us,
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

/** Makes a row that the store has the known one. */
static void
adopt_row(struct lease *lease, const struct member *row, int64_t sent_us,
          int64_t now_us)
{
    struct lease_peer old[PEERS_MAX];
    size_t old_count = lease->peer_count;
    memcpy(old, lease->peers, sizeof(old));
    if (lease->row.lease_us != row->lease_us) {
        lease->lease_changed_us = now_us;
    }
    lease->status = LEASE_REGISTERED;
    lease->row = *row;
    lease->adopted_us = now_us;
    lease->store_renewed_us = max_us(lease->store_renewed_us, sent_us);
    lease->counted = (struct lease_counted){true, true};
    lease->attempt_count = 0;
    lease->backoff_us = 0;
    lease->retry_us = LEASE_NEVER_US;
    lease->peer_count = 0;
    add_peers(lease, &row->guardians, old, old_count, now_us);
    add_peers(lease, &row->outgoing, old, old_count, now_us);
    update_until(lease);
}

static void
end_lease(struct lease *lease)
{
    lease->status = LEASE_ENDED;
    update_until(lease);
}

/** Delays the next store operation after one that failed. */
static void
back_off(struct lease *lease, int64_t now_us)
{
    lease->backoff_us = lease->backoff_us == 0
                            ? BACKOFF_MIN_US
                            : min_us(lease->backoff_us * 2, BACKOFF_MAX_US);
    lease->retry_us =
        now_us + lease->backoff_us +
        random_range(lease->config.random, 0, lease->backoff_us / 2);
}

/** True if a fence of the row needs certificates of the set. */
static bool
row_has_set(const struct member *row, const struct guardian_set *set)
{
    return guardian_set_equal(&row->guardians, set) ||
           (set->count > 0 && guardian_set_equal(&row->outgoing, set));
}

static void
count_sets(struct lease *lease, const struct member *candidate)
{
    const struct lease_rules *rules = &lease->config.rules;
    lease->counted_before = lease->counted;
    if (rules->joint_guardians &&
        !row_has_set(candidate, &lease->row.guardians)) {
        lease->counted.guardians = false;
    }
    if (rules->confirm_ends_outgoing &&
        !row_has_set(candidate, &lease->row.outgoing)) {
        lease->counted.outgoing = false;
    }
}

static void
send_write(struct lease *lease, struct member *candidate,
           enum lease_reason reason, int64_t now_us)
{
    uint64_t txn_id = random_u64(lease->config.random) >> 1;
    if (lease->attempt_count == ATTEMPTS_MAX) {
        memmove(lease->attempts, lease->attempts + 1,
                (ATTEMPTS_MAX - 1) * sizeof(lease->attempts[0]));
        lease->attempt_count--;
    }
    lease->attempts[lease->attempt_count++] = (struct lease_attempt){
        .txn_id = txn_id,
        .sent_us = now_us,
        .generation = lease->generation,
        .row = *candidate,
    };
    count_sets(lease, candidate);
    update_until(lease);
    lease->busy = true;
    lease->ops->write(lease->ctx, candidate, txn_id, reason);
}

/** The known row with the state and abilities that are wanted. */
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
peer_is_good(const struct lease_peer *peer, int64_t silence_us, int64_t now_us)
{
    return !peer->gone &&
           (!peer->waiting || now_us - peer->silent_us <= silence_us);
}

static void
avoid(struct lease *lease, const struct member_ref *ref, int64_t now_us)
{
    size_t kept = 0;
    for (size_t i = 0; i < lease->avoided_count; i++) {
        const struct lease_avoided *old = &lease->avoided[i];
        if (!member_ref_equal(&old->ref, ref) &&
            now_us - old->since_us < AVOID_US) {
            lease->avoided[kept++] = *old;
        }
    }
    if (kept == AVOIDED_MAX) {
        memmove(lease->avoided, lease->avoided + 1,
                (AVOIDED_MAX - 1) * sizeof(lease->avoided[0]));
        kept--;
    }
    lease->avoided[kept] = (struct lease_avoided){*ref, now_us};
    lease->avoided_count = kept + 1;
}

static void
ask_for_choice(struct lease *lease, struct guardian_set *chosen,
               int64_t now_us)
{
    struct member_ref refs[AVOIDED_MAX];
    size_t count = 0;
    for (size_t i = 0; i < lease->avoided_count; i++) {
        if (now_us - lease->avoided[i].since_us < AVOID_US) {
            refs[count++] = lease->avoided[i].ref;
        }
    }
    lease->ops->choose(lease->ctx, refs, count, chosen);
}

/** The guardians to have, keeping those that answered lately. */
static struct guardian_set
choose_guardians(struct lease *lease, int64_t silence_us, int64_t now_us)
{
    struct guardian_set chosen = {0};
    for (size_t i = 0; i < lease->row.guardians.count; i++) {
        const struct member_ref *ref = &lease->row.guardians.refs[i];
        const struct lease_peer *peer = find_peer(lease, ref);
        bool keep = peer != NULL && peer_is_good(peer, silence_us, now_us);
        if (keep) {
            guardian_set_add(&chosen, ref);
        }
        else {
            avoid(lease, ref, now_us);
        }
    }
    ask_for_choice(lease, &chosen, now_us);
    return chosen;
}

/** Puts the chosen set in the row, with the one that holds the lease now as
 * the outgoing set. */
static void
replace_guardians(struct lease *lease, struct member *candidate,
                  const struct guardian_set *chosen)
{
    if (guardian_set_equal(chosen, &lease->row.guardians)) {
        return;
    }
    const struct guardian_set *outgoing = &lease->row.guardians;
    if (lease->row.outgoing.count > 0 &&
        set_until_us(lease, &lease->row.outgoing) >
            set_until_us(lease, outgoing)) {
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
    ask_for_choice(lease, &candidate.guardians, now_us);
    send_write(lease, &candidate, LEASE_REASON_JOIN, now_us);
    return true;
}

/** True if a guardian refuses this version, which a write ends. */
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
write_with(struct lease *lease, int64_t silence_us, enum lease_reason reason,
           int64_t now_us)
{
    struct member candidate = wanted_row(lease);
    struct guardian_set chosen = choose_guardians(lease, silence_us, now_us);
    bool had_none = lease->row.guardians.count == 0;
    bool credit =
        after_us(lease->store_renewed_us, lease->row.lease_us) - now_us >
        lease->row.lease_us / 2;
    if (reason == LEASE_REASON_GUARDIANS && !is_certified(lease) &&
        guardian_set_equal(&chosen, &lease->row.guardians)) {
        lease->changed_us = now_us;
        return false;
    }
    /* Without guardians only a recent write bridges the change. */
    if (!had_none || credit) {
        replace_guardians(lease, &candidate, &chosen);
        lease->changed_us = now_us;
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

/** True if the lease will lapse unless the row is written. */
static bool
is_urgent(const struct lease *lease, int64_t now_us)
{
    return lease->wanted.state != MEMBER_LEFT &&
           after_us(lease->until_us, -lease->row.lease_us / 2) <= now_us;
}

static bool
has_bad_guardian(struct lease *lease, int64_t now_us)
{
    for (size_t i = 0; i < lease->row.guardians.count; i++) {
        const struct lease_peer *peer =
            find_peer(lease, &lease->row.guardians.refs[i]);
        if (peer == NULL || peer->certified ||
            !peer_is_good(peer, PEER_LOST_US, now_us)) {
            return true;
        }
    }
    return lease->row.guardians.count < MEMBER_GUARDIANS_MAX;
}

static bool
confirm_is_due(struct lease *lease, int64_t now_us)
{
    return lease->row.outgoing.count > 0 &&
           set_until_us(lease, &lease->row.guardians) - now_us >
               lease->row.lease_us / 2;
}

static int64_t
renewal_due_us(const struct lease *lease)
{
    return after_us(lease->store_renewed_us, lease->row.renewal_max_us / 2);
}

/** Starts the store operation that is due, if any. */
static bool
use_store(struct lease *lease, int64_t now_us)
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
    if (is_urgent(lease, now_us)) {
        return write_with(lease, lease->row.lease_us / 2,
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
    if (lease->row.outgoing.count == 0 && has_bad_guardian(lease, now_us) &&
        now_us >= after_us(lease->changed_us, CHANGE_PAUSE_US)) {
        return write_with(lease, PEER_LOST_US, LEASE_REASON_GUARDIANS, now_us);
    }
    if (now_us >= renewal_due_us(lease)) {
        struct member candidate = wanted_row(lease);
        send_write(lease, &candidate, LEASE_REASON_RENEW, now_us);
        return true;
    }
    return false;
}

/** Sends the renewals that are due and returns when the next one is. */
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
                peer->silent_us = now_us;
            }
            bool silent = now_us - peer->silent_us > lease->row.lease_us;
            peer->sent_us = now_us;
            peer->waiting = true;
            peer->next_us =
                now_us +
                (silent ? interval_us : interval_us / RETRIES_PER_RENEWAL);
            lease->ops->renew(lease->ctx, &peer->ref, lease->row.version,
                              now_us);
        }
        next_us = min_us(next_us, peer->next_us);
    }
    return next_us;
}

/** When a store operation may be due without any message before. */
static int64_t
store_due_us(struct lease *lease, int64_t now_us)
{
    if (lease->busy) {
        return INT64_MAX;
    }
    int64_t due_us = renewal_due_us(lease);
    due_us =
        min_us(due_us, after_us(lease->until_us, -lease->row.lease_us / 2));
    if (lease->row.outgoing.count == 0 && has_bad_guardian(lease, now_us)) {
        due_us = min_us(due_us, after_us(lease->changed_us, CHANGE_PAUSE_US));
    }
    if (lease->must_read || lease->generation != lease->written_generation) {
        due_us = now_us;
    }
    return max_us(due_us, max_us(lease->retry_us, now_us + 1));
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
    use_store(lease, now_us);
    return min_us(next_us, store_due_us(lease, now_us));
}

void
lease_on_renewed(struct lease *lease, const struct member_ref *guardian,
                 enum lease_renew_status status, int64_t sent_us)
{
    struct lease_peer *peer = find_peer(lease, guardian);
    if (peer == NULL || lease->status != LEASE_REGISTERED) {
        return;
    }
    if (peer->waiting && sent_us >= peer->silent_us) {
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
                 after_us(lease->highest_until_us, LEASE_REGAIN_MAX_US)) {
        peer->acked_us = max_us(peer->acked_us, sent_us);
        update_until(lease);
    }
}

void
lease_on_guardian_gone(struct lease *lease, const struct member_ref *guardian)
{
    struct lease_peer *peer = find_peer(lease, guardian);
    if (peer != NULL) {
        peer->gone = true;
    }
}

static struct lease_attempt *
find_attempt(struct lease *lease, uint64_t txn_id)
{
    for (size_t i = 0; i < lease->attempt_count; i++) {
        if (lease->attempts[i].txn_id == txn_id) {
            return &lease->attempts[i];
        }
    }
    return NULL;
}

static void
adopt_attempt(struct lease *lease, const struct lease_attempt *attempt,
              uint64_t version, int64_t now_us)
{
    struct member row = attempt->row;
    row.version = version;
    lease->written_generation = attempt->generation;
    adopt_row(lease, &row, attempt->sent_us, now_us);
    if (row.state == MEMBER_LEFT) {
        end_lease(lease);
    }
}

void
lease_on_written(struct lease *lease, uint64_t txn_id,
                 enum store_outcome outcome, uint64_t version, int64_t now_us)
{
    struct lease_attempt *attempt = find_attempt(lease, txn_id);
    lease->busy = false;
    if (attempt == NULL || lease->status == LEASE_ENDED) {
        return;
    }
    if (outcome == STORE_COMMITTED) {
        adopt_attempt(lease, attempt, version, now_us);
        return;
    }
    if (outcome == STORE_UNAVAILABLE) {
        lease->counted = lease->counted_before;
        lease->attempt_count--;
        update_until(lease);
        back_off(lease, now_us);
        return;
    }
    lease->must_read = true;
    if (outcome == STORE_UNKNOWN) {
        back_off(lease, now_us);
    }
}

/** The row has moved on from the known one: by us, or not. */
static void
take_row(struct lease *lease, const struct member *row, uint64_t txn_id,
         int64_t now_us)
{
    const struct lease_attempt *attempt = find_attempt(lease, txn_id);
    if (attempt != NULL) {
        adopt_attempt(lease, attempt, row->version, now_us);
    }
    else if (row->self.incarnation != lease->wanted.self.incarnation ||
             !member_is_live(row)) {
        end_lease(lease);
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
        back_off(lease, now_us);
        return;
    }
    lease->must_read = false;
    if (row != NULL && row->version > lease->row.version) {
        take_row(lease, row, txn_id, now_us);
    }
}

void
lease_set_state(struct lease *lease, enum member_state state)
{
    if (lease->wanted.state != state) {
        lease->wanted.state = state;
        lease->generation++;
        update_until(lease);
    }
}

void
lease_set_abilities(struct lease *lease, const struct member *row)
{
    lease->wanted.slots = row->slots;
    lease->wanted.checks_grants = row->checks_grants;
    lease->wanted.longest_request_us = row->longest_request_us;
    lease->wanted.lease_us = row->lease_us;
    lease->wanted.renewal_max_us = row->renewal_max_us;
    lease->generation++;
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
