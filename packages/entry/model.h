/**
 * @file
 * Discrete-event simulation of callers, entries, gates and targets, for
 * tests and measurements of the request path. It runs the real decision code;
 * network, targets, callers and clock are simulated. Targets count each
 * order's executions, which are compared with the answer to its caller. An
 * order is a request that is not idempotent, a read is one that is.
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
    MODEL_ROUND_ROBIN, /**< this and the rest bypass the gates */
    MODEL_RANDOM,
    MODEL_LEAST_CONNECTIONS,
    MODEL_TWO_CHOICES,
};

struct model_config {
    uint64_t seed;
    enum model_policy policy;
    unsigned zones;
    unsigned targets; /**< zones in turn; each has an entry */
    unsigned slots;
    unsigned connections;
    unsigned actual_slots; /**< sheds above this; 0: as declared */
    unsigned cold_limit;
    int64_t cold_start_us;
    int64_t service_time_us; /**< mean of a warm target */
    int64_t zone_delay_us;   /**< one way between zones */
    double rate;             /**< requests per second, all entries */
    double order_share;      /**< share of requests that are not idempotent */
    int64_t deadline_us;
    int64_t retention_us;
    unsigned resends;        /**< most times a caller resends an order */
    double lost_reply_share; /**< share that never reaches the entry */
    double cut_answer_share; /**< share that a target cuts short */
    unsigned retry_percent;
    unsigned hedge_percent;
    bool start_warm;
};

/** Counts since the last model_reset_counts(). */
struct model_counts {
    uint64_t requests;           /**< without resends */
    uint64_t answered;           /**< callers that got an answer */
    uint64_t reads_failed;       /**< reads without an answer */
    uint64_t orders_refused;     /**< last answer: not run */
    uint64_t orders_unknown;     /**< last answer: may have run */
    uint64_t attempts;           /**< sent by entries and gates */
    uint64_t executions;         /**< started by targets */
    uint64_t over_capacity;      /**< started above the target's capacity */
    uint64_t starts_in_zone_out; /**< in a zone out for over 3 s */
    uint64_t crashes;
    uint64_t suspects_refused; /**< as suspects, but harmless */
    uint64_t wrong_answers;    /**< answers of another request */
    uint64_t refusals;         /**< for lack of capacity */
    uint64_t slow_refusals;    /**< after more than 5 ms */
};

/** Counts of all ended orders of the whole run. */
struct model_ledger {
    uint64_t orders;
    uint64_t doubled;        /**< executed more than once */
    uint64_t lost;           /**< answered, but never executed */
    uint64_t false_refusals; /**< last answer: not run; but executed */
    uint64_t unknown;
};

struct model;

/** Called with each trace line: time, instance, event. */
typedef void (*model_trace_cb)(void *ctx, const char *line);

/** Aborts if out of memory. */
struct model *model_create(const struct model_config *config);
void model_destroy(struct model *model);

/** The sizes of Powys (patrymau) and Lagos (slot-viewer). */
struct model_config model_powys_config(uint64_t seed);
struct model_config model_lagos_config(uint64_t seed);

void model_set_trace(struct model *model, model_trace_cb trace, void *ctx);

/** Runs until the model's clock, which starts at 1 s, shows until_us. */
void model_run(struct model *model, int64_t until_us);

/** Callers' requests that have not ended. */
size_t model_open_calls(const struct model *model);

/** Stops the callers; runs until their requests have ended, at most 60 s. */
void model_finish(struct model *model);

int64_t model_now_us(const struct model *model);

/* Faults and operator actions. */

/** Multiplies the target's service time by factor. */
void model_set_slow(struct model *model, unsigned target, double factor);

/** The target becomes cold without a restart and unannounced. */
void model_turn_cold(struct model *model, unsigned target);

/** The target crashes and starts again, cold, after 500 ms. */
void model_crash(struct model *model, unsigned target);

/** Whether new connections to the target fail. */
void model_set_failing(struct model *model, unsigned target, bool failing);

void model_set_zone_out(struct model *model, unsigned zone, bool out);

/** Starts a graceful shutdown of the instance. */
void model_leave(struct model *model, unsigned target);

/** Whether the shutdown is complete. */
bool model_has_left(const struct model *model, unsigned target);

/** Pauses the instance until model_thaw(); its shards get new owners. */
void model_freeze(struct model *model, unsigned target);
void model_thaw(struct model *model, unsigned target);

/** Moves an instance's shards to another, with their duplicate tables. */
void model_move(struct model *model, unsigned from, unsigned to);

/** rate: requests per second of all callers. */
void model_set_rate(struct model *model, double rate);

enum model_call_kind {
    MODEL_READ,
    MODEL_ORDER,
    MODEL_CRASHING_READ, /**< crashes each target that runs it */
    MODEL_CRASHING_ORDER,
};

/** Sends a caller's request; it is resent on failure, up to resends times. */
void model_send(struct model *model, unsigned entry, enum model_call_kind kind,
                unsigned resends);

/**
 * Runs some seconds with random load, lost and cut answers, and the above
 * faults and actions at random times.
 *
 * @return false if an invariant or a count was violated; problem says which.
 */
bool model_random_run(uint64_t seed, char *problem, size_t problem_size);

/* Results. */

void model_reset_counts(struct model *model);
const struct model_counts *model_get_counts(const struct model *model);
struct model_ledger model_get_ledger(const struct model *model);

/** Latency quantile of requests answered since the reset, resends included. */
int64_t model_latency_quantile_us(struct model *model, double quantile);

/** Requests that a target runs now, and its gate's current limit. */
unsigned model_running(const struct model *model, unsigned target);
unsigned model_limit(const struct model *model, unsigned target);

/** Executions started by the target over the whole run. */
uint64_t model_executions(const struct model *model, unsigned target);

#endif
