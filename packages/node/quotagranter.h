/**
 * @file
 * This instance as a granter of quotas: serves calls for tokens of the
 * workspaces whose granter's key its target owns.
 */
#ifndef CHESTNUTGAP_NODE_QUOTAGRANTER_H
#define CHESTNUTGAP_NODE_QUOTAGRANTER_H

#include "protocol/generated/quota.h"

struct instancetable_instance;
struct node;
struct quotagranter;

/** Who grants the tokens of a workspace. */
enum quotagranter_place {
    QUOTAGRANTER_HERE,
    QUOTAGRANTER_REMOTE,
    QUOTAGRANTER_UNKNOWN, /**< the key has no owner, or none is known */
};

/** Aborts if out of memory. */
struct quotagranter *quotagranter_create(struct node *node);
void quotagranter_destroy(struct quotagranter *granter);

/** Finds a granter by its number; instance is set unless it is unknown or each
 * instance grants for itself, as it does without a keyed service. */
enum quotagranter_place
quotagranter_find(const struct node *node, const char *workspace,
                  unsigned number,
                  const struct instancetable_instance **instance);

/** Takes tokens here. */
struct quota_reply quotagranter_take(struct quotagranter *granter,
                                     const char *workspace, unsigned number,
                                     unsigned wanted);

#endif
