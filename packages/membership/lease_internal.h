/**
 * @file
 * State of a holder, and the parts of its decisions: which acknowledgements
 * hold the lease (leasehold.c), and when the row is written (leasewrite.c).
 */
#ifndef CHESTNUTGAP_MEMBERSHIP_LEASE_INTERNAL_H
#define CHESTNUTGAP_MEMBERSHIP_LEASE_INTERNAL_H

#include "membership/lease.h"

#define LEASE_PEERS_MAX (2 * MEMBER_GUARDIANS_MAX)
#define LEASE_UNRESOLVED_WRITES_MAX 8
#define LEASE_AVOIDED_MAX 6

/** How a guardian answers this holder. */
struct lease_peer {
    struct member_ref ref;
    int64_t acked_us; /* latest send time that was acknowledged */
    int64_t
        unanswered_since_us; /* first renewal sent since the latest answer */
    int64_t sent_us;         /* latest renewal */
    int64_t next_us;         /* next renewal */
    bool waiting;            /* no answer since unanswered_since_us */
    bool gone;               /* not a guardian any more */
    bool certified;          /* it refused the known version */
};

/** A guardian that was replaced because it did not answer. */
struct lease_avoided {
    struct member_ref ref;
    int64_t since_us;
};

/** A write whose outcome is not known. */
struct lease_unresolved_write {
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
    struct lease_counted counted_before; /* without the latest write */
    struct lease_peer peers[LEASE_PEERS_MAX];
    size_t peer_count;
    struct lease_unresolved_write
        unresolved[LEASE_UNRESOLVED_WRITES_MAX]; /* oldest first */
    size_t unresolved_count;
    struct lease_avoided avoided[LEASE_AVOIDED_MAX]; /* oldest first */
    size_t avoided_count;
    bool busy;                    /* a write or read is not answered */
    bool must_read;               /* an outcome is unknown */
    int64_t retry_us;             /* no store operation before this */
    int64_t backoff_us;           /* 0 after a success */
    int64_t guardians_changed_us; /* latest change of guardians */
    int64_t
        replacement_due_us; /* of a lost guardian's replacement, or never */
    int64_t replacement_jitter_us; /* most that a replacement is delayed */
    int64_t store_renewed_us; /* send time of the latest committed write */
    int64_t adopted_us;       /* when the known row became known */
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

/** A time plus a duration, where LEASE_NEVER_US stays. */
static inline int64_t
lease_add_us(int64_t time_us, int64_t duration_us)
{
    return time_us == LEASE_NEVER_US ? LEASE_NEVER_US : time_us + duration_us;
}

/* leasehold.c */

/** NULL if the member is no guardian of the known row. */
struct lease_peer *lease_find_peer(struct lease *lease,
                                   const struct member_ref *ref);

/** Until when the acknowledgements of a set hold the lease. */
int64_t lease_set_until_us(struct lease *lease,
                           const struct guardian_set *set);

/** Computes until_us anew. To be called after every change. */
void lease_update_until(struct lease *lease);

/** Stops counting the sets that a fence of the candidate does not need. */
void lease_exclude_unneeded_sets(struct lease *lease,
                                 const struct member *candidate);

/* leasewrite.c */

/** Delays the next store operation after one that failed. */
void lease_back_off(struct lease *lease, int64_t now_us);

/** Starts the store operation that is due, if any. */
bool lease_start_store_operation(struct lease *lease, int64_t now_us);

/** When a store operation may be due without any message before. */
int64_t lease_store_due_us(struct lease *lease, int64_t now_us);

#endif
