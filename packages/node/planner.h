/**
 * @file
 * Decides for one service which target owns which keys. The working instance
 * that started first assigns keys without an owner and rebalances the load; it
 * and those that started next take over keys of lost instances. If two act at
 * the same time, the store accepts only one of their changes.
 */
#ifndef CHESTNUTGAP_NODE_PLANNER_H
#define CHESTNUTGAP_NODE_PLANNER_H

#include <stdbool.h>
#include <stdint.h>

struct node;
struct planner;

/** Aborts if out of memory. */
struct planner *planner_create(struct node *node);
void planner_destroy(struct planner *planner);

/** Another instance asks for a promise not to take over its keys; its lease
 * has that version.
 * @return false if a takeover may be in progress, or if the lease is from
 * before the store returned from a copy */
bool planner_promise(struct planner *planner, const char *instance,
                     uint64_t lease_version);

/** The store has returned from a copy: leases are watched anew. */
void planner_store_restored(struct planner *planner);

/** The map, an instance, a zone or the configuration has changed. */
void planner_changed(struct planner *planner);

#endif
