/**
 * @file
 * Shared by the modules of the target: its incarnations and state
 * (localtarget.c), what it announces (targetannouncement.c), and whether it is
 * alive (targetliveness.c).
 */
#ifndef CHESTNUTGAP_NODE_LOCALTARGET_INTERNAL_H
#define CHESTNUTGAP_NODE_LOCALTARGET_INTERNAL_H

#include "fleet/departures.h"
#include "fleet/wire.h"
#include "node/departureack.h"
#include "node/localtarget.h"
#include "node/node_internal.h"
#include "node/retiredclients.h"

struct localtarget {
    struct node *node;
    bool present;
    int64_t present_since_us;
    struct wire_announcement announced; /* latest one */
    bool leaving;
    int64_t leaving_since_us;
    int64_t created_us;
    bool confirmed; /* the incarnation was ready after this process began */
    struct departures departures;
    struct departureacks *acks;
    int64_t announced_us;
    int64_t cold_until_us;
    struct http_client *client;
    struct retiredclients retired;
    struct http_call *probe_call;
    int64_t probed_us; /* when the probe was sent */
    unsigned probe_failures;
    bool refused; /* refused a connection, may still answer */
    struct timer refusal_timer;
    struct timer heartbeat_timer;
};

int64_t localtarget_now_us(const struct localtarget *target);

/** Ends the present incarnation; its running requests are lost. proven_dead:
 * it certainly is no longer running. */
void localtarget_end(struct localtarget *target, const char *why,
                     bool proven_dead);

/** The present incarnation does not report, or accepts no connections. It gets
 * nothing new, but may only be slow or about to end: what it runs goes on
 * until its deadline, or until the target closes the connection. */
void localtarget_suspend(struct localtarget *target, const char *why);

/** Opens a client for the incarnation that was announced. */
void localtarget_begin(struct localtarget *target);

/** Another incarnation has taken the place of a suspended one. */
void localtarget_end_suspended(struct localtarget *target);

/** Informs the other modules that the target's state has changed. */
void localtarget_publish_change(struct localtarget *target);

/* targetliveness.c */

void targetliveness_init(struct localtarget *target);

/** The target has announced itself or answered a probe: the next heartbeat is
 * expected in time. */
void targetliveness_heard(struct localtarget *target);

#endif
