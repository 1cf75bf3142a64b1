/**
 * @file
 * Declarations shared by the files of the gate.
 */
#ifndef CHESTNUTGAP_GATE_GATE_INTERNAL_H
#define CHESTNUTGAP_GATE_GATE_INTERNAL_H

#include "gate/gate.h"

struct gate {
    struct admission *admission;
    struct dedup *dedup;
    struct executions *executions;
    struct suspects *suspects;
    struct gate_ops ops;
    void *ctx;
    struct crash_detector crash;
    uint64_t crash_id;
    int64_t now_us; /* of the last event, for callbacks without a time */
};

/** Answers the entry unless that was done. */
void gate_answer(struct gate *gate, struct gate_request *request,
                 const struct gate_answer *answer);

/** Returns the request, which has ended, to the user. */
void gate_done(struct gate *gate, struct gate_request *request);

/** Ends a request that was shed by the target or of which no byte was sent. */
void gate_refuse(struct gate *gate, struct gate_request *request,
                 enum forward_reason reason, uint32_t retry_after_ms);

/** Like gate_refuse(), but delegates the request if possible. */
void gate_refuse_or_delegate(struct gate *gate, struct gate_request *request,
                             enum forward_reason reason,
                             uint32_t retry_after_ms);

/** Ends a request that may have run. */
void gate_end_unknown(struct gate *gate, struct gate_request *request,
                      enum forward_reason reason);

#endif
