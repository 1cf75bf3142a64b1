/**
 * @file
 * What the target says of itself in its answers: its rate limit, and that it
 * leaves. Holds for one incarnation of the target, also while it is silent.
 */
#ifndef CHESTNUTGAP_NODE_GATELIMIT_H
#define CHESTNUTGAP_NODE_GATELIMIT_H

#include "fleet/limitnotice.h"
#include "http/httpheaders.h"
#include "protocol/generated/relay.h"

struct gatelimit;
struct node;

/** Aborts if out of memory. */
struct gatelimit *gatelimit_create(struct node *node);
void gatelimit_destroy(struct gatelimit *gatelimit);

/** Forgets the limit if the present target is another incarnation. Call it
 * before gatelimit_notice() whenever the target may have changed. */
void gatelimit_target_changed(struct gatelimit *gatelimit);

/** Reads an answer, to a request sent at sent_us. */
void gatelimit_read(struct gatelimit *gatelimit,
                    enum limitnotice_source source,
                    const struct http_headers *headers, int64_t sent_us);

enum relay_limit_state gatelimit_state(const struct gatelimit *gatelimit);

/** How many requests the target may run at a time, of its slots: few until it
 * is known whether it has a rate limit. */
unsigned gatelimit_slots(const struct gatelimit *gatelimit, unsigned slots);

/** An instance passed on an answer with that limit. */
void gatelimit_hear_instance(struct gatelimit *gatelimit,
                             const struct relay_limit *limit);

/** Fills in the fields of a reply that tell of the limit and the departure.
 * They are valid until the target changes. */
void gatelimit_describe(struct gatelimit *gatelimit, struct relay_reply *reply,
                        int64_t wait_us);

/** The limit in force, in requests per 1,000 s; -1: none. */
int64_t gatelimit_per_1000_s(const struct gatelimit *gatelimit);

/** The limit in force. */
const struct limitnotice *gatelimit_notice(const struct gatelimit *gatelimit);

#endif
