/**
 * @file
 * State of a holder, shared by the parts that decide until when the lease is
 * held (leasehold.c) and when the row is written (leasewrite.c).
 */
#ifndef CHESTNUTGAP_MEMBERSHIP_LEASE_INTERNAL_H
#define CHESTNUTGAP_MEMBERSHIP_LEASE_INTERNAL_H

#include "membership/lease.h"

#define LEASE_PEERS_MAX (2 * MEMBER_GUARDIANS_MAX)
#define LEASE_UNRESOLVED_WRITES_MAX 8
#define LEASE_AVOIDED_MAX 6

/** Renewals with one guardian of the known row. */
struct lease_peer {
    struct member_ref ref;
    int64_t acked_us;            /* latest acknowledged send time */
    int64_t unanswered_since_us; /* first renewal sent after the last reply */
    int64_t sent_us;             /* latest renewal */
    int64_t next_us;             /* next renewal */
    bool waiting;                /* no reply since unanswered_since_us */
    bool gone;                   /* not a guardian any more */
    bool certified;              /* refuses the known version */
};

/** A guardian that was replaced because it did not reply. */
struct lease_avoided {
    struct member_ref ref;
    int64_t since_us;
};

/** A write that is pending or has an unknown outcome. */
struct lease_unresolved_write {
    uint64_t txn_id;
    int64_t sent_us;
    unsigned generation;
    struct member row;
};

/** Which guardian sets of the known row count for the lease. */
struct lease_counted {
    bool guardians;
    bool outgoing;
};

struct lease {
    struct lease_config config;
    const struct lease_ops *ops;
    void *ctx;
    enum lease_status status;
    struct member row;    /* latest known to be in the store */
    struct member wanted; /* state and attributes to write */
    unsigned generation;  /* of wanted */
    unsigned written_generation;
    struct lease_counted counted;
    struct lease_counted counted_before; /* without the latest write */
    struct lease_peer peers[LEASE_PEERS_MAX];
    size_t peer_count;
    struct lease_unresolved_write
        unresolved[LEASE_UNRESOLVED_WRITES_MAX]; /* oldest first */
    size_t unresolved_count;
    struct lease_avoided avoided[LEASE_AVOIDED_MAX]; /* oldest first */
    size_t avoided_count;
    bool busy;          /* a write or read is pending */
    bool must_read;     /* the outcome of a write is unknown */
    int64_t retry_us;   /* no store operation before this */
    int64_t backoff_us; /* 0 after a success */
    int64_t guardians_changed_us;
    int64_t replacement_due_us;    /* LEASE_NEVER_US if none is due */
    int64_t replacement_jitter_us; /* longest delay of a replacement */
    int64_t store_renewed_us; /* send time of the latest committed write */
    int64_t adopted_us;       /* when row became known */
    int64_t lease_changed_us; /* earlier acknowledgements do not count */
    int64_t until_us;
    int64_t highest_until_us;
};

static inline int64_t
lease_min_us(int64_t a, int64_t b)
{
    return a < b ? a : b;
}

static inline int64_t
lease_max_us(int64_t a, int64_t b)
{
    return a > b ? a : b;
}

/** Adds a duration to a time; LEASE_NEVER_US stays LEASE_NEVER_US. */
static inline int64_t
lease_add_us(int64_t time_us, int64_t duration_us)
{
    return time_us == LEASE_NEVER_US ? LEASE_NEVER_US : time_us + duration_us;
}

/* leasehold.c */

/** NULL if the member is not a guardian of the known row. */
struct lease_peer *lease_find_peer(struct lease *lease,
                                   const struct member_ref *ref);

/** Until when the acknowledgements of a set hold the lease. */
int64_t lease_guardians_until_us(struct lease *lease,
                                 const struct guardian_set *set);

/** Recomputes until_us. Must be called after every change. */
void lease_update_until(struct lease *lease);

/** Stops counting the guardian sets whose certificates a fence of the
 * candidate row does not need. */
void lease_exclude_unneeded_sets(struct lease *lease,
                                 const struct member *candidate);

/* leasewrite.c */

/** Delays the next store operation after a failure. */
void lease_back_off(struct lease *lease, int64_t now_us);

/** @return false if no store operation is due. */
bool lease_start_store_operation(struct lease *lease, int64_t now_us);

/** When the next store operation is due if no message arrives before. */
int64_t lease_store_due_us(struct lease *lease, int64_t now_us);

#endif
