/**
 * @file
 * Creates the tasks of a daemon, connects them and shuts them down.
 */
#ifndef CHESTNUTGAP_DAEMON_DAEMON_H
#define CHESTNUTGAP_DAEMON_DAEMON_H

#include "base/error.h"
#include "settings/settings.h"

struct daemon;

/** Opens the sockets and starts joining. NULL with err set on failure. */
struct daemon *daemon_create(const struct settings *settings,
                             struct error *err);
void daemon_destroy(struct daemon *daemon);

/** Runs until the daemon has shut down. */
void daemon_run(struct daemon *daemon);

/**
 * Starts a graceful shutdown: refuses new callers, moves shards to other
 * instances, finishes running requests, and writes the member row as left.
 * Takes at most the settings' drain_max_us.
 */
void daemon_shut_down(struct daemon *daemon);

/** Writes the bound addresses to a file as JSON, for ports that the system
 * chose. */
bool daemon_write_addresses(const struct daemon *daemon, const char *file,
                            struct error *err);

#endif
