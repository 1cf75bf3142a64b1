#include "daemon/ownership.h"

#include <stdlib.h>

#include "base/hash.h"

struct ownership {
    const struct directory *directory;
};

/* The search for the member with the highest hash. */
struct ownership_search {
    uint32_t shard;
    uint64_t best;
    const char *owner;
    uint64_t epoch;
};

struct ownership *
ownership_create(const struct directory *directory)
{
    struct ownership *ownership = calloc(1, sizeof(*ownership));
    if (ownership == NULL) {
        abort();
    }
    ownership->directory = directory;
    return ownership;
}

void
ownership_destroy(struct ownership *ownership)
{
    free(ownership);
}

static void
ownership_visit(void *ctx, const struct directory_view *view)
{
    struct ownership_search *search = ctx;
    const uint64_t rank = hash_bytes(&search->shard, sizeof(search->shard),
                                     hash_string(view->instance));
    if (view->state == MEMBER_ACTIVE && rank >= search->best) {
        search->best = rank;
        search->owner = view->instance;
        search->epoch = view->version;
    }
}

const char *
ownership_find(struct ownership *ownership, const char *service,
               uint32_t shard, uint64_t *epoch)
{
    struct ownership_search search = {.shard = shard};
    const struct directory_filter filter = {
        .service = service,
        .live_only = true,
    };
    directory_visit(ownership->directory, &filter, ownership_visit, &search);
    *epoch = search.epoch;
    return search.owner;
}
