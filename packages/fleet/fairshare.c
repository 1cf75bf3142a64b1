#include "fleet/fairshare.h"

#include <stdlib.h>

#include "base/hash.h"
#include "base/memory.h"
#include "base/timeunits.h"

#define SETS 256     /* a power of two */
#define WAYS 4       /* flows of a set */
#define PRIORITIES 8 /* with a virtual time of their own */
#define USUAL_PERIOD_S 300.0
#define PRESENT_PERIOD_S 5.0
#define PERIOD_MIN_S 1.0 /* over which a new flow's rate is taken */
#define PRESENT_SHARE (1.0 / 3)

/** Count of events that decays over a period. */
struct decaying_count {
    double count;
    int64_t updated_us;
};

struct fairshare_flow {
    uint64_t hash; /* of workspace and priority; 0: free */
    unsigned priority;
    unsigned waiting;
    unsigned passed; /* requests seen in this pass */
    uint64_t pass;
    int64_t first_us;  /* arrival of its first request */
    int64_t active_us; /* of its latest one */
    struct decaying_count usual;
    struct decaying_count present;
    double weight;
    double finish; /* virtual time at which its next request may start */
};

struct fairshare {
    struct fairshare_flow flows[SETS][WAYS];
    struct fairshare_flow shared[PRIORITIES]; /* if all of a set wait */
    double virtual_time[PRIORITIES];
    uint64_t pass;
};

struct fairshare *
fairshare_create(void)
{
    struct fairshare *shares = memory_calloc(1, sizeof(*shares));
    for (unsigned i = 0; i < PRIORITIES; i++) {
        shares->shared[i].priority = i;
        shares->shared[i].weight = 1;
    }
    return shares;
}

void
fairshare_destroy(struct fairshare *shares)
{
    free(shares);
}

size_t
fairshare_memory(void)
{
    return sizeof(struct fairshare);
}

static double
seconds(int64_t duration_us)
{
    return (double)duration_us / (double)US_PER_SECOND;
}

static void
count_event(struct decaying_count *events, double period_s, int64_t now_us)
{
    const double passed_s = seconds(now_us - events->updated_us);
    events->count = events->count / (1 + passed_s / period_s) + 1;
    events->updated_us = now_us;
}

/** Events per second; those of a new flow over the time that it exists. */
static double
rate_of(const struct decaying_count *events, double period_s, double exists_s)
{
    const double counted_s = exists_s < period_s ? exists_s : period_s;
    return events->count /
           (counted_s > PERIOD_MIN_S ? counted_s : PERIOD_MIN_S);
}

static size_t
priority_index(unsigned priority)
{
    return priority < PRIORITIES ? priority : PRIORITIES - 1;
}

/** The flow that gives way to a new one: free, or idle for longest; NULL if
 * requests wait in all of the set. */
static struct fairshare_flow *
choose_victim(struct fairshare_flow set[WAYS])
{
    struct fairshare_flow *victim = NULL;
    for (size_t i = 0; i < WAYS; i++) {
        if (set[i].waiting == 0 &&
            (victim == NULL || set[i].active_us < victim->active_us)) {
            victim = &set[i];
        }
    }
    return victim;
}

struct fairshare_flow *
fairshare_find(struct fairshare *shares, uint64_t workspace, unsigned priority,
               int64_t now_us)
{
    const uint64_t hash = hash_bytes(&workspace, sizeof(workspace), priority);
    struct fairshare_flow *set = shares->flows[hash & (SETS - 1)];
    for (size_t i = 0; i < WAYS; i++) {
        if (set[i].hash == hash && set[i].priority == priority) {
            return &set[i];
        }
    }
    struct fairshare_flow *flow = choose_victim(set);
    if (flow == NULL) {
        return &shares->shared[priority_index(priority)];
    }
    *flow = (struct fairshare_flow){
        .hash = hash,
        .priority = priority,
        .first_us = now_us,
        .active_us = now_us,
        .usual.updated_us = now_us,
        .present.updated_us = now_us,
        .weight = 1,
    };
    return flow;
}

void
fairshare_record_arrival(struct fairshare_flow *flow, int64_t now_us)
{
    const double exists_s = seconds(now_us - flow->first_us);
    count_event(&flow->usual, USUAL_PERIOD_S, now_us);
    count_event(&flow->present, PRESENT_PERIOD_S, now_us);
    flow->active_us = now_us;
    const double usual = rate_of(&flow->usual, USUAL_PERIOD_S, exists_s);
    const double least =
        rate_of(&flow->present, PRESENT_PERIOD_S, exists_s) * PRESENT_SHARE;
    flow->weight = usual > least ? usual : least;
}

void
fairshare_add_waiting(struct fairshare_flow *flow)
{
    flow->waiting++;
}

void
fairshare_remove_waiting(struct fairshare_flow *flow)
{
    flow->waiting--;
}

double
fairshare_start_tag(const struct fairshare *shares,
                    const struct fairshare_flow *flow, unsigned ahead)
{
    /* Time without requests earns no credit. */
    const double now = shares->virtual_time[priority_index(flow->priority)];
    const double start = flow->finish > now ? flow->finish : now;
    return start + ahead / flow->weight;
}

void
fairshare_record_start(struct fairshare *shares, struct fairshare_flow *flow)
{
    const double start = fairshare_start_tag(shares, flow, 0);
    shares->virtual_time[priority_index(flow->priority)] = start;
    flow->finish = start + 1 / flow->weight;
}

void
fairshare_begin_pass(struct fairshare *shares)
{
    shares->pass++;
}

double
fairshare_next_tag(const struct fairshare *shares, struct fairshare_flow *flow)
{
    if (flow->pass != shares->pass) {
        flow->pass = shares->pass;
        flow->passed = 0;
    }
    return fairshare_start_tag(shares, flow, flow->passed++);
}
