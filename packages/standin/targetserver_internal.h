/**
 * @file
 * What the stand-in target's modules share: execution of requests
 * (targetserver.c) and orders, faults and reports (targetcontrol.c).
 */
#ifndef CHESTNUTGAP_STANDIN_TARGETSERVER_INTERNAL_H
#define CHESTNUTGAP_STANDIN_TARGETSERVER_INTERNAL_H

#include <sys/queue.h>

#include <jansson.h>

#include "base/random.h"
#include "base/runtime.h"
#include "http/httpserver.h"
#include "standin/targetgrants.h"
#include "standin/targetledger.h"
#include "standin/targetserver.h"

/** Faults that are on. */
struct target_faults {
    int64_t latency_us;     /**< -1: as configured */
    double straggle_factor; /**< of the latency */
    double shed_percent;    /**< shed, truly not run */
    double cut_percent;     /**< run, and the answer is cut */
    double error_percent;   /**< run, and answered with 500 */
};

/** What happened so far. */
struct target_stats {
    unsigned peak_in_flight;
    unsigned peak_cold;
    int64_t cold_overloads; /**< times that it fell over while cold */
    int64_t shed;
    int64_t refused_grants;
    int64_t refused_deadline;
    int64_t refused_draining;
    int64_t cancelled;
    int64_t cut;
};

TAILQ_HEAD(execution_queue, execution);

struct target_server {
    struct runtime *runtime;
    struct target_server_config config;
    struct http_server *http;
    struct target_ledger *ledger;
    struct target_grants *grants;
    struct random_state random;
    struct target_faults faults;
    struct target_stats stats;
    struct execution_queue running;
    struct execution_queue queued;
    unsigned running_count;
    unsigned queued_count;
    int64_t cold_until_us;
    int64_t failing_until_us; /* answers 500 until then */
    bool draining;
    json_t *orders; /* orders run per path: the service's state */
};

/** Handles a path of the adapter or of tests; false if it is none. */
bool target_control_handle(struct target_server *server,
                           struct http_request *request);

/** Ends the execution with this request id, if it has not started. */
bool target_server_cancel(struct target_server *server,
                          const char *request_id);

#endif
