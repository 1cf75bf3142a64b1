/**
 * @file
 * Callers' requests: finds the route and the instance for each, retries where
 * that is safe, and gives every caller exactly one answer.
 */
#ifndef CHESTNUTGAP_NODE_INGRESS_H
#define CHESTNUTGAP_NODE_INGRESS_H

#include <stddef.h>

struct http_request;
struct ingress;
struct node;

/** Aborts if out of memory. */
struct ingress *ingress_create(struct node *node);
void ingress_destroy(struct ingress *ingress);

/** Callbacks of the HTTP server for callers; ctx is the node. */
void ingress_handle(void *ctx, struct http_request *request);
void ingress_cancelled(void *ctx, struct http_request *request);

/** Key owners, instances or the configuration have changed: retries waiting
 * requests. */
void ingress_owners_changed(struct ingress *ingress);

size_t ingress_unanswered_count(const struct ingress *ingress);

/** Refuses the requests that have not begun to run, and from now on sends none
 * to a target. Those that wait at other instances are asked back. */
void ingress_withdraw(struct ingress *ingress);

/** Answers all requests: as not run, where that is certain. */
void ingress_answer_all(struct ingress *ingress);

#endif
