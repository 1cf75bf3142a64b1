/**
 * @file
 * Numbers the owners of shards, so that an entry of the shard map needs two
 * bytes for its owner, and counts the shards of each.
 */
#ifndef CHESTNUTGAP_PLACEMENT_OWNERTABLE_H
#define CHESTNUTGAP_PLACEMENT_OWNERTABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define OWNERTABLE_MAX 65535 /* number 0 means no owner */

struct ownertable;

/** NULL if out of memory. */
struct ownertable *ownertable_create(void);
void ownertable_destroy(struct ownertable *table);

/** Adds a shard to an owner. @return the owner's number, 0 for "". */
uint16_t ownertable_acquire(struct ownertable *table, const char *name);

/** Removes a shard from an owner. A number without shards is reused. */
void ownertable_release(struct ownertable *table, uint16_t number);

/** Name of the owner with a number, "" for 0. */
const char *ownertable_name(const struct ownertable *table, uint16_t number);

/** Number of shards of an owner. */
uint32_t ownertable_shard_count(const struct ownertable *table,
                                const char *name);

size_t ownertable_memory(const struct ownertable *table);

#endif
