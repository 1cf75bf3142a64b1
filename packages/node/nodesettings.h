/**
 * @file
 * Settings of a daemon that runs on a platform: addresses, time limits, the
 * retry budget, logging, memory and file descriptors.
 */
#ifndef CHESTNUTGAP_NODE_NODESETTINGS_H
#define CHESTNUTGAP_NODE_NODESETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "base/address.h"
#include "base/document.h"
#include "base/log.h"
#include "fleet/keymap.h"

struct nodesettings {
    char instance[KEYMAP_NAME_MAX + 1];
    char zone[KEYMAP_NAME_MAX + 1];
    char service[KEYMAP_NAME_MAX + 1]; /**< of the own target */
    struct address callers;            /**< where callers connect */
    struct address announcements;      /**< where the target announces */
    struct address readiness;
    struct address metrics;
    struct address rpc;    /**< for other instances */
    struct address target; /**< where the target listens */
    struct address store;
    int64_t drain_us;    /**< from an acknowledged leave to the last new
                              request */
    int64_t evacuate_us; /**< from taking a zone out to the last new request */
    int64_t grace_us;    /**< longest time from SIGTERM to the exit */
    int64_t heartbeat_us; /**< between a target's announcements */
    int64_t hold_max_us;  /**< longest grant */
    double retry_share;   /**< of requests that may be retried */
    double retry_reserve; /**< further retries, over all instances */
    int64_t retry_window_us;
    int64_t revoke_us; /**< longest use of a revoked API key; 0: no bound */
    bool bootstrap;    /**< all instances start for the first time: the store
                          holds nothing that any of them has written */
    enum log_level log_level;
    unsigned log_lines_per_s; /**< warnings and errors: as many again */
    unsigned log_sample; /**< one in this many requests is logged in full */
    unsigned memory_mb;  /**< of the process, in MiB; 0: no limit */
    unsigned max_fds;    /**< file descriptors of the process; 0: no limit */
};

/** Reads and checks a document. False with at least one problem listed. */
bool nodesettings_parse(const json_t *document, struct nodesettings *settings,
                        struct document_problems *problems);

/** True if the document holds these settings, not those of settings.h. */
bool nodesettings_match(const json_t *document);

#endif
