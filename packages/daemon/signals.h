/**
 * @file
 * Signal handling: SIGTERM and SIGINT start a graceful shutdown, a second
 * one exits at once. SIGPIPE is ignored.
 */
#ifndef CHESTNUTGAP_DAEMON_SIGNALS_H
#define CHESTNUTGAP_DAEMON_SIGNALS_H

#include "daemon/daemon.h"

struct signals;

/** NULL with err set on failure. */
struct signals *signals_create(struct daemon *daemon, struct error *err);
void signals_destroy(struct signals *signals);

#endif
