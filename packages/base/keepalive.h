/**
 * @file
 * Options of a TCP connection that show soon when its peer is gone.
 */
#ifndef CHESTNUTGAP_BASE_KEEPALIVE_H
#define CHESTNUTGAP_BASE_KEEPALIVE_H

/** When a connection counts as cut. */
struct keepalive {
    unsigned user_timeout_ms; /**< data without acknowledgement */
    int probe_interval_s; /**< without data before a probe, and between probes
                           */
    int probes;           /**< without an answer */
};

/** Sets the options, and that small writes leave at once. Failures change
 * nothing but how soon a loss is seen, and are not reported. */
void keepalive_set(int fd, const struct keepalive *keepalive);

#endif
