#include "fleet/declared.h"

#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/hash.h"
#include "base/memory.h"

#define INDEX_SIZE_MIN 16 /* buckets; always a power of two */
#define NO_ROUTE SIZE_MAX

struct declared {
    uint64_t version;
    struct declared_service *services;
    size_t service_count;
    struct declared_route *routes;
    size_t route_count;
    size_t *index; /* by host and prefix, open addressing */
    size_t index_size;
    size_t prefix_max; /* bytes of the longest prefix */
    bool requires_workspace;
    struct workspacetable *workspaces;
};

struct declared *
declared_create(uint64_t version)
{
    struct declared *declared = memory_calloc(1, sizeof(*declared));
    declared->version = version;
    declared->workspaces = workspacetable_create();
    return declared;
}

void
declared_destroy(struct declared *declared)
{
    if (declared == NULL) {
        return;
    }
    for (size_t i = 0; i < declared->route_count; i++) {
        free(declared->routes[i].host);
        free(declared->routes[i].prefix);
    }
    workspacetable_destroy(declared->workspaces);
    free(declared->routes);
    free(declared->services);
    free(declared->index);
    free(declared);
}

uint64_t
declared_version(const struct declared *declared)
{
    return declared->version;
}

struct declared_service *
declared_add_service(struct declared *declared, const char *name)
{
    declared->services =
        memory_reallocarray(declared->services, declared->service_count + 1,
                            sizeof(*declared->services));
    struct declared_service *service =
        &declared->services[declared->service_count++];
    *service = (struct declared_service){.connections = 1};
    snprintf(service->name, sizeof(service->name), "%s", name);
    return service;
}

struct declared_route *
declared_add_route(struct declared *declared, const char *host,
                   const char *prefix)
{
    declared->routes =
        memory_reallocarray(declared->routes, declared->route_count + 1,
                            sizeof(*declared->routes));
    struct declared_route *route = &declared->routes[declared->route_count++];
    *route = (struct declared_route){
        .host = memory_strdup(host),
        .prefix = memory_strdup(prefix),
        .attempts = 1,
    };
    return route;
}

void
declared_require_workspace(struct declared *declared)
{
    declared->requires_workspace = true;
}

struct declared_workspace *
declared_add_workspace(struct declared *declared, const char *name)
{
    return workspacetable_add(declared->workspaces, name);
}

void
declared_add_key(struct declared *declared, const char *key)
{
    workspacetable_add_key(declared->workspaces, key);
}

/** Case-insensitive hash of a host name. */
static uint64_t
hash_host(const char *host, size_t size)
{
    char lower[DECLARED_NAME_MAX + 1];
    const size_t used = size < sizeof(lower) ? size : sizeof(lower);
    for (size_t i = 0; i < used; i++) {
        lower[i] = (char)tolower((unsigned char)host[i]);
    }
    return hash_bytes(lower, used, 0);
}

/** Bucket of a route in the index, or the first free one. */
static size_t
find_bucket(const struct declared *declared, const char *host,
            size_t host_size, const char *path, size_t prefix_size)
{
    const uint64_t seed = hash_host(host, host_size);
    size_t bucket =
        hash_bytes(path, prefix_size, seed) & (declared->index_size - 1);
    while (declared->index[bucket] != NO_ROUTE) {
        const struct declared_route *route =
            &declared->routes[declared->index[bucket]];
        if (strlen(route->host) == host_size &&
            strlen(route->prefix) == prefix_size &&
            strncasecmp(route->host, host, host_size) == 0 &&
            memcmp(route->prefix, path, prefix_size) == 0) {
            break;
        }
        bucket = (bucket + 1) & (declared->index_size - 1);
    }
    return bucket;
}

bool
declared_build_index(struct declared *declared, struct error *err)
{
    declared->index_size = INDEX_SIZE_MIN;
    while (declared->index_size < declared->route_count * 2) {
        declared->index_size *= 2;
    }
    declared->index =
        memory_calloc(declared->index_size, sizeof(*declared->index));
    for (size_t i = 0; i < declared->index_size; i++) {
        declared->index[i] = NO_ROUTE;
    }
    for (size_t i = 0; i < declared->route_count; i++) {
        const struct declared_route *route = &declared->routes[i];
        const size_t size = strlen(route->prefix);
        const size_t bucket = find_bucket(
            declared, route->host, strlen(route->host), route->prefix, size);
        if (declared->index[bucket] != NO_ROUTE) {
            return error_set(err, ERROR_FIELD_DUPLICATE, "%s%s", route->host,
                             route->prefix);
        }
        declared->index[bucket] = i;
        if (size > declared->prefix_max) {
            declared->prefix_max = size;
        }
    }
    return workspacetable_build_index(declared->workspaces, err);
}

const struct declared_route *
declared_find_route(const struct declared *declared, const char *host,
                    const char *path)
{
    const size_t host_size = strcspn(host, ":");
    size_t size = strnlen(path, declared->prefix_max);
    for (; size > 0; size--) {
        if (path[size - 1] != '/') {
            continue;
        }
        const size_t bucket =
            find_bucket(declared, host, host_size, path, size);
        if (declared->index[bucket] != NO_ROUTE) {
            return &declared->routes[declared->index[bucket]];
        }
    }
    return NULL;
}

size_t
declared_route_count(const struct declared *declared)
{
    return declared->route_count;
}

size_t
declared_service_count(const struct declared *declared)
{
    return declared->service_count;
}

const struct declared_service *
declared_service_at(const struct declared *declared, size_t index)
{
    return &declared->services[index];
}

const struct declared_service *
declared_find_service(const struct declared *declared, const char *name)
{
    for (size_t i = 0; i < declared->service_count; i++) {
        if (strcmp(declared->services[i].name, name) == 0) {
            return &declared->services[i];
        }
    }
    return NULL;
}

const struct declared_service *
declared_pick_service(const struct declared *declared,
                      const struct declared_route *route, unsigned draw)
{
    size_t i = 0;
    while (i + 1 < route->share_count && draw >= route->shares[i].weight) {
        draw -= route->shares[i].weight;
        i++;
    }
    return &declared->services[route->shares[i].service];
}

bool
declared_requires_workspace(const struct declared *declared)
{
    return declared->requires_workspace;
}

size_t
declared_workspace_count(const struct declared *declared)
{
    return workspacetable_count(declared->workspaces);
}

const struct declared_workspace *
declared_workspace_at(const struct declared *declared, size_t index)
{
    return workspacetable_at(declared->workspaces, index);
}

const struct declared_workspace *
declared_workspace_by_key(const struct declared *declared, const char *key)
{
    return workspacetable_by_key(declared->workspaces, key);
}

const struct declared_workspace *
declared_find_workspace(const struct declared *declared, const char *name)
{
    return workspacetable_by_name(declared->workspaces, name);
}
