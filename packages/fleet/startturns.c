#include "fleet/startturns.h"

#define STARTS 6 /* one of these is less urgent */

bool
startturns_is_less_urgent(const struct startturns *turns)
{
    return turns->urgent + 1 >= STARTS;
}

void
startturns_record(struct startturns *turns, bool less_urgent)
{
    if (less_urgent) {
        turns->urgent = 0;
    }
    else if (turns->urgent + 1 < STARTS) {
        turns->urgent++;
    }
}

unsigned
startturns_before(unsigned ahead)
{
    return (ahead + 1) * STARTS - 1;
}
