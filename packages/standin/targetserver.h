/**
 * @file
 * A stand-in target: serves a key-value service over HTTP with a number of
 * slots, a cold start, grant checks and faults injected by tests
 * (docs/TARGETS.md, "The stand-in").
 */
#ifndef CHESTNUTGAP_STANDIN_TARGETSERVER_H
#define CHESTNUTGAP_STANDIN_TARGETSERVER_H

#include <stdbool.h>
#include <stdint.h>

#include "base/address.h"
#include "base/error.h"

struct counter_registry;
struct runtime;
struct target_server;

/** Settings of a stand-in target; the strings must outlive the server. */
struct target_server_config {
    struct address listen;
    const char *service;
    const char *incarnation;
    const char *ledger_file; /**< NULL for none */
    unsigned slots;          /**< concurrent requests; as many may queue */
    unsigned cold_limit;     /**< requests in flight it sustains while cold */
    int64_t cold_start_us;   /**< length of the cold start */
    int64_t latency_us;      /**< processing time of a request in a slot */
    bool check_grants;
    uint64_t seed;
};

struct target_server *
target_server_create(struct runtime *runtime,
                     const struct target_server_config *config,
                     struct counter_registry *counters, struct error *err);
void target_server_destroy(struct target_server *server);

const struct address *
target_server_address(const struct target_server *server);

bool target_server_is_cold(const struct target_server *server);
bool target_server_is_draining(const struct target_server *server);

/** Requests in slots and queued. */
unsigned target_server_in_flight(const struct target_server *server);

/** Refuses new requests from now on. */
void target_server_drain(struct target_server *server);

/** Stops accepting; done is called when the last answer has been sent. */
void target_server_stop(struct target_server *server, void (*done)(void *ctx),
                        void *ctx);

#endif
