/**
 * @file
 * One daemon: builds its tasks, connects them, and shuts them down.
 */
#ifndef CHESTNUTGAP_DAEMON_DAEMON_H
#define CHESTNUTGAP_DAEMON_DAEMON_H

#include "base/error.h"
#include "settings/settings.h"

struct daemon;

/** Opens the sockets and starts to join. NULL with err set on failure. */
struct daemon *daemon_create(const struct settings *settings,
                             struct error *err);
void daemon_destroy(struct daemon *daemon);

/** Runs until the daemon has shut down. */
void daemon_run(struct daemon *daemon);

/**
 * Starts a graceful shutdown: new callers are refused, shards are moved to
 * others, what runs is finished, the members row says left. It takes at
 * most the settings' drain_max_us.
 */
void daemon_shut_down(struct daemon *daemon);

/** Writes the addresses in use as JSON to a file, for ports that were picked
 * by the system. */
bool daemon_write_addresses(const struct daemon *daemon, const char *file,
                            struct error *err);

#endif
