/**
 * @file
 * Settings of one daemon, read from a JSON file when it starts: who it is,
 * its addresses, the store's address, logging and limits. What the whole
 * system does is declared elsewhere (state/state.h).
 */
#ifndef CHESTNUTGAP_SETTINGS_SETTINGS_H
#define CHESTNUTGAP_SETTINGS_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#include "base/address.h"
#include "base/document.h"
#include "base/log.h"

#define SETTINGS_NAME_MAX 63        /* bytes in a name */
#define SETTINGS_MODULE_NAME_MAX 23 /* bytes in the name of a module */
#define SETTINGS_LOG_MODULES_MAX 32 /* modules with a level of their own */

/** An address to listen on and the one that others connect to. */
struct settings_endpoint {
    struct address listen;    /**< port 0: any free port */
    struct address advertise; /**< port 0: the port that was bound */
};

/** Level of one module's log lines. */
struct settings_log_module {
    char module[SETTINGS_MODULE_NAME_MAX + 1];
    enum log_level level;
};

/** The settings, with defaults filled in. */
struct settings {
    char instance[SETTINGS_NAME_MAX + 1];
    char zone[SETTINGS_NAME_MAX + 1];
    char region[SETTINGS_NAME_MAX + 1];
    struct settings_endpoint http; /**< for callers and operators */
    struct settings_endpoint rpc;  /**< for other instances, TCP and UDP */
    struct address announce;       /**< where the target announces itself */
    struct address store;
    int64_t store_timeout_us;   /**< longest wait for the store's answer */
    unsigned store_connections; /**< calls to the store in parallel */
    enum log_level log_level;
    struct settings_log_module log_modules[SETTINGS_LOG_MODULES_MAX];
    size_t log_module_count;
    unsigned memory_mb;      /**< memory for bodies and tables */
    size_t body_max_bytes;   /**< largest body of a request or answer */
    unsigned requests_max;   /**< callers' requests held at once */
    int64_t config_poll_us;  /**< reads of the revision in the store */
    int64_t members_poll_us; /**< reads of changed members and shards */
    int64_t target_poll_us;  /**< reads of the target's load when idle */
    int64_t drain_max_us;    /**< longest graceful shutdown */
    bool has_static_target;  /**< the target cannot announce itself */
    char target_service[SETTINGS_NAME_MAX + 1];
    struct address target_address;
};

/**
 * Reads and checks a whole document.
 *
 * @return false with at least one problem listed if anything is wrong.
 */
bool settings_parse(const json_t *document, struct settings *settings,
                    struct document_problems *problems);

/** Reads a file, like settings_parse(). */
bool settings_load(const char *name, struct settings *settings,
                   struct document_problems *problems);

/** Sets the logger's levels and instance. */
void settings_apply_log(const struct settings *settings);

#endif
