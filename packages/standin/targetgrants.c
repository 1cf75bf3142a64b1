#include "standin/targetgrants.h"

#include <stdlib.h>
#include <sys/queue.h>

#define BUCKETS 4096

/** Least epoch of a shard that may run. */
struct grant {
    LIST_ENTRY(grant) link;
    uint32_t shard;
    uint64_t epoch_min;
};

LIST_HEAD(grant_list, grant);

struct target_grants {
    struct grant_list buckets[BUCKETS];
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
    for (size_t i = 0; i < BUCKETS; i++) {
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
grants_find(struct target_grants *grants, uint32_t shard)
{
    struct grant_list *bucket = &grants->buckets[shard % BUCKETS];
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
    struct grant *grant = grants_find(grants, shard);
    if (epoch < grant->epoch_min || now_us >= expires_us) {
        return false;
    }
    grant->epoch_min = epoch;
    return true;
}

void
target_grants_put(struct target_grants *grants, uint32_t shard, uint64_t epoch)
{
    struct grant *grant = grants_find(grants, shard);
    if (epoch > grant->epoch_min) {
        grant->epoch_min = epoch;
    }
}

void
target_grants_withdraw(struct target_grants *grants, uint32_t shard,
                       uint64_t epoch)
{
    target_grants_put(grants, shard, epoch + 1);
}
