/**
 * @file
 * What the target says of itself in its answers: its rate limit, and that it
 * leaves. Holds for one incarnation of the target, also while it is silent.
 */
#ifndef CHESTNUTGAP_NODE_GATENOTICE_H
#define CHESTNUTGAP_NODE_GATENOTICE_H

#include "fleet/limitnotice.h"
#include "http/httpheaders.h"
#include "protocol/generated/relay.h"

struct gatenotice;
struct node;

/** Aborts if out of memory. */
struct gatenotice *gatenotice_create(struct node *node);
void gatenotice_destroy(struct gatenotice *gatenotice);

/** Forgets the limit if the present target is another incarnation. Call it
 * before gatenotice_limit() whenever the target may have changed. */
void gatenotice_target_changed(struct gatenotice *gatenotice);

/** Reads an answer, to a request sent at sent_us. */
void gatenotice_read(struct gatenotice *gatenotice,
                     enum limitnotice_source source,
                     const struct http_headers *headers, int64_t sent_us);

enum relay_limit_state gatenotice_state(const struct gatenotice *gatenotice);

/** How many requests the target may run at a time, of its slots: few until it
 * is known whether it has a rate limit. */
unsigned gatenotice_slots(const struct gatenotice *gatenotice, unsigned slots);

/** An instance passed on an answer with that limit. */
void gatenotice_hear_peer_limit(struct gatenotice *gatenotice,
                                const struct relay_limit *limit);

/** Fills in the fields of a reply that tell of the limit and the departure.
 * They are valid until the next call. */
void gatenotice_fill_reply(struct gatenotice *gatenotice,
                           struct relay_reply *reply, int64_t wait_us);

/** The limit in force, in requests per 1,000 s; -1: none. */
int64_t gatenotice_per_1000_s(const struct gatenotice *gatenotice);

/** The limit in force. */
const struct limitnotice *
gatenotice_limit(const struct gatenotice *gatenotice);

#endif
