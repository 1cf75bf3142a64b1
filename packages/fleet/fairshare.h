/**
 * @file
 * Fair shares of a target's capacity between workspaces: under overload one
 * that sends far more than usual must not starve the others. Start-time fair
 * queueing: each start of a workspace's request advances its virtual time by
 * the inverse of its weight, and the next request is one of the workspace
 * whose virtual time is lowest. The weight is the usual rate of its requests
 * here, at least a third of the present one, so that a large workspace is
 * served as often as a small one, and one that sends more than three times as
 * much as usual at least a third as often.
 *
 * The state is a table of fixed size. A workspace has a flow for each priority
 * while it is active; the least recently active flow without waiting requests
 * gives way to a new one. If there is none, the new one shares a flow with
 * others of its priority for which there is no room.
 */
#ifndef CHESTNUTGAP_FLEET_FAIRSHARE_H
#define CHESTNUTGAP_FLEET_FAIRSHARE_H

#include <stddef.h>
#include <stdint.h>

struct fairshare;

/** Requests of one workspace and priority. */
struct fairshare_flow;

/** Aborts if out of memory. */
struct fairshare *fairshare_create(void);
void fairshare_destroy(struct fairshare *shares);

/** The flow of a workspace, by the hash of its name; 0: requests without one.
 * The pointer is valid until the next call, and while requests wait. */
struct fairshare_flow *fairshare_find(struct fairshare *shares,
                                      uint64_t workspace, unsigned priority,
                                      int64_t now_us);

/** A request has arrived. */
void fairshare_record_arrival(struct fairshare_flow *flow, int64_t now_us);

/** A request waits, or does so no more. */
void fairshare_add_waiting(struct fairshare_flow *flow);
void fairshare_remove_waiting(struct fairshare_flow *flow);

/** A request of the flow starts. */
void fairshare_record_start(struct fairshare *shares,
                            struct fairshare_flow *flow);

/** Virtual time at which the flow's request behind that many others of it
 * starts; the lowest is next. */
double fairshare_start_tag(const struct fairshare *shares,
                           const struct fairshare_flow *flow, unsigned ahead);

/** Begins to go through waiting requests in order. */
void fairshare_begin_pass(struct fairshare *shares);

/** Start tag of the flow's next request in this pass. */
double fairshare_next_tag(const struct fairshare *shares,
                          struct fairshare_flow *flow);

/** Bytes of the table. */
size_t fairshare_memory(void);

#endif
