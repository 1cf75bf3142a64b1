/**
 * @file
 * Connects gossip with the daemon's tasks: member rows, pages of the shard
 * map, the configuration in force and suspects go out, and what other
 * members spread is taken over.
 */
#ifndef CHESTNUTGAP_DAEMON_SPREADWIRE_H
#define CHESTNUTGAP_DAEMON_SPREADWIRE_H

#include <stdint.h>

#include "membership/member.h"

struct daemon;

/** Starts spreading. Aborts when memory is short. */
void spreadwire_create(struct daemon *daemon);

/** Stops; call it before the node is destroyed. */
void spreadwire_destroy(struct daemon *daemon);

/** A member's row became known. */
void spreadwire_put_member(struct daemon *daemon, const struct member *row);

/** A page was committed by this instance. */
void spreadwire_put_page(struct daemon *daemon, const char *row,
                         uint64_t version, const char *text);

/** The configuration in force has changed. */
void spreadwire_put_config(struct daemon *daemon);

/** Spreads suspects that this instance learnt of. */
void spreadwire_put_suspects(struct daemon *daemon);

#endif
