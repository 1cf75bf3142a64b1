/**
 * @file
 * The desired state, declared by operators in one JSON document: services,
 * availability zones, lost instances and limits. Immutable after parsing.
 */
#ifndef CHESTNUTGAP_STATE_STATE_H
#define CHESTNUTGAP_STATE_STATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#include "base/document.h"

#define STATE_NAME_MAX 63       /* bytes, without the terminator */
#define STATE_METHOD_MAX 15     /* bytes, without the terminator */
#define STATE_METHODS_MAX 16    /* per service */
#define STATE_SHARDS_MAX 262144 /* per service */

enum state_key_source {
    STATE_KEY_NONE,   /**< any target may run the request */
    STATE_KEY_HEADER, /**< value of the header key_name */
    STATE_KEY_QUERY,  /**< value of the query parameter key_name */
    STATE_KEY_PATH,   /**< path segment number key_segment, from 0 */
};

struct state_zone {
    char name[STATE_NAME_MAX + 1];
    char region[STATE_NAME_MAX + 1];
    bool out; /**< taken out of service: gets no new work */
};

/** A service: its requests, and the capacity of its targets. */
struct state_service {
    char name[STATE_NAME_MAX + 1];
    char path_prefix[STATE_NAME_MAX + 1]; /**< of its requests */
    enum state_key_source key_source;
    char key_name[STATE_NAME_MAX + 1];
    unsigned key_segment;
    unsigned shards;
    char idempotent_methods[STATE_METHODS_MAX][STATE_METHOD_MAX + 1];
    size_t idempotent_method_count;
    int64_t deadline_us;     /**< default if the caller sets none */
    int64_t deadline_max_us; /**< longest duration of a request */
    unsigned slots;          /**< concurrent requests of a warm target */
    unsigned connections;    /**< most to one target */
    unsigned cold_limit;     /**< concurrent requests of a cold target */
    int64_t cold_start_us;   /**< expected duration */
    bool targets_check_grants;
    bool durable_at_most_once; /**< record request ids in the "runs" table */
    int64_t id_retention_us;   /**< answers of finished requests are kept */
    bool require_id; /**< refuse non-idempotent requests without id */
    bool hedge;      /**< may hedge idempotent requests */
};

/** Limits of the whole system. */
struct state_limits {
    unsigned retry_percent;       /**< of requests */
    unsigned hedge_percent;       /**< of requests */
    unsigned moves_per_second;    /**< shards, per instance */
    int64_t lease_us;             /**< duration of a lease */
    int64_t store_renewal_max_us; /**< longest time between writes of a row */
};

struct state {
    struct state_zone *zones;
    size_t zone_count;
    struct state_service *services;
    size_t service_count;
    char (*lost_instances)[STATE_NAME_MAX + 1]; /**< declared lost */
    size_t lost_instance_count;
    struct state_limits limits;
};

/**
 * Parses and validates a document.
 *
 * @return NULL with at least one problem listed if anything is wrong.
 */
struct state *state_parse(const json_t *document,
                          struct document_problems *problems);

void state_destroy(struct state *state);

/** NULL if there is none. */
const struct state_zone *state_find_zone(const struct state *state,
                                         const char *name);
const struct state_service *state_find_service(const struct state *state,
                                               const char *name);

/** The service with the longest matching path prefix, or NULL. */
const struct state_service *state_service_for_path(const struct state *state,
                                                   const char *path);

bool state_is_declared_lost(const struct state *state, const char *instance);

bool state_is_idempotent(const struct state_service *service,
                         const char *method);

#endif
