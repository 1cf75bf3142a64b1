#include "fleet/attemptlimit.h"

void
attemptlimit_init(struct attemptlimit *limit, unsigned max)
{
    *limit = (struct attemptlimit){.max = max};
}

bool
attemptlimit_allows(const struct attemptlimit *limit)
{
    return limit->pending + limit->reached < limit->max;
}

void
attemptlimit_begin(struct attemptlimit *limit)
{
    limit->pending++;
}

void
attemptlimit_end(struct attemptlimit *limit, bool may_have_reached)
{
    limit->pending--;
    limit->reached += may_have_reached ? 1 : 0;
}
