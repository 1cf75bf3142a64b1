/**
 * @file
 * The daemon on a platform: accepts callers' requests, forwards each to the
 * instance of a target that may run it, and runs the gate of its own target.
 */
#ifndef CHESTNUTGAP_NODE_NODE_H
#define CHESTNUTGAP_NODE_NODE_H

#include "base/error.h"
#include "fleet/wire.h"
#include "node/nodesettings.h"
#include "store/rowstore.h"

struct counter_registry;
struct runtime;

struct node;

struct node_options {
    struct runtime *runtime;
    struct counter_registry *counters;
    const struct nodesettings *settings;
    const struct wire *wire;
    struct rowstore store;
    uint64_t seed;
    void (*stopped)(void *ctx); /**< a graceful stop has finished */
    void *ctx;
};

/** Opens all sockets. NULL with err set on failure. */
struct node *node_create(const struct node_options *options,
                         struct error *err);
void node_destroy(struct node *node);

/** Begins a graceful stop, which finishes all accepted requests. */
void node_stop(struct node *node);

/** Applies changed settings, unless an address change needs a restart. */
void node_reload(struct node *node, const struct nodesettings *settings);

#endif
