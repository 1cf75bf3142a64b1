#include "state/state.h"

#include <stdlib.h>
#include <string.h>

void
state_destroy(struct state *state)
{
    if (state == NULL) {
        return;
    }
    free(state->zones);
    free(state->services);
    free(state->lost_instances);
    free(state);
}

const struct state_zone *
state_find_zone(const struct state *state, const char *name)
{
    for (size_t i = 0; i < state->zone_count; i++) {
        if (strcmp(state->zones[i].name, name) == 0) {
            return &state->zones[i];
        }
    }
    return NULL;
}

const struct state_service *
state_find_service(const struct state *state, const char *name)
{
    for (size_t i = 0; i < state->service_count; i++) {
        if (strcmp(state->services[i].name, name) == 0) {
            return &state->services[i];
        }
    }
    return NULL;
}

/** The prefix must end at a segment boundary of the path. */
static bool
prefix_matches(const char *prefix, const char *path)
{
    const size_t length = strlen(prefix);
    if (strncmp(prefix, path, length) != 0) {
        return false;
    }
    const char next = path[length];
    return next == '\0' || next == '/' || next == '?' ||
           prefix[length - 1] == '/';
}

const struct state_service *
state_service_for_path(const struct state *state, const char *path)
{
    const struct state_service *longest = NULL;
    for (size_t i = 0; i < state->service_count; i++) {
        const struct state_service *service = &state->services[i];
        if (prefix_matches(service->path_prefix, path) &&
            (longest == NULL ||
             strlen(service->path_prefix) > strlen(longest->path_prefix))) {
            longest = service;
        }
    }
    return longest;
}

bool
state_is_declared_lost(const struct state *state, const char *instance)
{
    for (size_t i = 0; i < state->lost_instance_count; i++) {
        if (strcmp(state->lost_instances[i], instance) == 0) {
            return true;
        }
    }
    return false;
}

bool
state_is_idempotent(const struct state_service *service, const char *method)
{
    for (size_t i = 0; i < service->idempotent_method_count; i++) {
        if (strcmp(service->idempotent_methods[i], method) == 0) {
            return true;
        }
    }
    return false;
}
