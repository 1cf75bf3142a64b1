#include "membership/guardian.h"

#include <stdlib.h>

#define WARDS_INITIAL 8
#define PERCENT 100

struct guardian {
    uint64_t incarnation;
    unsigned quiet_percent;
    struct lease_rules rules;
    struct guardian_ward *wards;
    size_t count;
    size_t capacity;
};

struct guardian *
guardian_create(uint64_t incarnation, unsigned quiet_percent,
                const struct lease_rules *rules)
{
    struct guardian *guardian = calloc(1, sizeof(*guardian));
    if (guardian == NULL) {
        return NULL;
    }
    guardian->incarnation = incarnation;
    guardian->quiet_percent = quiet_percent;
    guardian->rules = *rules;
    return guardian;
}

void
guardian_destroy(struct guardian *guardian)
{
    if (guardian == NULL) {
        return;
    }
    free(guardian->wards);
    free(guardian);
}

static struct guardian_ward *
find_ward(const struct guardian *guardian, uint64_t holder)
{
    for (size_t i = 0; i < guardian->count; i++) {
        if (guardian->wards[i].holder == holder) {
            return &guardian->wards[i];
        }
    }
    return NULL;
}

static struct guardian_ward *
append_ward(struct guardian *guardian)
{
    if (guardian->count == guardian->capacity) {
        size_t capacity =
            guardian->capacity == 0 ? WARDS_INITIAL : guardian->capacity * 2;
        struct guardian_ward *wards =
            realloc(guardian->wards, capacity * sizeof(*wards));
        if (wards == NULL) {
            abort();
        }
        guardian->wards = wards;
        guardian->capacity = capacity;
    }
    return &guardian->wards[guardian->count++];
}

/** Record of the holder, which has now seen this version. */
static struct guardian_ward *
see_version(struct guardian *guardian, uint64_t holder, uint64_t version,
            int64_t lease_us, int64_t now_us)
{
    struct guardian_ward *ward = find_ward(guardian, holder);
    if (ward == NULL) {
        ward = append_ward(guardian);
        *ward = (struct guardian_ward){
            .holder = holder,
            .last_ack_us = INT64_MIN,
            .quiet_since_us = now_us,
            .ended_us = INT64_MIN,
        };
    }
    if (version > ward->version) {
        ward->version = version;
        ward->first_seen_us = now_us;
        ward->lease_us = lease_us;
        ward->quiet_since_us = now_us;
    }
    return ward;
}

struct lease_renew_result
guardian_renew(struct guardian *guardian, const struct lease_renew_args *args,
               int64_t now_us)
{
    if (args->guardian != guardian->incarnation) {
        return (struct lease_renew_result){.status = LEASE_NOT_GUARDIAN};
    }
    struct guardian_ward *ward = see_version(
        guardian, args->holder, args->row_version, args->lease_us, now_us);
    if (guardian->rules.sticky_certificates && ward->certified != 0 &&
        args->row_version <= ward->certified) {
        return (struct lease_renew_result){.status = LEASE_CERTIFIED};
    }
    int64_t ended_us =
        now_us + lease_rules_wait_us(&guardian->rules, args->lease_us);
    if (ended_us > ward->ended_us) {
        ward->ended_us = ended_us;
    }
    ward->last_ack_us = now_us;
    ward->quiet_since_us = now_us;
    return (struct lease_renew_result){.status = LEASE_RENEWED};
}

static bool
is_quiet(const struct guardian_ward *ward, unsigned percent, int64_t now_us)
{
    return now_us - ward->quiet_since_us >= ward->lease_us * percent / PERCENT;
}

/** Time until a certificate of the version counts. */
static int64_t
certificate_wait_us(const struct guardian *guardian,
                    const struct guardian_ward *ward, int64_t now_us)
{
    int64_t counts_us = ward->ended_us;
    if (guardian->rules.wait_from_first_sight) {
        int64_t sight_us =
            ward->first_seen_us +
            lease_rules_wait_us(&guardian->rules, ward->lease_us);
        counts_us = sight_us > counts_us ? sight_us : counts_us;
    }
    return counts_us > now_us ? counts_us - now_us : 0;
}

struct lease_certify_result
guardian_certify(struct guardian *guardian,
                 const struct lease_certify_args *args, int64_t now_us)
{
    struct lease_certify_result result = {.row_version = args->row_version};
    if (args->guardian != guardian->incarnation) {
        result.status = LEASE_CERTIFY_NOT_GUARDIAN;
        return result;
    }
    struct guardian_ward *ward = see_version(
        guardian, args->holder, args->row_version, args->lease_us, now_us);
    result.row_version = ward->version;
    if (ward->version > args->row_version) {
        result.status = LEASE_CERTIFY_STALE;
    }
    else if (ward->certified < args->row_version &&
             !is_quiet(ward, guardian->quiet_percent, now_us)) {
        result.status = LEASE_CERTIFY_ALIVE;
    }
    else {
        ward->certified = args->row_version;
        result.status = LEASE_CERTIFY_DONE;
        result.counts_in_us =
            (u_int)certificate_wait_us(guardian, ward, now_us);
    }
    return result;
}

void
guardian_saw(struct guardian *guardian, uint64_t holder, uint64_t version,
             int64_t lease_us, int64_t now_us)
{
    see_version(guardian, holder, version, lease_us, now_us);
}

const struct guardian_ward *
guardian_find(const struct guardian *guardian, uint64_t holder)
{
    return find_ward(guardian, holder);
}

void
guardian_forgive(struct guardian *guardian, int64_t now_us)
{
    for (size_t i = 0; i < guardian->count; i++) {
        guardian->wards[i].quiet_since_us = now_us;
    }
}

void
guardian_visit_quiet(
    const struct guardian *guardian, unsigned percent, int64_t now_us,
    void (*visit)(void *ctx, const struct guardian_ward *ward), void *ctx)
{
    for (size_t i = 0; i < guardian->count; i++) {
        if (is_quiet(&guardian->wards[i], percent, now_us)) {
            visit(ctx, &guardian->wards[i]);
        }
    }
}

void
guardian_expire(struct guardian *guardian, int64_t now_us)
{
    size_t kept = 0;
    for (size_t i = 0; i < guardian->count; i++) {
        const struct guardian_ward *ward = &guardian->wards[i];
        if (now_us - ward->quiet_since_us < GUARDIAN_RETENTION_US) {
            guardian->wards[kept++] = *ward;
        }
    }
    guardian->count = kept;
}

size_t
guardian_count(const struct guardian *guardian)
{
    return guardian->count;
}
