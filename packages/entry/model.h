/**
 * @file
 * A small model of callers, entries, gates and targets on one event queue
 * with its own clock, for tests and measurements of the request path. The
 * decision units in it are the real ones; the network, the targets and the
 * callers are fakes. Each order's executions are counted at the targets and
 * compared with what its caller was told.
 */
#ifndef CHESTNUTGAP_ENTRY_MODEL_H
#define CHESTNUTGAP_ENTRY_MODEL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define MODEL_TARGETS_MAX 32
#define MODEL_ZONES_MAX 4

/** How entries choose targets. */
enum model_policy {
    MODEL_CHESTNUTGAP,
    MODEL_ROUND_ROBIN, /**< the rest send straight to the targets */
    MODEL_RANDOM,
    MODEL_LEAST_CONNECTIONS,
    MODEL_TWO_CHOICES,
};

struct model_config {
    uint64_t seed;
    enum model_policy policy;
    unsigned zones;
    unsigned targets; /**< spread over the zones in turn; each has an entry */
    unsigned slots;
    unsigned connections;
    unsigned actual_slots; /**< what the target really has; 0: as declared */
    unsigned cold_limit;
    int64_t cold_start_us;
    int64_t service_time_us; /**< mean time that a warm target takes */
    int64_t zone_delay_us;   /**< one way between zones */
    double rate;             /**< requests a second, over all entries */
    double order_share;      /**< share of requests that are not idempotent */
    int64_t deadline_us;
    int64_t retention_us;
    unsigned resends;        /**< how often a caller sends an order again */
    double lost_reply_share; /**< share of replies that an entry never gets */
    double cut_answer_share; /**< share of answers that a target cuts short */
    unsigned retry_percent;
    unsigned hedge_percent;
    bool start_warm;
};

/** Counts of what happened, since the last model_reset_counts(). */
struct model_counts {
    uint64_t requests;           /**< of callers, without resends */
    uint64_t answered;           /**< callers that got an answer */
    uint64_t reads_failed;       /**< idempotent requests without one */
    uint64_t orders_refused;     /**< told that it did not run, to the end */
    uint64_t orders_unknown;     /**< told that it may have run, to the end */
    uint64_t attempts;           /**< tries sent by entries */
    uint64_t executions;         /**< started by targets */
    uint64_t over_capacity;      /**< started above what the target bore */
    uint64_t starts_in_zone_out; /**< in a zone that was out for over 3 s */
    uint64_t crashes;
    uint64_t suspects_refused; /**< innocent requests refused as suspects */
    uint64_t wrong_answers;    /**< answers of another request */
    uint64_t refusals;
    uint64_t slow_refusals; /**< those that took over 5 ms */
};

/** Counts over all orders of the whole run. */
struct model_ledger {
    uint64_t orders;
    uint64_t doubled;        /**< executed more than once */
    uint64_t lost;           /**< answered, but never executed */
    uint64_t false_refusals; /**< told "not run" to the end, but executed */
    uint64_t unknown;
};

struct model;

/** Called with each line of a session: time, place, event. */
typedef void (*model_trace_cb)(void *ctx, const char *line);

/** Aborts without memory. */
struct model *model_create(const struct model_config *config);
void model_destroy(struct model *model);

/** The sizes of Powys (patrymau) and Lagos (slot-viewer). */
struct model_config model_powys_config(uint64_t seed);
struct model_config model_lagos_config(uint64_t seed);

void model_set_trace(struct model *model, model_trace_cb trace, void *ctx);

/** Runs until the clock shows until_us. It starts at 1 s. */
void model_run(struct model *model, int64_t until_us);

/** Requests of callers that have not ended. */
size_t model_open_calls(const struct model *model);

/** Stops the callers, and runs until all requests have ended. */
void model_finish(struct model *model);

int64_t model_now_us(const struct model *model);

/* Faults and operators' acts. */

/** The target takes factor times as long (1: as usual). */
void model_set_slow(struct model *model, unsigned target, double factor);

/** The target turns cold without a restart and without warning. */
void model_turn_cold(struct model *model, unsigned target);

/** The target stops now, and starts again, cold, after 500 ms. */
void model_crash(struct model *model, unsigned target);

/** New connections to the target fail (true) or work again. */
void model_set_failing(struct model *model, unsigned target, bool failing);

void model_set_zone_out(struct model *model, unsigned zone, bool out);

/** The instance leaves in good order. */
void model_leave(struct model *model, unsigned target);

/** Whether a leaving instance has nothing left to do. */
bool model_has_left(const struct model *model, unsigned target);

/** The instance is frozen until model_thaw(); its shards get new owners. */
void model_freeze(struct model *model, unsigned target);
void model_thaw(struct model *model, unsigned target);

/** Shards of one instance move to another with their duplicate tables. */
void model_move(struct model *model, unsigned from, unsigned to);

/** Requests a second of all callers together. */
void model_set_rate(struct model *model, double rate);

enum model_call_kind {
    MODEL_READ,
    MODEL_ORDER,
    MODEL_CRASHING_READ, /**< a read that stops each target that runs it */
    MODEL_CRASHING_ORDER,
};

/**
 * A caller sends one request now, and again each time it fails, up to
 * resends times.
 */
void model_send(struct model *model, unsigned entry, enum model_call_kind kind,
                unsigned resends);

/**
 * A randomised run of some seconds: callers, lost and cut answers, and all
 * faults and acts above at random times.
 *
 * @return false if a promise was broken; problem tells which.
 */
bool model_random_run(uint64_t seed, char *problem, size_t problem_size);

/* Results. */

void model_reset_counts(struct model *model);
const struct model_counts *model_get_counts(const struct model *model);
struct model_ledger model_get_ledger(const struct model *model);

/** A quantile of the latencies of answered requests since the reset, as the
 * entry saw them. */
int64_t model_latency_quantile_us(struct model *model, double quantile);

/** Requests that a target runs now, and the most that its gate allows. */
unsigned model_running(const struct model *model, unsigned target);
unsigned model_limit(const struct model *model, unsigned target);

/** Executions that the target has started over the whole run. */
uint64_t model_executions(const struct model *model, unsigned target);

#endif
