/**
 * @file
 * Configuration declared by operators: services, routes, limits and
 * workspaces, replaced as a whole, with the lookup of a request's route and
 * of the workspace of its API key.
 */
#ifndef CHESTNUTGAP_FLEET_DECLARED_H
#define CHESTNUTGAP_FLEET_DECLARED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"
#include "fleet/workspacetable.h"

#define DECLARED_NAME_MAX 127    /* bytes of a service's or workspace's name */
#define DECLARED_SHARES_MAX 8    /* services of one route */
#define DECLARED_KEY_COUNT 65536 /* keys of a keyed service */

struct declared_service {
    char name[DECLARED_NAME_MAX + 1];
    char health_path[DECLARED_NAME_MAX + 1];
    unsigned connections;       /**< maximum to one target */
    int64_t cold_start_us;      /**< duration after the start of a target */
    double cold_requests_per_s; /**< capacity while cold */
    bool keyed; /**< requests have a key; each key has one owner */
};

/** Share of a route's requests for one service. */
struct declared_share {
    size_t service; /**< index of the service */
    unsigned weight;
};

struct declared_route {
    char *host;
    char *prefix;         /**< begins and ends with a slash */
    bool idempotent;      /**< requests may run more than once */
    bool is_public;       /**< requests need no API key */
    int64_t timeout_us;   /**< longest wait of a caller */
    int64_t objective_us; /**< latency objective */
    unsigned priority;    /**< 0 is the most urgent */
    unsigned attempts;    /**< maximum per request */
    struct declared_share shares[DECLARED_SHARES_MAX];
    size_t share_count;
    unsigned weight_sum;
};

/** One version of the declared configuration. */
struct declared;

/** Creates an empty configuration. Aborts if out of memory. */
struct declared *declared_create(uint64_t version);
void declared_destroy(struct declared *declared);

uint64_t declared_version(const struct declared *declared);

/** Adds a service and returns it to be filled in. The pointer is valid until
 * the next one is added. */
struct declared_service *declared_add_service(struct declared *declared,
                                              const char *name);

/** Adds a route and returns it to be filled in. The pointer is valid until the
 * next one is added. */
struct declared_route *declared_add_route(struct declared *declared,
                                          const char *host,
                                          const char *prefix);

/** Declares that requests need the API key of a workspace, also if none is
 * added. */
void declared_require_workspace(struct declared *declared);

/** Adds a workspace and returns it to be filled in. The pointer is valid until
 * the next one is added. */
struct declared_workspace *declared_add_workspace(struct declared *declared,
                                                  const char *name);

/** Adds an API key to the workspace that was added last. */
void declared_add_key(struct declared *declared, const char *key);

/** Builds the indexes of routes and workspaces; call it once, after all
 * additions. Fails with ERROR_FIELD_DUPLICATE if two routes of a host have the
 * same prefix, or two workspaces the same name or key. */
bool declared_build_index(struct declared *declared, struct error *err);

/** The host's route with the longest matching prefix, or NULL. A port in the
 * host is ignored. */
const struct declared_route *
declared_find_route(const struct declared *declared, const char *host,
                    const char *path);

size_t declared_route_count(const struct declared *declared);
size_t declared_service_count(const struct declared *declared);
const struct declared_service *
declared_service_at(const struct declared *declared, size_t index);

/** NULL if there is no such service. */
const struct declared_service *
declared_find_service(const struct declared *declared, const char *name);

/** The service for a request; draw is uniform in [0, weight_sum). */
const struct declared_service *
declared_pick_service(const struct declared *declared,
                      const struct declared_route *route, unsigned draw);

/** True if requests need the API key of a workspace, but for public routes. */
bool declared_requires_workspace(const struct declared *declared);

size_t declared_workspace_count(const struct declared *declared);
const struct declared_workspace *
declared_workspace_at(const struct declared *declared, size_t index);

/** NULL if no workspace has the key. The pointer is valid as long as the
 * configuration. */
const struct declared_workspace *
declared_workspace_by_key(const struct declared *declared, const char *key);

/** NULL if there is no such workspace. */
const struct declared_workspace *
declared_find_workspace(const struct declared *declared, const char *name);

#endif
