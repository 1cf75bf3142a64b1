/**
 * @file
 * Names of owners with small numbers, so that an entry of the shard map
 * needs two bytes for its owner. Counts the shards of each.
 */
#ifndef CHESTNUTGAP_PLACEMENT_OWNERTABLE_H
#define CHESTNUTGAP_PLACEMENT_OWNERTABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define OWNERTABLE_MAX 65535 /* owners at one time; number 0 is nobody */

struct ownertable;

/** NULL when memory is short. */
struct ownertable *ownertable_create(void);
void ownertable_destroy(struct ownertable *table);

/** Counts one more shard of the owner. @return its number, 0 for "". */
uint16_t ownertable_acquire(struct ownertable *table, const char *name);

/** Counts one shard fewer; a number without shards is used again. */
void ownertable_release(struct ownertable *table, uint16_t number);

/** Name of a number, "" for 0. */
const char *ownertable_name(const struct ownertable *table, uint16_t number);

/** Shards held by the owner. */
uint32_t ownertable_shard_count(const struct ownertable *table,
                                const char *name);

size_t ownertable_memory(const struct ownertable *table);

#endif
