/**
 * @file
 * Settings of one daemon, read from a JSON file at startup: its identity and
 * addresses, the store's address, logging and limits. System-wide
 * configuration is declared state (state/state.h).
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

#define SETTINGS_NAME_MAX 63        /* bytes */
#define SETTINGS_MODULE_NAME_MAX 23 /* bytes */
#define SETTINGS_LOG_MODULES_MAX 32 /* modules with their own level */

/** Addresses to listen on and for others to connect to. */
struct settings_endpoint {
    struct address listen;    /**< port 0: any free port */
    struct address advertise; /**< port 0: the bound port */
};

struct settings_log_module {
    char module[SETTINGS_MODULE_NAME_MAX + 1];
    enum log_level level;
};

/** Settings, with defaults for omitted fields. */
struct settings {
    char instance[SETTINGS_NAME_MAX + 1];
    char zone[SETTINGS_NAME_MAX + 1];
    char region[SETTINGS_NAME_MAX + 1];
    struct settings_endpoint http; /**< for callers and operators */
    struct settings_endpoint rpc;  /**< for other instances, TCP and UDP */
    struct address announce;       /**< the target announces itself here */
    struct address store;
    int64_t store_timeout_us;   /**< of a call to the store */
    unsigned store_connections; /**< maximum parallel calls to the store */
    enum log_level log_level;
    struct settings_log_module log_modules[SETTINGS_LOG_MODULES_MAX];
    size_t log_module_count;
    unsigned memory_mb;      /**< for bodies and tables */
    size_t body_max_bytes;   /**< of a request or answer */
    unsigned requests_max;   /**< maximum concurrent requests of callers */
    int64_t config_poll_us;  /**< interval of reading the revision */
    int64_t members_poll_us; /**< same, for changed members and shards */
    int64_t target_poll_us;  /**< interval of reading an idle target's load */
    int64_t drain_max_us;    /**< maximum time of a graceful shutdown */
    bool has_static_target;  /**< it can't announce itself */
    char target_service[SETTINGS_NAME_MAX + 1];
    struct address target_address;
};

/**
 * Parses and validates a whole document.
 *
 * @return false, with at least one problem listed, if it is invalid
 */
bool settings_parse(const json_t *document, struct settings *settings,
                    struct document_problems *problems);

/** Like settings_parse(), for a file. */
bool settings_load(const char *path, struct settings *settings,
                   struct document_problems *problems);

/** Sets the log's levels and instance. */
void settings_apply_log(const struct settings *settings);

#endif
