/**
 * @file
 * Connects gossip with the daemon's tasks: spreads member rows, pages of the
 * shard map, the configuration in force and suspects, and applies those
 * received from other members.
 */
#ifndef CHESTNUTGAP_DAEMON_SPREADWIRE_H
#define CHESTNUTGAP_DAEMON_SPREADWIRE_H

#include <stdint.h>

#include "membership/member.h"

struct daemon;

/** Starts gossip. Aborts if out of memory. */
void spreadwire_create(struct daemon *daemon);

/** Stops gossip. Call before the RPC node is destroyed. */
void spreadwire_destroy(struct daemon *daemon);

/** Spreads a member row; adds or removes the member as a gossip peer. */
void spreadwire_put_member(struct daemon *daemon, const struct member *row);

/** Spreads a page of the shard map that this instance committed. */
void spreadwire_put_page(struct daemon *daemon, const char *row,
                         uint64_t version, const char *text);

/** Spreads the configuration in force. Call when it has changed. */
void spreadwire_put_config(struct daemon *daemon);

/** Spreads the newest suspects known to this instance. */
void spreadwire_put_suspects(struct daemon *daemon);

#endif
