#include "membership/fence.h"

#include <stdlib.h>

#include "base/timeunits.h"

#define GUARDIANS_MAX (2 * MEMBER_GUARDIANS_MAX)
#define REQUEST_INTERVAL_US (100 * US_PER_MS)
#define RETRY_MIN_US (100 * US_PER_MS) /* after a failed store operation */
#define RETRY_MAX_US (2 * US_PER_SECOND)

/**
 * Longest duration of an attempt, far below GUARDIAN_RETENTION_US, so that
 * certificates are used only while guardians still have them.
 */
#define ATTEMPT_MAX_US (10 * US_PER_SECOND)

enum fence_step {
    STEP_READ,    /* the row is to be read */
    STEP_COLLECT, /* the row is known, proof is missing */
    STEP_WAIT,    /* a store operation is pending */
};

/** What one guardian replied about the version of the row. */
struct fence_guardian {
    struct member_ref ref;
    bool certified;        /* or its process is gone */
    bool alive;            /* it still receives renewals */
    int64_t valid_from_us; /* of the certificate */
    int64_t next_request_us;
};

struct fence {
    struct fence_config config;
    const struct fence_ops *ops;
    void *ctx;
    struct member_ref holder;
    enum fence_status status;
    enum fence_step step;
    enum fence_proof proof;
    struct member row;
    uint64_t txn_id; /* of the write, 0 before */
    struct fence_guardian guardians[GUARDIANS_MAX];
    size_t guardian_count;
    bool connection_refused;
    bool declared_lost;
    int64_t declared_lost_us;
    int64_t first_seen_us;
    int64_t started_us;
    int64_t retry_us;
    int64_t backoff_us;
};

struct fence *
fence_create(const struct fence_config *config,
             const struct member_ref *holder, const struct fence_ops *ops,
             void *ctx, int64_t now_us)
{
    struct fence *fence = calloc(1, sizeof(*fence));
    if (fence == NULL) {
        return NULL;
    }
    fence->config = *config;
    fence->ops = ops;
    fence->ctx = ctx;
    fence->holder = *holder;
    fence->started_us = now_us;
    fence->retry_us = now_us;
    return fence;
}

void
fence_destroy(struct fence *fence)
{
    free(fence);
}

static struct fence_guardian *
find_guardian(struct fence *fence, const struct member_ref *ref)
{
    for (size_t i = 0; i < fence->guardian_count; i++) {
        if (member_ref_equal(&fence->guardians[i].ref, ref)) {
            return &fence->guardians[i];
        }
    }
    return NULL;
}

static void
add_guardians(struct fence *fence, const struct guardian_set *set,
              int64_t now_us)
{
    for (size_t i = 0; i < set->count; i++) {
        if (find_guardian(fence, &set->refs[i]) == NULL) {
            fence->guardians[fence->guardian_count++] =
                (struct fence_guardian){.ref = set->refs[i],
                                        .next_request_us = now_us};
        }
    }
}

static bool
is_overdue(const struct fence *fence, int64_t now_us)
{
    return now_us - fence->first_seen_us >=
           lease_rules_wait_us(&fence->config.rules,
                               fence->row.renewal_max_us);
}

/** True if enough certificates of the set are valid. */
static bool
set_has_certified(struct fence *fence, const struct guardian_set *set,
                  int64_t now_us)
{
    size_t counted = 0;
    if (set->count == 0) {
        return is_overdue(fence, now_us);
    }
    for (size_t i = 0; i < set->count; i++) {
        const struct fence_guardian *state =
            find_guardian(fence, &set->refs[i]);
        counted += state->certified && now_us >= state->valid_from_us;
    }
    return counted >= guardian_quorum_fence(set->count);
}

/** True if so many guardians report the holder alive that the others are too
 * few for a proof. */
static bool
set_reports_alive(struct fence *fence, const struct guardian_set *set)
{
    size_t alive = 0;
    for (size_t i = 0; i < set->count; i++) {
        alive += find_guardian(fence, &set->refs[i])->alive;
    }
    return alive > 0 && set->count - alive < guardian_quorum_fence(set->count);
}

static bool
any_guardian_reports_alive(const struct fence *fence)
{
    for (size_t i = 0; i < fence->guardian_count; i++) {
        if (fence->guardians[i].alive) {
            return true;
        }
    }
    return false;
}

static enum fence_proof
current_proof(struct fence *fence, int64_t now_us)
{
    if (fence->connection_refused) {
        return FENCE_CONNECTION_REFUSED;
    }
    if (is_overdue(fence, now_us)) {
        return FENCE_OVERDUE;
    }
    if (set_has_certified(fence, &fence->row.guardians, now_us) &&
        (fence->row.outgoing.count == 0 ||
         set_has_certified(fence, &fence->row.outgoing, now_us))) {
        return FENCE_CERTIFICATES;
    }
    if (fence->declared_lost && !any_guardian_reports_alive(fence) &&
        now_us - fence->declared_lost_us >=
            lease_rules_wait_us(&fence->config.rules, fence->row.lease_us)) {
        return FENCE_DECLARED_LOST;
    }
    return FENCE_NO_PROOF;
}

static void
write_fenced(struct fence *fence)
{
    struct member fenced = fence->row;
    fenced.state = MEMBER_FENCED;
    fenced.serve_after_us =
        fenced.checks_grants ? 0 : fenced.longest_request_us;
    fence->txn_id = random_u64(fence->config.random) >> 1;
    fence->step = STEP_WAIT;
    fence->ops->write(fence->ctx, fence, &fenced, fence->txn_id);
}

static int64_t
request_certificates(struct fence *fence, int64_t now_us)
{
    int64_t next_us = now_us + REQUEST_INTERVAL_US;
    for (size_t i = 0; i < fence->guardian_count; i++) {
        struct fence_guardian *state = &fence->guardians[i];
        if (!state->certified && now_us >= state->next_request_us) {
            state->next_request_us = now_us + REQUEST_INTERVAL_US;
            fence->ops->request_certificate(fence->ctx, fence, &state->ref);
        }
        if (state->certified && state->valid_from_us > now_us &&
            state->valid_from_us < next_us) {
            next_us = state->valid_from_us;
        }
    }
    return next_us;
}

static int64_t
collect_proof(struct fence *fence, int64_t now_us)
{
    int64_t next_us = request_certificates(fence, now_us);
    fence->proof = current_proof(fence, now_us);
    if (fence->proof != FENCE_NO_PROOF) {
        write_fenced(fence);
        return fence->started_us + ATTEMPT_MAX_US;
    }
    if (set_reports_alive(fence, &fence->row.guardians) ||
        set_reports_alive(fence, &fence->row.outgoing)) {
        fence->status = FENCE_ALIVE;
        return INT64_MAX;
    }
    return next_us;
}

int64_t
fence_tick(struct fence *fence, int64_t now_us)
{
    if (fence->status != FENCE_RUNNING) {
        return INT64_MAX;
    }
    if (now_us - fence->started_us >= ATTEMPT_MAX_US) {
        fence->status = FENCE_TIMED_OUT;
        return INT64_MAX;
    }
    if (fence->step == STEP_WAIT) {
        return fence->started_us + ATTEMPT_MAX_US;
    }
    if (now_us < fence->retry_us) {
        return fence->retry_us;
    }
    if (fence->step == STEP_READ) {
        fence->step = STEP_WAIT;
        fence->ops->read(fence->ctx, fence);
        return fence->started_us + ATTEMPT_MAX_US;
    }
    return collect_proof(fence, now_us);
}

/** Delays the next store operation after a failure. */
static void
back_off(struct fence *fence, int64_t now_us)
{
    fence->backoff_us =
        fence->backoff_us == 0 ? RETRY_MIN_US : fence->backoff_us * 2;
    if (fence->backoff_us > RETRY_MAX_US) {
        fence->backoff_us = RETRY_MAX_US;
    }
    fence->retry_us =
        now_us + random_range(fence->config.random, fence->backoff_us / 2,
                              fence->backoff_us);
}

static void
use_row(struct fence *fence, const struct member *row, int64_t first_seen_us,
        int64_t now_us)
{
    if (fence->row.version == row->version) {
        return;
    }
    fence->row = *row;
    fence->first_seen_us = first_seen_us;
    fence->guardian_count = 0;
    add_guardians(fence, &row->guardians, now_us);
    add_guardians(fence, &row->outgoing, now_us);
}

void
fence_on_read(struct fence *fence, enum store_outcome outcome,
              const struct member *row, uint64_t txn_id, int64_t first_seen_us,
              int64_t now_us)
{
    if (fence->status != FENCE_RUNNING) {
        return;
    }
    if (outcome != STORE_COMMITTED) {
        fence->step = STEP_READ;
        back_off(fence, now_us);
        return;
    }
    if (row == NULL || row->self.incarnation != fence->holder.incarnation ||
        !member_is_live(row)) {
        bool own_write =
            row != NULL && fence->txn_id != 0 && txn_id == fence->txn_id;
        if (own_write) {
            fence->row = *row;
        }
        fence->status = own_write ? FENCE_COMMITTED : FENCE_NOT_NEEDED;
        return;
    }
    use_row(fence, row, first_seen_us, now_us);
    fence->step = STEP_COLLECT;
}

void
fence_on_certify_reply(struct fence *fence, const struct member_ref *guardian,
                       const struct lease_certify_result *result,
                       int64_t now_us)
{
    struct fence_guardian *state = find_guardian(fence, guardian);
    if (state == NULL || state->certified || fence->status != FENCE_RUNNING) {
        return;
    }
    if (result->status == LEASE_CERTIFY_NOT_GUARDIAN) {
        fence_on_guardian_gone(fence, guardian, now_us);
        return;
    }
    if (result->status == LEASE_CERTIFY_STALE && fence->step == STEP_COLLECT &&
        result->row_version > fence->row.version) {
        fence->step = STEP_READ;
        fence->retry_us = now_us;
    }
    state->alive = result->status == LEASE_CERTIFY_ALIVE;
    if (result->status == LEASE_CERTIFY_DONE &&
        result->row_version == fence->row.version) {
        state->certified = true;
        state->valid_from_us =
            now_us +
            lease_rules_wait_us(&fence->config.rules, result->counts_in_us);
    }
}

void
fence_on_guardian_gone(struct fence *fence, const struct member_ref *guardian,
                       int64_t now_us)
{
    struct fence_guardian *state = find_guardian(fence, guardian);
    if (state == NULL || state->certified) {
        return;
    }
    state->certified = true;
    state->alive = false;
    state->valid_from_us = now_us + lease_rules_wait_us(&fence->config.rules,
                                                        fence->row.lease_us);
}

void
fence_on_connection_refused(struct fence *fence)
{
    fence->connection_refused = true;
}

void
fence_on_declared_lost(struct fence *fence, int64_t now_us)
{
    if (!fence->declared_lost) {
        fence->declared_lost = true;
        fence->declared_lost_us = now_us;
    }
}

void
fence_on_written(struct fence *fence, enum store_outcome outcome,
                 uint64_t version, int64_t now_us)
{
    if (fence->status != FENCE_RUNNING) {
        return;
    }
    if (outcome == STORE_COMMITTED) {
        fence->row.state = MEMBER_FENCED;
        fence->row.version = version;
        fence->row.serve_after_us =
            fence->row.checks_grants ? 0 : fence->row.longest_request_us;
        fence->status = FENCE_COMMITTED;
    }
    else if (outcome == STORE_UNAVAILABLE) {
        fence->step = STEP_COLLECT;
        back_off(fence, now_us);
    }
    else {
        fence->step = STEP_READ;
        fence->retry_us = now_us;
    }
}

enum fence_status
fence_status(const struct fence *fence)
{
    return fence->status;
}

enum fence_proof
fence_proof(const struct fence *fence)
{
    return fence->proof;
}

const char *
fence_proof_name(enum fence_proof proof)
{
    static const char *const names[] = {
        [FENCE_NO_PROOF] = "none",
        [FENCE_CERTIFICATES] = "certificates",
        [FENCE_CONNECTION_REFUSED] = "refused",
        [FENCE_DECLARED_LOST] = "declared_lost",
        [FENCE_OVERDUE] = "overdue",
    };
    return names[proof];
}

const struct member_ref *
fence_holder(const struct fence *fence)
{
    return &fence->holder;
}

const struct member *
fence_row(const struct fence *fence)
{
    return fence->row.version == 0 ? NULL : &fence->row;
}
