#include "state/statejson.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "base/timeunits.h"

static json_t *
milliseconds(int64_t time_us)
{
    return json_integer(time_us / US_PER_MS);
}

static json_t *
key_to_json(const struct state_service *service)
{
    switch (service->key_source) {
    case STATE_KEY_HEADER:
        return json_pack("{s:s, s:s}", "source", "header", "name",
                         service->key_name);
    case STATE_KEY_QUERY:
        return json_pack("{s:s, s:s}", "source", "query", "name",
                         service->key_name);
    case STATE_KEY_PATH:
        return json_pack("{s:s, s:i}", "source", "path", "segment",
                         (int)service->key_segment);
    case STATE_KEY_NONE:
        break;
    }
    return json_pack("{s:s}", "source", "none");
}

static json_t *
methods_to_json(const struct state_service *service)
{
    json_t *methods = json_array();
    for (size_t i = 0; i < service->idempotent_method_count; i++) {
        json_array_append_new(methods,
                              json_string(service->idempotent_methods[i]));
    }
    return methods;
}

static json_t *
service_to_json(const struct state_service *service)
{
    return json_pack(
        "{s:s, s:s, s:o, s:i, s:o, s:o, s:o, s:i, s:i, s:i, s:o, s:b, s:b, "
        "s:o, s:b, s:b}",
        "name", service->name, "path_prefix", service->path_prefix, "key",
        key_to_json(service), "shards", (int)service->shards,
        "idempotent_methods", methods_to_json(service), "deadline_ms",
        milliseconds(service->deadline_us), "deadline_max_ms",
        milliseconds(service->deadline_max_us), "slots", (int)service->slots,
        "connections", (int)service->connections, "cold_limit",
        (int)service->cold_limit, "cold_start_ms",
        milliseconds(service->cold_start_us), "targets_check_grants",
        service->targets_check_grants, "durable_at_most_once",
        service->durable_at_most_once, "id_retention_ms",
        milliseconds(service->id_retention_us), "require_id",
        service->require_id, "hedge", service->hedge);
}

static json_t *
limits_to_json(const struct state_limits *limits)
{
    return json_pack("{s:i, s:i, s:i, s:o, s:o}", "retry_percent",
                     (int)limits->retry_percent, "hedge_percent",
                     (int)limits->hedge_percent, "moves_per_second",
                     (int)limits->moves_per_second, "lease_ms",
                     milliseconds(limits->lease_us), "store_renewal_max_ms",
                     milliseconds(limits->store_renewal_max_us));
}

json_t *
state_to_json(const struct state *state)
{
    json_t *zones = json_array();
    for (size_t i = 0; i < state->zone_count; i++) {
        const struct state_zone *zone = &state->zones[i];
        json_array_append_new(
            zones, json_pack("{s:s, s:s, s:b}", "name", zone->name, "region",
                             zone->region, "out", zone->out));
    }
    json_t *services = json_array();
    for (size_t i = 0; i < state->service_count; i++) {
        json_array_append_new(services, service_to_json(&state->services[i]));
    }
    json_t *lost = json_array();
    for (size_t i = 0; i < state->lost_instance_count; i++) {
        json_array_append_new(lost, json_string(state->lost_instances[i]));
    }
    return json_pack("{s:o, s:o, s:o, s:o}", "zones", zones, "services",
                     services, "lost_instances", lost, "limits",
                     limits_to_json(&state->limits));
}

uint64_t
state_digest(const json_t *document)
{
    char *text = json_dumps(document, JSON_COMPACT | JSON_SORT_KEYS);
    if (text == NULL) {
        abort();
    }
    const uint64_t digest = hash_bytes(text, strlen(text), 0);
    free(text);
    return digest;
}

void
state_digest_format(uint64_t digest, char text[STATE_DIGEST_SIZE])
{
    snprintf(text, STATE_DIGEST_SIZE, "%016" PRIx64, digest);
}
