/**
 * @file
 * What operators declare: services, routes and limits, as one version that
 * is swapped in whole, with the look-up of a request's route.
 */
#ifndef CHESTNUTGAP_FLEET_DECLARED_H
#define CHESTNUTGAP_FLEET_DECLARED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"

#define DECLARED_NAME_MAX 127 /* bytes of a service's name */
#define DECLARED_SHARES_MAX 8 /* services that one route is divided among */
#define DECLARED_KEY_COUNT                                                    \
    65536 /* keys of a service that is divided by key                         \
           */

struct declared_service {
    char name[DECLARED_NAME_MAX + 1];
    char health_path[DECLARED_NAME_MAX + 1];
    unsigned connections;  /**< most connections to one target */
    int64_t cold_start_us; /**< how long a target is cold after its start */
    double
        cold_requests_per_s; /**< requests a second that it bears while cold */
    bool keyed;              /**< divided by key; a key has one owner */
};

/** Part of a route's requests that goes to a service. */
struct declared_share {
    size_t service; /**< index of the service */
    unsigned weight;
};

struct declared_route {
    char *host;
    char *prefix;         /**< begins and ends with a slash */
    bool idempotent;      /**< may run more than once */
    int64_t timeout_us;   /**< longest time that a caller is kept waiting */
    int64_t objective_us; /**< an answer within it counts in full */
    unsigned priority;    /**< 0 is the most urgent */
    unsigned attempts;    /**< most targets that one request is sent to */
    struct declared_share shares[DECLARED_SHARES_MAX];
    size_t share_count;
    unsigned weight_sum;
};

/** One version of the declared configuration. */
struct declared;

/** An empty configuration. Aborts when memory is short. */
struct declared *declared_create(uint64_t version);
void declared_destroy(struct declared *declared);

uint64_t declared_version(const struct declared *declared);

/** Adds a service and returns it to be filled in. Its address changes with
 * the next addition. */
struct declared_service *declared_add_service(struct declared *declared,
                                              const char *name);

/** Adds a route and returns it to be filled in. Its address changes with the
 * next addition. */
struct declared_route *declared_add_route(struct declared *declared,
                                          const char *host,
                                          const char *prefix);

/** Builds the index. Fails with ERROR_FIELD_DUPLICATE if two routes of a
 * host have the same prefix. Call it once, after all additions. */
bool declared_build_index(struct declared *declared, struct error *err);

/** The route of the host with the longest prefix that begins the path, or
 * NULL. A port in the host is ignored. */
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

/** The service that a request goes to; draw is uniform in [0, weight_sum). */
const struct declared_service *
declared_pick_service(const struct declared *declared,
                      const struct declared_route *route, unsigned draw);

#endif
