#include "fleet/transittime.h"

#include <stdlib.h>

#include "base/memory.h"
#include "base/timeunits.h"

/* Senders whose slots collide replace each other; the next message of the
 * replaced one counts as its first. */
#define SLOTS 1024
/* The least difference is kept for one to two periods: clocks drift. */
#define PERIOD_US (15 * US_PER_SECOND)
#define WAIT_MAX_US (3600 * US_PER_SECOND)

/** Differences between arrival and sending of one process's messages. */
struct slot {
    uint64_t process; /**< 0: unused */
    int64_t period_from_us;
    int64_t least_us;        /**< in this period */
    int64_t least_before_us; /**< in the period before */
};

struct transittime {
    struct slot slots[SLOTS];
};

struct transittime *
transittime_create(void)
{
    return memory_calloc(1, sizeof(struct transittime));
}

void
transittime_destroy(struct transittime *times)
{
    free(times);
}

static int64_t
lesser(int64_t a, int64_t b)
{
    return a < b ? a : b;
}

static void
begin(struct slot *slot, uint64_t process, int64_t difference_us,
      int64_t now_us)
{
    *slot = (struct slot){
        .process = process,
        .period_from_us = now_us,
        .least_us = difference_us,
        .least_before_us = difference_us,
    };
}

int64_t
transittime_record(struct transittime *times, uint64_t process,
                   int64_t sent_us, int64_t now_us)
{
    struct slot *slot = &times->slots[process % SLOTS];
    /* sent_us comes from outside: the difference may not overflow. */
    const int64_t difference_us =
        (int64_t)((uint64_t)now_us - (uint64_t)sent_us);
    if (process == 0) {
        return 0;
    }
    if (slot->process != process ||
        now_us - slot->period_from_us >= 2 * PERIOD_US) {
        begin(slot, process, difference_us, now_us);
    }
    else if (now_us - slot->period_from_us >= PERIOD_US) {
        slot->period_from_us = now_us;
        slot->least_before_us = slot->least_us;
        slot->least_us = difference_us;
    }
    slot->least_us = lesser(slot->least_us, difference_us);
    const int64_t least_us = lesser(slot->least_us, slot->least_before_us);
    const uint64_t wait_us = (uint64_t)difference_us - (uint64_t)least_us;
    return wait_us < WAIT_MAX_US ? (int64_t)wait_us : WAIT_MAX_US;
}
