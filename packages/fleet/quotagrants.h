/**
 * @file
 * Token buckets of a granter of workspaces' quotas: how many requests of a
 * workspace may start on all instances together. A bucket begins empty when
 * its instance becomes the granter, so that the former granter's tokens and
 * its own never add up to more than the rate allows, whatever moved, failed or
 * paused in between.
 */
#ifndef CHESTNUTGAP_FLEET_QUOTAGRANTS_H
#define CHESTNUTGAP_FLEET_QUOTAGRANTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define QUOTAGRANTS_MAX 65536 /* buckets of a table */
/* Tokens above the burst: whole tokens are granted, also at low rates. */
#define QUOTAGRANTS_RESERVE 2.0
/* Callers that got no token may return one after the other within this time.
 */
#define QUOTAGRANTS_RETURN_SPREAD_US INT64_C(1000000)

struct quotagrants;

/** A time in which this instance, and no other, is the granter. */
struct quotagrants_tenure {
    uint64_t fence; /**< differs from that of any other granter's tenure */
    int64_t since_us;
};

/** A granter's part of a workspace's quota. */
struct quotagrants_limit {
    double rate_per_s;
    double burst;
};

struct quotagrants_request {
    uint64_t bucket; /**< identifies workspace and granter */
    struct quotagrants_tenure tenure;
    struct quotagrants_limit limit;
    unsigned wanted;
};

struct quotagrants_reply {
    unsigned granted; /**< at most as many as wanted */
    /** When to ask again, if fewer were granted; later for each that got none,
     * so that they don't return together. */
    int64_t wait_us;
    bool table_full; /**< nothing is known of the bucket */
};

/** Aborts if out of memory. */
struct quotagrants *quotagrants_create(void);
void quotagrants_destroy(struct quotagrants *grants);

struct quotagrants_reply
quotagrants_take(struct quotagrants *grants,
                 const struct quotagrants_request *request, int64_t now_us);

/** Buckets in the table, full ones included until their place is needed. */
size_t quotagrants_count(const struct quotagrants *grants);

#endif
