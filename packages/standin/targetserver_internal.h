/**
 * @file
 * Shared by the stand-in target's request execution (targetserver.c) and its
 * adapter and test endpoints (targetcontrol.c).
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

/** Active faults. */
struct target_faults {
    int64_t latency_us;     /**< -1: as configured */
    double straggle_factor; /**< multiplies the latency */
    double shed_percent;    /**< shed without being run */
    double cut_percent;     /**< run, then the answer is truncated */
    double error_percent;   /**< run, then answered with 500 */
};

/** Counts since the start. */
struct target_stats {
    unsigned peak_in_flight;
    unsigned cold_peak_in_flight;
    int64_t cold_overloads; /**< cold_limit was exceeded while cold */
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
    int64_t failing_until_us; /* answers 500 to service requests */
    bool draining;
    json_t *orders; /* number of orders run for each path */
};

/** Handles adapter and test endpoints; false if the path is neither. */
bool target_control_handle(struct target_server *server,
                           struct http_request *request);

/** Cancels a queued execution; false if none has this request id. */
bool target_server_cancel(struct target_server *server,
                          const char *request_id);

#endif
