/**
 * @file
 * Parts of the gate that its files share.
 */
#ifndef CHESTNUTGAP_GATE_GATE_INTERNAL_H
#define CHESTNUTGAP_GATE_GATE_INTERNAL_H

#include "gate/gate.h"

struct gate {
    struct admission *admission;
    struct dedup *dedup;
    struct runs *executions;
    struct suspects *suspects;
    struct gate_ops ops;
    void *ctx;
    struct crash_detector crash;
    uint64_t crash_id;
    int64_t now_us; /* of the latest event, for callbacks without a time */
};

/** Answers the entry, once. */
void gate_answer(struct gate *gate, struct gate_request *request,
                 const struct gate_answer *answer);

/** The request has ended; its owner frees it. */
void gate_done(struct gate *gate, struct gate_request *request);

/** Ends a request of which no byte was sent, or that the target shed. */
void gate_refuse(struct gate *gate, struct gate_request *request,
                 enum forward_reason reason, uint32_t retry_after_ms);

/** The same, unless another instance may run it. */
void gate_refuse_or_delegate(struct gate *gate, struct gate_request *request,
                             enum forward_reason reason,
                             uint32_t retry_after_ms);

/** Ends a request that may have run. */
void gate_end_unknown(struct gate *gate, struct gate_request *request,
                      enum forward_reason reason);

#endif
