/**
 * @file
 * Histograms and gauges of the node, and their text for metrics collectors.
 */
#ifndef CHESTNUTGAP_NODE_NODEMETRICS_H
#define CHESTNUTGAP_NODE_NODEMETRICS_H

#include <stddef.h>
#include <stdint.h>

struct node;
struct nodemetrics;

/** Durations that are measured. */
enum nodemetrics_stage {
    NODEMETRICS_ANSWERED, /**< from a request to the target's answer */
    NODEMETRICS_NOT_RUN,  /**< from a request to its refusal */
    NODEMETRICS_UNKNOWN,  /**< from a request to the loss of its answer */
    NODEMETRICS_QUEUE,    /**< at the gate, before the target */
    NODEMETRICS_TARGET,   /**< at the target */
    NODEMETRICS_RELAY,    /**< from the ingress to the gate and back */
    NODEMETRICS_STAGE_COUNT,
};

/** Aborts if out of memory. */
struct nodemetrics *nodemetrics_create(struct node *node);
void nodemetrics_destroy(struct nodemetrics *metrics);

void nodemetrics_record(struct nodemetrics *metrics,
                        enum nodemetrics_stage stage, int64_t duration_us);

/** All metrics as text; free() it. NULL if out of memory. */
char *nodemetrics_print(struct nodemetrics *metrics, size_t *size);

#endif
