/**
 * @file
 * Callers' requests: finds the route and the instance for each, repeats what
 * may be repeated, and gives every caller one answer.
 */
#ifndef CHESTNUTGAP_NODE_INGRESS_H
#define CHESTNUTGAP_NODE_INGRESS_H

#include <stddef.h>

struct http_request;
struct ingress;
struct node;

/** Aborts when memory is short. */
struct ingress *ingress_create(struct node *node);
void ingress_destroy(struct ingress *ingress);

/** ctx of a server's callbacks. */
void ingress_handle(void *ctx, struct http_request *request);
void ingress_cancelled(void *ctx, struct http_request *request);

/** Owners of keys or instances have changed: requests that wait for them go
 * on. */
void ingress_owners_changed(struct ingress *ingress);

/** Requests that are not answered. */
size_t ingress_unanswered_count(const struct ingress *ingress);

#endif
