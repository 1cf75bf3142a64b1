/**
 * @file
 * TCP options that detect a lost peer early.
 */
#ifndef CHESTNUTGAP_BASE_KEEPALIVE_H
#define CHESTNUTGAP_BASE_KEEPALIVE_H

/** When a connection is considered lost. */
struct keepalive {
    unsigned user_timeout_ms; /**< for sent data to be acknowledged */
    int probe_interval_s;     /**< idle time before, and between, probes */
    int probes;               /**< unanswered probes before it is lost */
};

/** Sets the options and TCP_NODELAY. Errors are ignored: they only delay the
 * detection of a lost peer. */
void keepalive_set(int fd, const struct keepalive *keepalive);

#endif
