/**
 * @file
 * Runs the daemon on a platform: connects the node to the platform's
 * adapter, and handles signals and changes of the settings file.
 */
#ifndef CHESTNUTGAP_DAEMON_PLATFORMDAEMON_H
#define CHESTNUTGAP_DAEMON_PLATFORMDAEMON_H

#include "base/error.h"
#include "node/nodesettings.h"

/** Runs until a graceful stop has finished. False with err set on failure. */
bool platformdaemon_run(const char *settings_file,
                        const struct nodesettings *settings,
                        struct error *err);

#endif
