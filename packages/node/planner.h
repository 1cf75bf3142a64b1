/**
 * @file
 * Decides for one service which target owns which keys: one instance of the
 * service at a time, the first by name that works, gives away keys without
 * an owner, takes those of instances that are gone, and levels the load.
 * Two that act at once do no harm: the store takes one change only.
 */
#ifndef CHESTNUTGAP_NODE_PLANNER_H
#define CHESTNUTGAP_NODE_PLANNER_H

#include <stdbool.h>

struct node;
struct planner;

/** Aborts when memory is short. */
struct planner *planner_create(struct node *node);
void planner_destroy(struct planner *planner);

/** Another instance asks that its keys are not taken for a while. */
bool planner_promise(struct planner *planner, const char *instance);

/** The map, an instance, a zone or the configuration has changed. */
void planner_changed(struct planner *planner);

#endif
