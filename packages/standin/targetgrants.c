#include "standin/targetgrants.h"

#include <stdlib.h>
#include <sys/queue.h>

#define BUCKET_COUNT 4096

/** Highest epoch seen for a shard. */
struct grant {
    LIST_ENTRY(grant) link;
    uint32_t shard;
    uint64_t epoch;
    bool withdrawn; /* this epoch is fenced off too */
};

LIST_HEAD(grant_list, grant);

struct target_grants {
    struct grant_list buckets[BUCKET_COUNT];
};

struct target_grants *
target_grants_create(void)
{
    struct target_grants *grants = calloc(1, sizeof(*grants));
    if (grants == NULL) {
        abort();
    }
    return grants;
}

void
target_grants_destroy(struct target_grants *grants)
{
    for (size_t i = 0; i < BUCKET_COUNT; i++) {
        struct grant *grant = LIST_FIRST(&grants->buckets[i]);
        while (grant != NULL) {
            struct grant *next = LIST_NEXT(grant, link);
            free(grant);
            grant = next;
        }
    }
    free(grants);
}

static struct grant *
grants_get_or_create(struct target_grants *grants, uint32_t shard)
{
    struct grant_list *bucket = &grants->buckets[shard % BUCKET_COUNT];
    struct grant *grant;
    LIST_FOREACH (grant, bucket, link) {
        if (grant->shard == shard) {
            return grant;
        }
    }
    grant = calloc(1, sizeof(*grant));
    if (grant == NULL) {
        abort();
    }
    grant->shard = shard;
    LIST_INSERT_HEAD(bucket, grant, link);
    return grant;
}

bool
target_grants_check(struct target_grants *grants, uint32_t shard,
                    uint64_t epoch, int64_t expires_us, int64_t now_us)
{
    struct grant *grant = grants_get_or_create(grants, shard);
    const bool fenced =
        epoch < grant->epoch || (epoch == grant->epoch && grant->withdrawn);
    if (fenced || now_us >= expires_us) {
        return false;
    }
    grant->epoch = epoch;
    grant->withdrawn = false;
    return true;
}

static void
grants_set(struct target_grants *grants, uint32_t shard, uint64_t epoch,
           bool withdrawn)
{
    struct grant *grant = grants_get_or_create(grants, shard);
    if (epoch >= grant->epoch) {
        grant->epoch = epoch;
        grant->withdrawn = withdrawn;
    }
}

void
target_grants_put(struct target_grants *grants, uint32_t shard, uint64_t epoch)
{
    grants_set(grants, shard, epoch, false);
}

void
target_grants_withdraw(struct target_grants *grants, uint32_t shard,
                       uint64_t epoch)
{
    grants_set(grants, shard, epoch, true);
}
