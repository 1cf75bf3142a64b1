/**
 * @file
 * Ownership of shards by rendezvous hashing over the active members of a
 * service, as this member sees them.
 */
#ifndef CHESTNUTGAP_DAEMON_OWNERSHIP_H
#define CHESTNUTGAP_DAEMON_OWNERSHIP_H

#include <stdint.h>

#include "membership/directory.h"

struct ownership;

/** Aborts when memory is short. */
struct ownership *ownership_create(const struct directory *directory);
void ownership_destroy(struct ownership *ownership);

/** The owner's name, or NULL if the service has no active member. */
const char *ownership_find(struct ownership *ownership, const char *service,
                           uint32_t shard, uint64_t *epoch);

#endif
