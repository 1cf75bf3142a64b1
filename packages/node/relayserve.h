/**
 * @file
 * Runs requests that other instances send to the own gate, within the
 * process's memory budget.
 */
#ifndef CHESTNUTGAP_NODE_RELAYSERVE_H
#define CHESTNUTGAP_NODE_RELAYSERVE_H

#include <stdbool.h>

struct node;
struct relayserve;

/** Serves PROCEDURE_RELAY at the node's RPC endpoint. */
struct relayserve *relayserve_create(struct node *node);

/** Refuses the bodies that wait to be sent here, if the gate no longer allows
 * their requests. */
void relayserve_readmit(struct relayserve *relayserve);

/** True if no request is in progress here or on its way with its body. */
bool relayserve_is_idle(const struct relayserve *relayserve);

/** relayserve may be NULL. */
void relayserve_destroy(struct relayserve *relayserve);

#endif
