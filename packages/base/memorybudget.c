#include "base/memorybudget.h"

#include "base/timeunits.h"

#define MIB ((size_t)1 << 20)
/* Code, tables and buffers that aren't counted. */
#define UNCOUNTED_BYTES (12 * MIB)
#define PEAK_PERCENT 90    /* of the memory, the rest is a margin */
#define RESERVE_DIVISOR 64 /* of the limit */

void
memory_budget_init(struct memory_budget *budget, unsigned memory_mb)
{
    const size_t peak_bytes = memory_mb * MIB / 100 * PEAK_PERCENT;
    *budget = (struct memory_budget){
        .limit_bytes =
            peak_bytes > UNCOUNTED_BYTES ? peak_bytes - UNCOUNTED_BYTES : 0,
    };
    budget->reserve_bytes = budget->limit_bytes / RESERVE_DIVISOR;
    LIST_INIT(&budget->holders);
}

/** Bytes times seconds without progress: the highest is evicted first. */
static double
holder_cost(size_t bytes, int64_t progress_us, int64_t now_us)
{
    const int64_t stalled_us = now_us > progress_us ? now_us - progress_us : 0;
    return (double)bytes * (double)(stalled_us + US_PER_SECOND);
}

static struct memory_holder *
most_costly(const struct memory_budget *budget,
            const struct memory_holder *except, int64_t now_us)
{
    struct memory_holder *found = NULL;
    struct memory_holder *holder;
    double found_cost = 0;
    LIST_FOREACH (holder, &budget->holders, link) {
        const double cost =
            holder_cost(holder->bytes, holder->progress_us, now_us);
        if (holder != except && holder->evict != NULL &&
            holder->bytes > MEMORY_SMALL_BYTES && cost > found_cost) {
            found = holder;
            found_cost = cost;
        }
    }
    return found;
}

/** Bytes that the holder and all others may hold together. */
static size_t
usable_bytes(const struct memory_budget *budget, size_t bytes)
{
    return bytes <= MEMORY_SMALL_BYTES
               ? budget->limit_bytes
               : budget->limit_bytes - budget->reserve_bytes;
}

/** Evicts others until there is room for the holder's growth. */
static bool
make_room(struct memory_budget *budget, struct memory_holder *holder,
          size_t bytes, int64_t now_us)
{
    const size_t usable = usable_bytes(budget, bytes);
    if (bytes > usable) {
        return false;
    }
    const bool small = bytes <= MEMORY_SMALL_BYTES;
    const double cost = holder_cost(bytes, holder->progress_us, now_us);
    while (budget->held_bytes - holder->bytes > usable - bytes) {
        struct memory_holder *victim = most_costly(budget, holder, now_us);
        if (victim == NULL ||
            (!small &&
             holder_cost(victim->bytes, victim->progress_us, now_us) < cost)) {
            return false;
        }
        const size_t held_before = budget->held_bytes;
        budget->evictions++;
        victim->evict(victim);
        if (budget->held_bytes >= held_before) {
            /* The callback freed nothing. */
            return false;
        }
    }
    return true;
}

static void
set_bytes(struct memory_budget *budget, struct memory_holder *holder,
          size_t bytes)
{
    if (holder->bytes == 0 && bytes > 0) {
        LIST_INSERT_HEAD(&budget->holders, holder, link);
    }
    else if (holder->bytes > 0 && bytes == 0) {
        LIST_REMOVE(holder, link);
    }
    budget->held_bytes += bytes - holder->bytes;
    budget->held_by_purpose[holder->purpose] += bytes - holder->bytes;
    holder->bytes = bytes;
}

bool
memory_budget_set(struct memory_budget *budget, struct memory_holder *holder,
                  size_t bytes, int64_t now_us)
{
    if (bytes > holder->bytes && !make_room(budget, holder, bytes, now_us)) {
        budget->refusals++;
        return false;
    }
    set_bytes(budget, holder, bytes);
    return true;
}

void
memory_budget_release(struct memory_budget *budget,
                      struct memory_holder *holder)
{
    set_bytes(budget, holder, 0);
}
