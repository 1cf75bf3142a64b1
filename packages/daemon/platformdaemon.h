/**
 * @file
 * The daemon on a platform: reads its settings, connects the node to the
 * adapter, and handles signals and changes of the settings file.
 */
#ifndef CHESTNUTGAP_DAEMON_PLATFORMDAEMON_H
#define CHESTNUTGAP_DAEMON_PLATFORMDAEMON_H

#include "base/error.h"
#include "node/nodesettings.h"

/** Runs until a graceful stop is over. False with err set on failure. */
bool platformdaemon_run(const char *settings_file,
                        const struct nodesettings *settings,
                        struct error *err);

#endif
