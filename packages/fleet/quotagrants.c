#include "fleet/quotagrants.h"

#include <stdlib.h>

#include "base/memory.h"
#include "base/timeunits.h"

#define SIZE_FIRST 64
#define PROBES_MAX 8 /* places where a bucket can be */
/* Between two callers that got no token: bounds the calls for a workspace that
 * all instances ask for. */
#define RETURN_INTERVAL_US (5 * US_PER_MS)
#define RATE_MIN_PER_S 0.001
/* Longer than the windows in which a quota counts. */
#define IDLE_US (10 * US_PER_SECOND)

struct bucket {
    uint64_t id; /* 0: free */
    struct quotagrants_tenure tenure;
    double tokens;
    int64_t filled_us; /* when tokens was computed */
    int64_t return_us; /* of the latest caller without a token */
    float rate_per_s;
    float capacity;
};

struct quotagrants {
    struct bucket *buckets;
    size_t size; /* a power of two */
    size_t count;
};

struct quotagrants *
quotagrants_create(void)
{
    struct quotagrants *grants = memory_calloc(1, sizeof(*grants));
    grants->size = SIZE_FIRST;
    grants->buckets = memory_calloc(grants->size, sizeof(*grants->buckets));
    return grants;
}

void
quotagrants_destroy(struct quotagrants *grants)
{
    if (grants != NULL) {
        free(grants->buckets);
        free(grants);
    }
}

size_t
quotagrants_count(const struct quotagrants *grants)
{
    return grants->count;
}

/** Tokens at a time, if they come at that rate. */
static double
tokens_at(const struct bucket *bucket, double rate_per_s, int64_t now_us)
{
    const int64_t elapsed_us =
        now_us > bucket->filled_us ? now_us - bucket->filled_us : 0;
    const double tokens =
        bucket->tokens + rate_per_s * (double)elapsed_us / US_PER_SECOND;
    return tokens < bucket->capacity ? tokens : bucket->capacity;
}

/** An idle bucket that is full can be dropped: a new one is as full. */
static bool
is_spare(const struct bucket *bucket, int64_t now_us)
{
    return now_us - bucket->filled_us > IDLE_US &&
           tokens_at(bucket, bucket->rate_per_s, now_us) >= bucket->capacity;
}

static struct bucket *
place_at(const struct quotagrants *grants, uint64_t id, size_t probe)
{
    return &grants->buckets[(id + probe) & (grants->size - 1)];
}

static struct bucket *
find(const struct quotagrants *grants, uint64_t id)
{
    for (size_t i = 0; i < PROBES_MAX; i++) {
        struct bucket *bucket = place_at(grants, id, i);
        if (bucket->id == id) {
            return bucket;
        }
    }
    return NULL;
}

/** A place for a new bucket, or NULL. */
static struct bucket *
find_place(struct quotagrants *grants, uint64_t id, int64_t now_us)
{
    for (size_t i = 0; i < PROBES_MAX; i++) {
        struct bucket *bucket = place_at(grants, id, i);
        if (bucket->id == 0) {
            grants->count++;
            return bucket;
        }
    }
    for (size_t i = 0; i < PROBES_MAX; i++) {
        struct bucket *bucket = place_at(grants, id, i);
        if (is_spare(bucket, now_us)) {
            return bucket;
        }
    }
    return NULL;
}

/** Doubles the table until each bucket has a place. @return false if it would
 * be too large; it is unchanged then */
static bool
grow(struct quotagrants *grants, int64_t now_us)
{
    struct quotagrants larger = {.size = grants->size};
    bool placed = false;
    while (!placed && larger.size < QUOTAGRANTS_MAX) {
        free(larger.buckets);
        larger.size *= 2;
        larger.count = 0;
        larger.buckets = memory_calloc(larger.size, sizeof(*larger.buckets));
        placed = true;
        for (size_t i = 0; placed && i < grants->size; i++) {
            const struct bucket *bucket = &grants->buckets[i];
            if (bucket->id == 0 || is_spare(bucket, now_us)) {
                continue;
            }
            struct bucket *place = find_place(&larger, bucket->id, now_us);
            placed = place != NULL;
            if (placed) {
                *place = *bucket;
            }
        }
    }
    if (!placed) {
        free(larger.buckets);
        return false;
    }
    free(grants->buckets);
    *grants = larger;
    return true;
}

static struct bucket *
find_or_add(struct quotagrants *grants, uint64_t id, int64_t now_us)
{
    struct bucket *bucket = find(grants, id);
    if (bucket != NULL) {
        return bucket;
    }
    while ((bucket = find_place(grants, id, now_us)) == NULL) {
        if (!grow(grants, now_us)) {
            return NULL;
        }
    }
    *bucket = (struct bucket){.id = id};
    return bucket;
}

/** Brings the bucket up to date: it begins empty with the tenure, and a lower
 * rate counts from the latest request on. */
static void
fill(struct bucket *bucket, const struct quotagrants_request *request,
     int64_t now_us)
{
    const struct quotagrants_tenure *tenure = &request->tenure;
    const float rate_per_s = (float)request->limit.rate_per_s;
    float slower_per_s = rate_per_s;
    if (bucket->tenure.fence != tenure->fence ||
        bucket->tenure.since_us != tenure->since_us) {
        bucket->tenure = *tenure;
        bucket->tokens = 0;
        bucket->filled_us = tenure->since_us;
        bucket->return_us = 0;
    }
    else if (bucket->rate_per_s < rate_per_s) {
        slower_per_s = bucket->rate_per_s;
    }
    bucket->capacity = (float)(request->limit.burst + QUOTAGRANTS_RESERVE);
    bucket->tokens = tokens_at(bucket, slower_per_s, now_us);
    bucket->filled_us =
        now_us > bucket->filled_us ? now_us : bucket->filled_us;
    bucket->rate_per_s = rate_per_s;
}

/** Wait for a whole token, and for the turn among callers without one. */
static int64_t
assign_return_us(struct bucket *bucket, int64_t now_us)
{
    const double rate_per_s = bucket->rate_per_s > RATE_MIN_PER_S
                                  ? bucket->rate_per_s
                                  : RATE_MIN_PER_S;
    const double missing = bucket->tokens < 1 ? 1 - bucket->tokens : 0;
    const int64_t first_us =
        now_us + (int64_t)(missing * US_PER_SECOND / rate_per_s);
    bucket->return_us += RETURN_INTERVAL_US;
    if (bucket->return_us < first_us ||
        bucket->return_us > first_us + QUOTAGRANTS_RETURN_SPREAD_US) {
        bucket->return_us = first_us;
    }
    return bucket->return_us - now_us;
}

struct quotagrants_reply
quotagrants_take(struct quotagrants *grants,
                 const struct quotagrants_request *request, int64_t now_us)
{
    struct quotagrants_reply reply = {.granted = 0};
    const uint64_t id = request->bucket != 0 ? request->bucket : 1;
    struct bucket *bucket = find_or_add(grants, id, now_us);
    if (bucket == NULL) {
        reply.table_full = true;
        return reply;
    }
    fill(bucket, request, now_us);
    reply.granted = bucket->tokens < request->wanted ? (unsigned)bucket->tokens
                                                     : request->wanted;
    bucket->tokens -= reply.granted;
    if (reply.granted < request->wanted) {
        reply.wait_us = assign_return_us(bucket, now_us);
    }
    return reply;
}
