/* Takes the bytes as operations on the memory budget: holders that grow,
 * shrink, stall and leave. The sum stays within the limit, nothing is lost on
 * release, and a small holder gets its share. */
#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>

#include "base/memorybudget.h"
#include "base/timeunits.h"

#define HOLDERS 64
#define LIMIT_MB 64
#define UNIT_BYTES ((size_t)64 << 10)

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

struct owner {
    struct memory_holder holder; /* must be first: cast by evict_owner() */
    struct memory_budget *budget;
};

static void
require(bool condition)
{
    if (!condition) {
        abort();
    }
}

static void
evict_owner(struct memory_holder *holder)
{
    struct owner *owner = (struct owner *)holder;
    memory_budget_release(owner->budget, holder);
}

static void
check_sums(const struct memory_budget *budget, const struct owner *owners)
{
    size_t sum = 0;
    size_t by_purpose = 0;
    for (size_t i = 0; i < HOLDERS; i++) {
        sum += owners[i].holder.bytes;
    }
    for (size_t i = 0; i < MEMORY_PURPOSES; i++) {
        by_purpose += budget->held_by_purpose[i];
    }
    require(sum == budget->held_bytes && by_purpose == sum &&
            sum <= budget->limit_bytes);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    struct memory_budget budget;
    struct owner owners[HOLDERS] = {{.budget = NULL}};
    int64_t now_us = 0;
    memory_budget_init(&budget, LIMIT_MB);
    for (size_t i = 0; i + 2 < size; i += 3) {
        struct owner *owner = &owners[data[i] % HOLDERS];
        struct memory_holder *holder = &owner->holder;
        const size_t before = holder->bytes;
        const size_t bytes = data[i + 1] * UNIT_BYTES;
        owner->budget = &budget;
        if (before == 0) {
            holder->purpose = data[i + 2] % MEMORY_PURPOSES;
            holder->progress_us = now_us;
        }
        holder->evict = (data[i + 2] & 8) != 0 ? NULL : evict_owner;
        now_us += (data[i + 2] >> 4) * US_PER_SECOND;
        if (!memory_budget_set(&budget, holder, bytes, now_us)) {
            require(holder->bytes == before && bytes > before);
        }
        check_sums(&budget, owners);
    }
    for (size_t i = 0; i < HOLDERS; i++) {
        memory_budget_release(&budget, &owners[i].holder);
    }
    require(budget.held_bytes == 0 && LIST_EMPTY(&budget.holders));
    return 0;
}
