/**
 * @file
 * Shared by the relaytask modules: requests for a target (relaytask.c), and
 * short queries and orders: loads of keys, moves, promises and pages of the
 * key map (relayquery.c).
 */
#ifndef CHESTNUTGAP_NODE_RELAYTASK_INTERNAL_H
#define CHESTNUTGAP_NODE_RELAYTASK_INTERNAL_H

#include <sys/queue.h>

#include "node/relaytask.h"

struct relay_query;

LIST_HEAD(relay_calls, relay_call);
LIST_HEAD(relay_queries, relay_query);

struct relaytask {
    struct node *node;
    struct relay_calls calls;
    struct relay_queries queries;
};

/* relayquery.c */

/** Registers the procedures of short queries and orders. */
void relayquery_serve(struct relaytask *relay);

/** Ends the queries and orders that have no answer yet, without callbacks. */
void relayquery_cancel_all(struct relaytask *relay);

#endif
