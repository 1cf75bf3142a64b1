/**
 * @file
 * Options of a TCP connection that show soon when its peer is gone.
 */
#ifndef CHESTNUTGAP_BASE_LIVENESS_H
#define CHESTNUTGAP_BASE_LIVENESS_H

/** When a connection counts as cut. */
struct liveness {
    unsigned unacknowledged_ms; /**< data without acknowledgement */
    int silence_s; /**< without data before a probe, and between probes */
    int probes;    /**< without an answer */
};

/** Sets the options, and that small writes leave at once. Failures change
 * nothing but how soon a loss is seen, and are not reported. */
void liveness_set(int fd, const struct liveness *liveness);

#endif
