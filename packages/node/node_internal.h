/**
 * @file
 * Shared by the modules of the node: the node itself and its key maps, zones
 * and stop.
 */
#ifndef CHESTNUTGAP_NODE_NODE_INTERNAL_H
#define CHESTNUTGAP_NODE_NODE_INTERNAL_H

#include <sys/queue.h>

#include "base/counter.h"
#include "base/histogram.h"
#include "base/memorybudget.h"
#include "base/random.h"
#include "base/runtime.h"
#include "fleet/declared.h"
#include "fleet/freshness.h"
#include "fleet/instancetable.h"
#include "fleet/keyera.h"
#include "fleet/keymap.h"
#include "fleet/retrybudget.h"
#include "node/keymapwrite.h"
#include "node/node.h"
#include "node/rowwatch.h"
#include "node/zonetraffic.h"
#include "protocol/generated/relay.h"
#include "protocol/rpc.h"

#define NODE_TABLE "fleet"        /* rows of instances and of keys */
#define NODE_LEASE_TABLE "leases" /* rows of leases */
#define NODE_INSTANCE_KEY "instance/"
#define NODE_KEYS_KEY "keys/"
#define NODE_ERA_KEY "era/" /* the latest settled era of a service */

/* Part of the drain and evacuation times in which keyed requests still run, so
 * that their keys can be handed over. */
#define NODE_KEYED_SERVE_PERCENT 55

struct feedrelay;
struct ingress;
struct keyowner;
struct localgate;
struct localtarget;
struct nodemetrics;
struct ownrow;
struct planner;
struct quotagranter;
struct quotatask;
struct relayserve;
struct relaytask;
struct rowcommit;

struct node_keymap {
    LIST_ENTRY(node_keymap) link;
    struct keymap map;
    char service[DECLARED_NAME_MAX + 1];
};

LIST_HEAD(node_keymaps, node_keymap);

/** A zone that operators have taken out of service. */
struct node_zone {
    LIST_ENTRY(node_zone) link;
    char name[KEYMAP_NAME_MAX + 1];
    int64_t since_us; /* when this became known; 0: at the start */
};

LIST_HEAD(node_zone_list, node_zone);

/** Steps of a stop, in their order. */
enum node_stop_step {
    NODE_STOP_BEGUN,
    NODE_STOP_REFUSED,   /**< what waits here for the own target */
    NODE_STOP_WITHDRAWN, /**< what has not begun to run anywhere */
    NODE_STOP_ANSWERED,  /**< all requests of callers */
};

struct node {
    struct node_options options;
    struct nodesettings settings;
    struct runtime *runtime;
    int64_t started_ms; /**< Unix time */
    const struct wire *wire;
    struct random_state random;
    struct memory_budget memory; /* used if the settings have memory_mb */
    struct rpc_node *rpc;
    struct http_server *callers;
    struct http_server *announcements;
    struct http_server *readiness;
    struct http_server *metrics;
    struct rowwatch *declared_watch;
    struct rowwatch *fleet_watch;
    struct keyera keyera;
    struct declared *declared; /* NULL until it was read */
    bool config_unreadable;    /* the newest one; an older one is in force */
    struct freshness config_freshness; /* of the one in force */
    struct node_zone_list zones_out;
    struct instancetable instancetable;
    struct node_keymaps keys;
    struct localtarget *target;
    struct localgate *gate;
    struct keyowner *keyowner;
    struct planner *planner;
    struct zonetraffic zonetraffic;
    struct relaytask *relay;
    struct relayserve *relayserve;
    struct feedrelay *feeds;
    struct rowcommit *commits;
    struct quotagranter *quotagranter;
    struct quotatask *quotas;
    struct ingress *ingress;
    struct ownrow *ownrow;
    struct nodemetrics *nodemetrics;
    bool own_row_known; /* the rows of instances have been read */
    bool stopping;
    enum node_stop_step stop_step; /* the latest one */
    int64_t stop_started_us;
    int64_t flushed_at_us; /* answers count as delivered from then on */
    struct timer stop_timer;
};

/** Current time of the node's runtime. */
int64_t node_now_us(const struct node *node);

/** ctx is the node. */
bool node_zone_is_out(void *ctx, const char *zone);

/** When it became known that a zone is out; 0 if at the start, or if it isn't
 * out. */
int64_t node_zone_out_since_us(const struct node *node, const char *zone);

/** The store told a version. @return true if it has returned from a copy since
 * the version before; leases, writes and watches have been reset then. */
bool node_observe_version(struct node *node, uint64_t version);

/** The key map of a service, or NULL. */
struct node_keymap *node_find_keymap(const struct node *node,
                                     const char *service);

/** Applies a newly written page of a key map, if newer than the known one. */
void node_receive_keymap_page(struct node *node, const char *service,
                              unsigned page, const char *text,
                              uint64_t version);

/** Applies pages of a key map that this instance has just written, and pushes
 * them to the instances that own any of the changed segments. */
void node_publish_keymap(struct node *node, struct node_keymap *keys,
                         const struct keymapwrite *write, uint64_t version);

/** Applies the pages of key maps that a write conflicted with. */
void node_apply_keymap_conflict(struct node *node,
                                const struct rowstore_result *result);

/** The declared service of the target, or NULL. */
const struct declared_service *node_own_service(const struct node *node);

/* nodeservers.c */

/** Opens all sockets. False with err set if one cannot be opened. */
bool nodeservers_open(struct node *node, struct error *err);

/* nodestop.c */

void nodestop_begin(struct node *node);
void nodestop_destroy(struct node *node);

/** True if a stop has progressed so far that new requests could not finish. */
bool nodestop_refuses(const struct node *node);

#endif
