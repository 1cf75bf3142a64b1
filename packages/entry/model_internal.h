/**
 * @file
 * Shared by the files of the model.
 */
#ifndef CHESTNUTGAP_ENTRY_MODEL_INTERNAL_H
#define CHESTNUTGAP_ENTRY_MODEL_INTERNAL_H

#include "base/random.h"
#include "base/timeunits.h"
#include "entry/choice.h"
#include "entry/hedge.h"
#include "entry/model.h"
#include "entry/request.h"
#include "entry/retry.h"
#include "gate/gate.h"

#define MODEL_START_US (1000 * US_PER_MS)
#define MODEL_WALL_START_MS INT64_C(1800000000000) /* wall clock at time 0 */
#define MODEL_SHARDS 64
#define MODEL_NO_ATTEMPT UINT64_MAX
#define MODEL_ID_SIZE 32
#define MODEL_GOSSIP_DELAY_US (300 * US_PER_MS)    /* to all members */
#define MODEL_CRASH_PUSH_DELAY_US (30 * US_PER_MS) /* for crash reports */

typedef void (*model_event_cb)(struct model *model, void *ctx, uint64_t arg);

/** A caller's request with its resends. */
struct model_call {
    char id[MODEL_ID_SIZE]; /* empty for reads */
    uint64_t number;
    enum model_call_kind kind;
    unsigned entry;
    unsigned resends_left;
    int64_t started_us;
    uint32_t executions;
    enum forward_outcome outcome;
    bool ended;
};

/** One send of a call, at its entry. */
struct model_arrival {
    struct model_call *call;
    struct request *request;
    unsigned entry;
    uint64_t number;
    uint64_t attempts[REQUEST_ATTEMPTS_MAX];
    uint16_t timer; /* only the latest timer event counts */
};

/** An attempt at a gate and its target. */
struct model_attempt {
    struct gate_request gate_request; /* first: see attempt_of() */
    uint64_t number;
    uint64_t arrival; /* its number */
    uint32_t entry_attempt;
    struct model_call *call;
    unsigned entry;
    unsigned target;
    bool at_target; /* running or queued */
    bool running;
    bool connection_lost; /* a frozen gate cannot reply */
    bool direct;          /* not through the gate */
    uint64_t parent;      /* delegating attempt, or MODEL_NO_ATTEMPT */
    struct choice_attempt delegated;
    enum gate_result result;
    struct model_attempt *next; /* in the target's queue */
};

struct model_target {
    double slow_factor;
    bool up;
    bool failing;
    uint64_t incarnation;
    int64_t cold_since_us;       /* -1: warm */
    int64_t overloaded_since_us; /* -1: not overloaded */
    unsigned running;
    unsigned queued;
    struct model_attempt *queue_head;
    struct model_attempt *queue_tail;
    uint64_t executions;
};

/** An instance: entry, gate and target. */
struct model_instance {
    unsigned number;
    char name[16];
    unsigned zone;
    bool frozen;
    bool leaving;
    bool moving; /* its shards are being handed over */
    unsigned moving_to;
    struct model *model;
    struct model_target target;
    struct admission *admission;
    struct dedup *dedup;
    struct suspects *suspects;
    struct gate *gate;
    struct choice *choice;
    struct retry retry;
    struct hedge hedge;
    struct request_env env;
    unsigned outstanding[MODEL_TARGETS_MAX]; /* for direct policies */
    unsigned next_target;
};

struct model_event {
    int64_t due_us;
    uint64_t sequence;
    model_event_cb callback;
    void *ctx;
    uint64_t arg;
};

struct model {
    struct model_config config;
    struct random_state random;
    int64_t now_us;
    struct model_event *heap; /* binary heap; index 0 is unused */
    size_t heap_count;
    size_t heap_capacity;
    uint64_t next_event;
    struct model_instance instances[MODEL_TARGETS_MAX];
    bool zone_out[MODEL_ZONES_MAX];
    int64_t zone_out_since_us[MODEL_ZONES_MAX];
    unsigned owners[MODEL_SHARDS];
    uint64_t epochs[MODEL_SHARDS];
    double rate;
    bool stopped;
    struct model_call **calls;
    size_t call_count;
    size_t call_capacity;
    struct model_arrival **arrivals;
    size_t arrival_count;
    size_t arrival_capacity;
    struct model_attempt **attempts;
    size_t attempt_count;
    size_t attempt_capacity;
    size_t open_calls; /* have not ended */
    struct model_counts counts;
    int64_t *latencies;
    size_t latency_count;
    size_t latency_capacity;
    model_trace_cb trace;
    void *trace_ctx;
};

/** Grows an array, if needed, to hold one more element. */
void *model_reserve(void *array, size_t count, size_t *capacity, size_t size);

void model_schedule(struct model *model, int64_t delay_us,
                    model_event_cb callback, void *ctx, uint64_t arg);

/** Runs the next event, if it is due by until_us. */
bool model_run_next(struct model *model, int64_t until_us);

void model_trace(struct model *model, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/** One-way network delay between two instances. */
int64_t model_delay_us(struct model *model, unsigned from, unsigned to);

/** Exchanges suspects between all members. */
void model_push_suspects(struct model *model, void *ctx, uint64_t arg);

struct dedup_time model_dedup_time(const struct model *model);

/* modeltarget.c */
void model_target_init(struct model *model, unsigned number);
unsigned model_target_capacity(const struct model *model, unsigned number);
/** Starts or queues the attempt. False if the target sheds it. */
bool model_target_accept(struct model *model, struct model_attempt *attempt);
void model_target_stop(struct model *model, struct model_attempt *attempt);

/* modelgate.c */
void model_gate_init(struct model *model, unsigned number);
void model_gate_destroy(struct model_instance *instance);
struct model_attempt *model_attempt_create(struct model *model,
                                           struct model_call *call,
                                           unsigned entry, unsigned target);
struct model_attempt *model_attempt_find(struct model *model, uint64_t number);
void model_attempt_free(struct model *model, struct model_attempt *attempt);
void model_gate_arrive(struct model *model, void *ctx, uint64_t number);
void model_gate_cancel(struct model *model, void *ctx, uint64_t number);
void model_gate_ended(struct model *model, struct model_attempt *attempt,
                      enum gate_result result);
/** Frees the memory held by an event that will not run. */
void model_free_event(const struct model_event *event);
uint32_t model_shard_of(const struct model_call *call);

/* modelentry.c */
void model_entry_init(struct model *model, unsigned number);
void model_entry_destroy(struct model_instance *instance);
void model_entry_next_arrival(struct model *model, void *ctx, uint64_t arg);
void model_entry_replied(struct model *model, uint64_t arrival,
                         uint32_t entry_attempt,
                         const struct request_reply *reply,
                         uint64_t answered_call);
void model_entry_reply_lost(struct model *model, uint64_t arrival,
                            uint32_t entry_attempt);
void model_direct_ended(struct model *model, struct model_attempt *attempt,
                        enum gate_result result);
void model_send_call(struct model *model, struct model_call *call);
struct model_call *model_call_create(struct model *model, unsigned entry,
                                     enum model_call_kind kind,
                                     unsigned resends);

#endif
