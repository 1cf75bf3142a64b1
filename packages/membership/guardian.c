#include "membership/guardian.h"

#include <stdlib.h>

#define RECORDS_INITIAL 8
#define PERCENT 100

struct guardian {
    uint64_t incarnation;
    unsigned certify_after_percent;
    struct lease_rules rules;
    struct guardian_holder *records;
    size_t count;
    size_t capacity;
};

struct guardian *
guardian_create(uint64_t incarnation, unsigned certify_after_percent,
                const struct lease_rules *rules)
{
    struct guardian *guardian = calloc(1, sizeof(*guardian));
    if (guardian == NULL) {
        return NULL;
    }
    guardian->incarnation = incarnation;
    guardian->certify_after_percent = certify_after_percent;
    guardian->rules = *rules;
    return guardian;
}

void
guardian_destroy(struct guardian *guardian)
{
    if (guardian == NULL) {
        return;
    }
    free(guardian->records);
    free(guardian);
}

static struct guardian_holder *
find_record(const struct guardian *guardian, uint64_t holder)
{
    for (size_t i = 0; i < guardian->count; i++) {
        if (guardian->records[i].holder == holder) {
            return &guardian->records[i];
        }
    }
    return NULL;
}

static struct guardian_holder *
append_record(struct guardian *guardian)
{
    if (guardian->count == guardian->capacity) {
        size_t capacity =
            guardian->capacity == 0 ? RECORDS_INITIAL : guardian->capacity * 2;
        struct guardian_holder *records =
            realloc(guardian->records, capacity * sizeof(*records));
        if (records == NULL) {
            abort();
        }
        guardian->records = records;
        guardian->capacity = capacity;
    }
    return &guardian->records[guardian->count++];
}

/** Returns the holder's record, updated with a version of its row. */
static struct guardian_holder *
record_version(struct guardian *guardian, uint64_t holder, uint64_t version,
               int64_t lease_us, int64_t now_us)
{
    struct guardian_holder *record = find_record(guardian, holder);
    if (record == NULL) {
        record = append_record(guardian);
        *record = (struct guardian_holder){
            .holder = holder,
            .last_ack_us = INT64_MIN,
            .last_contact_us = now_us,
            .acks_end_us = INT64_MIN,
        };
    }
    if (version > record->version) {
        record->version = version;
        record->version_seen_us = now_us;
        record->lease_us = lease_us;
        record->last_contact_us = now_us;
    }
    return record;
}

struct lease_renew_result
guardian_renew(struct guardian *guardian, const struct lease_renew_args *args,
               int64_t now_us)
{
    if (args->guardian != guardian->incarnation) {
        return (struct lease_renew_result){.status = LEASE_NOT_GUARDIAN};
    }
    struct guardian_holder *record = record_version(
        guardian, args->holder, args->row_version, args->lease_us, now_us);
    if (guardian->rules.sticky_certificates &&
        record->certified_version != 0 &&
        args->row_version <= record->certified_version) {
        return (struct lease_renew_result){.status = LEASE_CERTIFIED};
    }
    int64_t acks_end_us =
        now_us + lease_rules_wait_us(&guardian->rules, args->lease_us);
    if (acks_end_us > record->acks_end_us) {
        record->acks_end_us = acks_end_us;
    }
    record->last_ack_us = now_us;
    record->last_contact_us = now_us;
    return (struct lease_renew_result){.status = LEASE_RENEWED};
}

static bool
is_unresponsive(const struct guardian_holder *record, unsigned percent,
                int64_t now_us)
{
    return now_us - record->last_contact_us >=
           record->lease_us * percent / PERCENT;
}

/** Time until a certificate of the version is valid. */
static int64_t
certificate_wait_us(const struct guardian *guardian,
                    const struct guardian_holder *record, int64_t now_us)
{
    int64_t valid_from_us = record->acks_end_us;
    if (guardian->rules.wait_from_first_sight) {
        int64_t version_end_us =
            record->version_seen_us +
            lease_rules_wait_us(&guardian->rules, record->lease_us);
        valid_from_us =
            version_end_us > valid_from_us ? version_end_us : valid_from_us;
    }
    return valid_from_us > now_us ? valid_from_us - now_us : 0;
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
    struct guardian_holder *record = record_version(
        guardian, args->holder, args->row_version, args->lease_us, now_us);
    result.row_version = record->version;
    if (record->version > args->row_version) {
        result.status = LEASE_CERTIFY_STALE;
    }
    else if (record->certified_version < args->row_version &&
             !is_unresponsive(record, guardian->certify_after_percent,
                              now_us)) {
        result.status = LEASE_CERTIFY_ALIVE;
    }
    else {
        record->certified_version = args->row_version;
        result.status = LEASE_CERTIFY_DONE;
        result.counts_in_us =
            (u_int)certificate_wait_us(guardian, record, now_us);
    }
    return result;
}

void
guardian_record_version(struct guardian *guardian, uint64_t holder,
                        uint64_t version, int64_t lease_us, int64_t now_us)
{
    record_version(guardian, holder, version, lease_us, now_us);
}

const struct guardian_holder *
guardian_find(const struct guardian *guardian, uint64_t holder)
{
    return find_record(guardian, holder);
}

void
guardian_reset_contact_times(struct guardian *guardian, int64_t now_us)
{
    for (size_t i = 0; i < guardian->count; i++) {
        guardian->records[i].last_contact_us = now_us;
    }
}

void
guardian_visit_unresponsive(
    const struct guardian *guardian, unsigned percent, int64_t now_us,
    void (*visit)(void *ctx, const struct guardian_holder *record), void *ctx)
{
    for (size_t i = 0; i < guardian->count; i++) {
        if (is_unresponsive(&guardian->records[i], percent, now_us)) {
            visit(ctx, &guardian->records[i]);
        }
    }
}

void
guardian_expire(struct guardian *guardian, int64_t now_us)
{
    size_t kept = 0;
    for (size_t i = 0; i < guardian->count; i++) {
        const struct guardian_holder *record = &guardian->records[i];
        if (now_us - record->last_contact_us < GUARDIAN_RETENTION_US) {
            guardian->records[kept++] = *record;
        }
    }
    guardian->count = kept;
}

size_t
guardian_count(const struct guardian *guardian)
{
    return guardian->count;
}
