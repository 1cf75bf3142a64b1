#include <stdlib.h>
#include <string.h>

#include "base/memory.h"
#include "base/timeunits.h"
#include "state/state.h"

#define ZONES_MAX 256
#define SERVICES_MAX 256
#define LOST_INSTANCES_MAX 8192
#define SLOTS_MAX 100000
#define KEY_SEGMENT_MAX 32
#define DEADLINE_MAX_MS INT64_C(600000)        /* 10 minutes */
#define COLD_START_MAX_MS INT64_C(3600000)     /* 1 hour */
#define ID_RETENTION_MAX_MS INT64_C(604800000) /* 7 days */
#define LEASE_MIN_MS INT64_C(100)
#define LEASE_MAX_MS INT64_C(30000)
#define STORE_RENEWAL_MIN_MS INT64_C(60000)    /* 1 minute */
#define STORE_RENEWAL_MAX_MS INT64_C(86400000) /* 1 day */
#define MOVES_PER_SECOND_MAX 10000
#define PERCENT_MAX 100

#define DEFAULT_REGION "default"
#define DEFAULT_SHARDS 256
#define DEFAULT_DEADLINE_MS 2000
#define DEFAULT_DEADLINE_MAX_MS 30000
#define DEFAULT_COLD_START_MS 30000
#define DEFAULT_ID_RETENTION_MS 600000
#define DEFAULT_RETRY_PERCENT 10
#define DEFAULT_HEDGE_PERCENT 5
#define DEFAULT_MOVES_PER_SECOND 16
#define DEFAULT_LEASE_MS 750
#define DEFAULT_STORE_RENEWAL_MAX_MS                                          \
    14400000 /* 4 h: survives store outages of up to 2 h */

static const char *const default_methods[] = {"GET", "HEAD", "OPTIONS"};

static const char *const key_sources[] = {
    [STATE_KEY_NONE] = "none",
    [STATE_KEY_HEADER] = "header",
    [STATE_KEY_QUERY] = "query",
    [STATE_KEY_PATH] = "path",
};

static void
range_problem(struct document_object *object, const char *field,
              const char *expected)
{
    document_add_problem(object->problems, ERROR_FIELD_RANGE,
                         "%s/%s (expected %s)", object->path, field, expected);
}

static void
duplicate_problem(struct document_object *object, const char *field)
{
    document_add_problem(object->problems, ERROR_FIELD_DUPLICATE, "%s/%s",
                         object->path, field);
}

static void
parse_zone(struct state *state, struct state_zone *zone, const json_t *json,
           size_t index, struct document_problems *problems)
{
    struct document_object object;
    snprintf(zone->region, sizeof(zone->region), "%s", DEFAULT_REGION);
    if (!document_begin(&object, json, problems, "/zones/%zu", index)) {
        return;
    }
    if (document_name(&object, "name", DOCUMENT_REQUIRED, zone->name,
                      sizeof(zone->name)) &&
        state_find_zone(state, zone->name) != NULL) {
        duplicate_problem(&object, "name");
    }
    document_name(&object, "region", DOCUMENT_OPTIONAL, zone->region,
                  sizeof(zone->region));
    document_bool(&object, "out", DOCUMENT_OPTIONAL, &zone->out);
    document_end(&object);
}

static void
parse_zones(struct state *state, struct document_object *root)
{
    const json_t *array =
        document_array(root, "zones", DOCUMENT_REQUIRED, ZONES_MAX);
    if (array == NULL) {
        return;
    }
    const size_t count = json_array_size(array);
    if (count == 0) {
        range_problem(root, "zones", "at least one");
        return;
    }
    state->zones = memory_calloc(count, sizeof(state->zones[0]));
    for (size_t i = 0; i < count; i++) {
        parse_zone(state, &state->zones[i], json_array_get(array, i), i,
                   root->problems);
        state->zone_count++;
    }
}

static void
parse_key(struct state_service *service, struct document_object *parent)
{
    struct document_object object;
    const json_t *json = document_field(parent, "key", DOCUMENT_OPTIONAL);
    if (json == NULL || !document_begin(&object, json, parent->problems,
                                        "%s/key", parent->path)) {
        return;
    }
    const int source =
        document_choice(&object, "source", DOCUMENT_REQUIRED, key_sources,
                        sizeof(key_sources) / sizeof(key_sources[0]));
    if (source >= 0) {
        service->key_source = (enum state_key_source)source;
    }
    if (source == STATE_KEY_HEADER || source == STATE_KEY_QUERY) {
        document_name(&object, "name", DOCUMENT_REQUIRED, service->key_name,
                      sizeof(service->key_name));
    }
    if (source == STATE_KEY_PATH) {
        document_unsigned(&object, "segment", DOCUMENT_REQUIRED, 0,
                          KEY_SEGMENT_MAX, &service->key_segment);
    }
    document_end(&object);
}

static unsigned
count_segments(const char *path)
{
    unsigned count = 0;
    for (const char *p = path; *p != '\0'; p++) {
        if (*p == '/' && p[1] != '/' && p[1] != '\0') {
            count++;
        }
    }
    return count;
}

/** Rejects a key within path_prefix, where it is the same in all requests. */
static void
check_key_segment(const struct state_service *service,
                  struct document_object *object)
{
    const unsigned first = count_segments(service->path_prefix);
    if (service->key_source == STATE_KEY_PATH &&
        service->key_segment < first) {
        document_add_problem(object->problems, ERROR_FIELD_RANGE,
                             "%s/key/segment (expected at least %u, after "
                             "path_prefix)",
                             object->path, first);
    }
}

static bool
method_valid(const char *method)
{
    const size_t length = strlen(method);
    return length > 0 && length <= STATE_METHOD_MAX &&
           strspn(method, "ABCDEFGHIJKLMNOPQRSTUVWXYZ-") == length;
}

static void
add_method(struct state_service *service, const char *method)
{
    snprintf(service->idempotent_methods[service->idempotent_method_count++],
             sizeof(service->idempotent_methods[0]), "%s", method);
}

static void
parse_methods(struct state_service *service, struct document_object *parent)
{
    const json_t *array = document_array(parent, "idempotent_methods",
                                         DOCUMENT_OPTIONAL, STATE_METHODS_MAX);
    if (array == NULL) {
        for (size_t i = 0;
             i < sizeof(default_methods) / sizeof(default_methods[0]); i++) {
            add_method(service, default_methods[i]);
        }
        return;
    }
    for (size_t i = 0; i < json_array_size(array); i++) {
        const char *method = json_string_value(json_array_get(array, i));
        if (method == NULL || !method_valid(method)) {
            document_add_problem(
                parent->problems, ERROR_FIELD_RANGE,
                "%s/idempotent_methods/%zu (expected a method "
                "in upper case)",
                parent->path, i);
            continue;
        }
        if (state_is_idempotent(service, method)) {
            document_add_problem(parent->problems, ERROR_FIELD_DUPLICATE,
                                 "%s/idempotent_methods/%zu", parent->path, i);
            continue;
        }
        add_method(service, method);
    }
}

static bool
is_power_of_two(unsigned number)
{
    return number != 0 && (number & (number - 1)) == 0;
}

static void
check_path_prefix(const struct state *state,
                  const struct state_service *service,
                  struct document_object *object)
{
    if (service->path_prefix[0] != '/' ||
        strpbrk(service->path_prefix, "?# ") != NULL) {
        range_problem(object, "path_prefix",
                      "a path that starts with '/', without query");
    }
    for (size_t i = 0; i < state->service_count; i++) {
        if (strcmp(state->services[i].path_prefix, service->path_prefix) ==
            0) {
            duplicate_problem(object, "path_prefix");
        }
    }
}

static void
parse_names(const struct state *state, struct state_service *service,
            struct document_object *object)
{
    if (document_name(object, "name", DOCUMENT_REQUIRED, service->name,
                      sizeof(service->name)) &&
        state_find_service(state, service->name) != NULL) {
        duplicate_problem(object, "name");
    }
    if (document_string(object, "path_prefix", DOCUMENT_REQUIRED,
                        service->path_prefix, sizeof(service->path_prefix))) {
        check_path_prefix(state, service, object);
    }
}

static void
parse_capacity(struct state_service *service, struct document_object *object)
{
    const size_t before = object->problems->count;
    service->shards = DEFAULT_SHARDS;
    service->cold_limit = 1;
    service->cold_start_us = DEFAULT_COLD_START_MS * US_PER_MS;
    if (document_unsigned(object, "shards", DOCUMENT_OPTIONAL, 1,
                          STATE_SHARDS_MAX, &service->shards) &&
        !is_power_of_two(service->shards)) {
        range_problem(object, "shards", "a power of two");
    }
    document_unsigned(object, "slots", DOCUMENT_REQUIRED, 1, SLOTS_MAX,
                      &service->slots);
    document_unsigned(object, "connections", DOCUMENT_REQUIRED, 1, SLOTS_MAX,
                      &service->connections);
    document_unsigned(object, "cold_limit", DOCUMENT_OPTIONAL, 1, SLOTS_MAX,
                      &service->cold_limit);
    document_milliseconds(object, "cold_start_ms", DOCUMENT_OPTIONAL, 0,
                          COLD_START_MAX_MS, &service->cold_start_us);
    if (object->problems->count != before) {
        return;
    }
    if (service->slots > service->connections) {
        range_problem(object, "slots", "at most connections");
    }
    if (service->cold_limit > service->slots) {
        range_problem(object, "cold_limit", "at most slots");
    }
}

static void
parse_deadlines(struct state_service *service, struct document_object *object)
{
    service->deadline_us = DEFAULT_DEADLINE_MS * US_PER_MS;
    service->deadline_max_us = DEFAULT_DEADLINE_MAX_MS * US_PER_MS;
    document_milliseconds(object, "deadline_ms", DOCUMENT_OPTIONAL, 1,
                          DEADLINE_MAX_MS, &service->deadline_us);
    document_milliseconds(object, "deadline_max_ms", DOCUMENT_OPTIONAL, 1,
                          DEADLINE_MAX_MS, &service->deadline_max_us);
    if (service->deadline_us > service->deadline_max_us) {
        range_problem(object, "deadline_ms", "at most deadline_max_ms");
    }
}

static void
parse_guarantees(struct state_service *service, struct document_object *object)
{
    service->id_retention_us = DEFAULT_ID_RETENTION_MS * US_PER_MS;
    service->hedge = true;
    parse_methods(service, object);
    document_bool(object, "targets_check_grants", DOCUMENT_REQUIRED,
                  &service->targets_check_grants);
    document_bool(object, "durable_at_most_once", DOCUMENT_OPTIONAL,
                  &service->durable_at_most_once);
    document_milliseconds(object, "id_retention_ms", DOCUMENT_OPTIONAL, 1000,
                          ID_RETENTION_MAX_MS, &service->id_retention_us);
    document_bool(object, "require_id", DOCUMENT_OPTIONAL,
                  &service->require_id);
    document_bool(object, "hedge", DOCUMENT_OPTIONAL, &service->hedge);
    if (service->id_retention_us < service->deadline_max_us) {
        range_problem(object, "id_retention_ms", "at least deadline_max_ms");
    }
}

static void
parse_service(const struct state *state, struct state_service *service,
              const json_t *json, size_t index,
              struct document_problems *problems)
{
    struct document_object object;
    if (!document_begin(&object, json, problems, "/services/%zu", index)) {
        return;
    }
    parse_names(state, service, &object);
    parse_key(service, &object);
    check_key_segment(service, &object);
    parse_capacity(service, &object);
    parse_deadlines(service, &object);
    parse_guarantees(service, &object);
    document_end(&object);
}

static void
parse_services(struct state *state, struct document_object *root)
{
    const json_t *array =
        document_array(root, "services", DOCUMENT_REQUIRED, SERVICES_MAX);
    if (array == NULL) {
        return;
    }
    const size_t count = json_array_size(array);
    state->services = memory_calloc(count + 1, sizeof(state->services[0]));
    for (size_t i = 0; i < count; i++) {
        parse_service(state, &state->services[i], json_array_get(array, i), i,
                      root->problems);
        state->service_count++;
    }
}

static void
parse_lost_instances(struct state *state, struct document_object *root)
{
    const json_t *array = document_array(
        root, "lost_instances", DOCUMENT_OPTIONAL, LOST_INSTANCES_MAX);
    const size_t count = json_array_size(array);
    state->lost_instances =
        memory_calloc(count + 1, sizeof(state->lost_instances[0]));
    for (size_t i = 0; i < count; i++) {
        const char *name = json_string_value(json_array_get(array, i));
        if (name == NULL || !document_name_valid(name, STATE_NAME_MAX + 1)) {
            document_add_problem(
                root->problems, ERROR_FIELD_RANGE,
                "/lost_instances/%zu (expected the name of an "
                "instance)",
                i);
            continue;
        }
        if (state_is_declared_lost(state, name)) {
            document_add_problem(root->problems, ERROR_FIELD_DUPLICATE,
                                 "/lost_instances/%zu", i);
            continue;
        }
        snprintf(state->lost_instances[state->lost_instance_count++],
                 sizeof(state->lost_instances[0]), "%s", name);
    }
}

static void
parse_limits(struct state_limits *limits, struct document_object *root)
{
    *limits = (struct state_limits){
        .retry_percent = DEFAULT_RETRY_PERCENT,
        .hedge_percent = DEFAULT_HEDGE_PERCENT,
        .moves_per_second = DEFAULT_MOVES_PER_SECOND,
        .lease_us = DEFAULT_LEASE_MS * US_PER_MS,
        .store_renewal_max_us = DEFAULT_STORE_RENEWAL_MAX_MS * US_PER_MS,
    };
    struct document_object object;
    const json_t *json = document_field(root, "limits", DOCUMENT_OPTIONAL);
    if (json == NULL ||
        !document_begin(&object, json, root->problems, "/limits")) {
        return;
    }
    document_unsigned(&object, "retry_percent", DOCUMENT_OPTIONAL, 0,
                      PERCENT_MAX, &limits->retry_percent);
    document_unsigned(&object, "hedge_percent", DOCUMENT_OPTIONAL, 0,
                      PERCENT_MAX, &limits->hedge_percent);
    document_unsigned(&object, "moves_per_second", DOCUMENT_OPTIONAL, 1,
                      MOVES_PER_SECOND_MAX, &limits->moves_per_second);
    document_milliseconds(&object, "lease_ms", DOCUMENT_OPTIONAL, LEASE_MIN_MS,
                          LEASE_MAX_MS, &limits->lease_us);
    document_milliseconds(&object, "store_renewal_max_ms", DOCUMENT_OPTIONAL,
                          STORE_RENEWAL_MIN_MS, STORE_RENEWAL_MAX_MS,
                          &limits->store_renewal_max_us);
    document_end(&object);
}

struct state *
state_parse(const json_t *document, struct document_problems *problems)
{
    struct document_object root;
    const size_t before = problems->count;
    if (!document_begin(&root, document, problems, "%s", "")) {
        return NULL;
    }
    struct state *state = calloc(1, sizeof(*state));
    if (state == NULL) {
        document_add_problem(problems, ERROR_NO_MEMORY, "/");
        return NULL;
    }
    parse_zones(state, &root);
    parse_services(state, &root);
    parse_lost_instances(state, &root);
    parse_limits(&state->limits, &root);
    document_end(&root);
    if (problems->count != before) {
        state_destroy(state);
        return NULL;
    }
    return state;
}
