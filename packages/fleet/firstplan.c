#include "fleet/firstplan.h"

void
firstplan_init(struct firstplan *plan, int64_t now_us)
{
    *plan = (struct firstplan){.begun_us = now_us, .appeared_us = now_us};
}

void
firstplan_observe(struct firstplan *plan, size_t instances, int64_t now_us)
{
    if (instances > plan->instances) {
        plan->instances = instances;
        plan->appeared_us = now_us;
    }
}

bool
firstplan_is_due(const struct firstplan *plan, int64_t now_us)
{
    return plan->instances > 0 &&
           (now_us - plan->appeared_us >= FIRSTPLAN_QUIET_US ||
            now_us - plan->begun_us >= FIRSTPLAN_WAIT_MAX_US);
}
