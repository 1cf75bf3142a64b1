/**
 * @file
 * Workspaces of one version of the configuration, found by API key or name in
 * constant time: tens of thousands of them, with several keys each.
 */
#ifndef CHESTNUTGAP_FLEET_WORKSPACETABLE_H
#define CHESTNUTGAP_FLEET_WORKSPACETABLE_H

#include <stdbool.h>
#include <stddef.h>

#include "base/error.h"

struct declared_workspace {
    char *name;
    bool has_priority;
    unsigned priority; /**< replaces the route's if has_priority */
    double rate_per_s; /**< quota of requests per second; 0: none */
    double burst;      /**< requests beyond it at once */
};

struct workspacetable;

/** Aborts if out of memory. */
struct workspacetable *workspacetable_create(void);
void workspacetable_destroy(struct workspacetable *table);

/** Adds a workspace and returns it to be filled in. The pointer is valid until
 * the next one is added. */
struct declared_workspace *workspacetable_add(struct workspacetable *table,
                                              const char *name);

/** Adds a key to the workspace that was added last. */
void workspacetable_add_key(struct workspacetable *table, const char *key);

/** Builds the indexes; call it once, after all additions. Fails with
 * ERROR_FIELD_DUPLICATE if two workspaces have the same name or key. */
bool workspacetable_build_index(struct workspacetable *table,
                                struct error *err);

size_t workspacetable_count(const struct workspacetable *table);

const struct declared_workspace *
workspacetable_at(const struct workspacetable *table, size_t index);

/** NULL if no workspace has the key. The time doesn't depend on how much of a
 * key was guessed. */
const struct declared_workspace *
workspacetable_by_key(const struct workspacetable *table, const char *key);

/** NULL if there is none of that name. */
const struct declared_workspace *
workspacetable_by_name(const struct workspacetable *table, const char *name);

#endif
