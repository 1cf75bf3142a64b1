/**
 * @file
 * Runs requests that other instances send to the own gate, within the
 * process's memory budget.
 */
#ifndef CHESTNUTGAP_NODE_RELAYSERVE_H
#define CHESTNUTGAP_NODE_RELAYSERVE_H

struct node;
struct relayserve;

/** Serves PROCEDURE_RELAY at the node's RPC endpoint. */
struct relayserve *relayserve_create(struct node *node);

/** relayserve may be NULL. */
void relayserve_destroy(struct relayserve *relayserve);

#endif
