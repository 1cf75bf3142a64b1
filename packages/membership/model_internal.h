/**
 * @file
 * Parts of the model: nodes (model.c), messages and the store (modelnet.c),
 * faults (modelfault.c). Node 0 is the holder, the others are guardians.
 */
#ifndef CHESTNUTGAP_MEMBERSHIP_MODEL_INTERNAL_H
#define CHESTNUTGAP_MEMBERSHIP_MODEL_INTERNAL_H

#include <sys/queue.h>

#include "base/random.h"
#include "base/runtime.h"
#include "membership/fence.h"
#include "membership/guardian.h"
#include "membership/lease.h"
#include "membership/model.h"

#define MODEL_NODES 7
#define MODEL_HOLDER 0
#define MODEL_OWNER_LEASE 0 /* owner of store operations of the lease */

enum model_kind {
    MODEL_TICK,
    MODEL_RENEW,
    MODEL_RENEWED,
    MODEL_CERTIFY,
    MODEL_CERTIFIED,
    MODEL_GUARDIAN_GONE,
    MODEL_PROBE,
    MODEL_REFUSED,
    MODEL_STORE_WRITE,
    MODEL_STORE_WRITTEN,
    MODEL_STORE_READ,
    MODEL_STORE_ROW,
    MODEL_FAULT,
    MODEL_RESTART,
};

/** A scheduled event at a node or at the store. */
struct model_event {
    LIST_ENTRY(model_event) link;
    struct timer timer;
    struct model *model;
    enum model_kind kind;
    enum store_outcome outcome;
    int from;
    int to;              /* the node that handles it */
    uint64_t generation; /* of the node, for replies; 0 for any */
    uint64_t owner;      /* of a store operation or certificate */
    uint64_t txn_id;
    uint64_t incarnation; /* of a probed holder */
    int64_t sent_us;      /* on the sender's clock */
    struct lease_renew_args renew;
    struct lease_renew_result renewed;
    struct lease_certify_args certify;
    struct lease_certify_result certified;
    struct member row;
};

LIST_HEAD(model_event_list, model_event);

struct model_node {
    bool alive;
    bool host_down;      /* refuses no connection either */
    uint64_t generation; /* of the process */
    uint64_t incarnation;
    int64_t paused_until_us;
    double rate; /* of its clock */
    int64_t offset_us;
    struct timer tick;
    struct guardian *guardian;
    struct fence *fence;
    uint64_t fence_serial;
    int64_t last_probe_us;
    int64_t fence_after_us;
    uint64_t seen_version; /* of the holder's row */
    int64_t seen_us;
};

/** Current faults, each with its end. */
struct model_faults {
    int64_t cut_until_us[MODEL_NODES][MODEL_NODES];
    int64_t loss_until_us;
    unsigned loss_percent;
    int64_t slow_until_us;
    int64_t store_down_until_us;
    int64_t store_lossy_until_us;
    int64_t store_late_until_us;
};

struct model {
    struct model_config config;
    struct model_result result;
    struct runtime *runtime;
    struct random_state random;
    struct model_event_list events;
    struct model_node nodes[MODEL_NODES];
    struct model_faults faults;
    struct lease *lease; /* NULL while the holder's process is gone */
    bool held;           /* at the latest check */
    unsigned certify_after_percent;
    uint64_t next_serial;
    uint64_t commits;  /* the store's commit sequence number */
    struct member row; /* the holder's row in the store */
    uint64_t row_txn;
};

static inline int64_t
model_now_us(const struct model *model)
{
    return runtime_now_us(model->runtime);
}

/* model.c */
int64_t model_local_us(const struct model *model, int node);
void model_tick_node(struct model *model, int number);

/** Records whether the holder holds its lease, and a violation if it must
 * not. */
void model_check(struct model *model);
void model_start_holder(struct model *model);
void model_stop_holder(struct model *model);
void model_start_guardian(struct model *model, int number);
void model_start_fence(struct model *model, int number);
void model_stop_guardian(struct model *model, int number);

/* modelnet.c */

/** Sends a message, which arrives after a delay. @return NULL if it is
 * lost. */
struct model_event *model_send(struct model *model, enum model_kind kind,
                               int from, int to);

/** Schedules an event at a node. */
struct model_event *model_schedule_event(struct model *model,
                                         enum model_kind kind, int to,
                                         int64_t delay_us);
void model_write(struct model *model, int from, uint64_t owner,
                 const struct member *row, uint64_t txn_id);
void model_read(struct model *model, int from, uint64_t owner);
void model_drop_events(struct model *model);

/* modelfault.c */
void model_start_fault(struct model *model);
void model_end_faults(struct model *model);

#endif
