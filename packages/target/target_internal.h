/**
 * @file
 * Internals shared by the target adapter: announcements (target.c),
 * requests (targetcall.c) and orders (targetorder.c).
 */
#ifndef CHESTNUTGAP_TARGET_TARGET_INTERNAL_H
#define CHESTNUTGAP_TARGET_TARGET_INTERNAL_H

#include <sys/queue.h>

#include "base/counter.h"
#include "base/runtime.h"
#include "http/httpclient.h"
#include "target/target.h"

#define TARGET_ORDER_TIMEOUT_US (1 * US_PER_SECOND)

/* clang-format off */
#define TARGET_COUNTERS(X)                                                    \
    X(announcements, "announcements accepted")                                \
    X(announcements_refused, "invalid announcements")                         \
    X(restarts, "announcements of another incarnation")                       \
    X(lost, "times that the target's process ended")                          \
    X(withdrawals, "times that the target asked to leave")                    \
    X(requests, "requests forwarded")                                         \
    X(answered, "requests answered whole")                                    \
    X(not_run, "requests proved not to have run")                             \
    X(unknown, "requests that may have run, without an answer")               \
    X(shed, "requests that the target shed")                                  \
    X(cancels, "cancellations sent to the target")                            \
    X(orders_failed, "orders about grants, drain or probes that failed")
/* clang-format on */

struct target_counters {
#define TARGET_COUNTER_FIELD(field, help) struct counter *field;
    TARGET_COUNTERS(TARGET_COUNTER_FIELD)
#undef TARGET_COUNTER_FIELD
};

TAILQ_HEAD(target_call_list, target_call);
TAILQ_HEAD(target_order_list, target_order);

struct target {
    struct runtime *runtime;
    struct target_config config;
    struct counter_registry *registry;
    struct http_server *server; /* for announcements */
    bool present;
    struct announcement announcement;
    struct http_client *requests; /* NULL without a target */
    struct http_client *orders;   /* same as requests if only one connection
                                     is allowed */
    struct target_call_list calls;
    size_t call_count;
    struct target_order_list order_list;
    size_t order_count;
    bool probing; /* a probe after a disconnect is running */
    struct target_counters counters;
};

/** Fails all calls and orders and reports TARGET_LOST. */
void target_lost(struct target *target);

/** Probes after a disconnect whether the process has ended. */
void target_probe_after_disconnect(struct target *target);

/* targetcall.c */

/** Ends a call with its callback: not run if not sent, otherwise unknown. */
void target_call_fail(struct target_call *call);

/** Ends a call without a callback. */
void target_call_discard(struct target_call *call);

/* targetorder.c */

/** Ends an order as failed, with its callback. */
void target_order_fail(struct target_order *order);

/** Ends an order without a callback. */
void target_order_discard(struct target_order *order);

/** Orders the target to cancel a request. */
void target_send_cancel(struct target *target, const char *request_id);

#endif
