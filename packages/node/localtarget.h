/**
 * @file
 * The target beside this instance: its announcements, its present life, and
 * whether it lives. Only this instance reaches it.
 */
#ifndef CHESTNUTGAP_NODE_LOCALTARGET_H
#define CHESTNUTGAP_NODE_LOCALTARGET_H

#include <stdbool.h>
#include <stdint.h>

#include "fleet/roster.h"

struct http_client;
struct http_request;
struct localtarget;
struct node;

/** Aborts when memory is short. */
struct localtarget *localtarget_create(struct node *node);
void localtarget_destroy(struct localtarget *target);

/** An announcement has come in; it is answered. */
void localtarget_handle_announcement(struct localtarget *target,
                                     struct http_request *request);

/** This life has said that it leaves, to this process or an earlier one. */
void localtarget_departed(struct localtarget *target, const char *name,
                          int64_t born_ms);

/** True if there is a target that has not refused a connection. */
bool localtarget_accepts_connections(const struct localtarget *target);

/** A connection was refused, or cut amid a request. */
void localtarget_connection_refused(struct localtarget *target);
void localtarget_connection_cut(struct localtarget *target);

/** Fills in the service, target, slots and state. */
void localtarget_describe(const struct localtarget *target,
                          struct roster_notice *notice);

/** True if it takes requests: present and not leaving. */
bool localtarget_is_serving(const struct localtarget *target);

/** True once it is known to leave; it may still run what it has. */
bool localtarget_is_leaving(const struct localtarget *target);

/** When it was known first that it leaves. */
int64_t localtarget_leaving_since_us(const struct localtarget *target);

/** True if it is present, leaving or not. */
bool localtarget_is_present(const struct localtarget *target);

/** The service of the present life; empty if there is none. */
const char *localtarget_service(const struct localtarget *target);

/** The present life as a holder of keys; without an instance if there is
 * none. */
struct keymap_holder localtarget_holder(const struct localtarget *target);

/** For calls to the present life; NULL if there is none. */
struct http_client *localtarget_client(const struct localtarget *target);

unsigned localtarget_slots(const struct localtarget *target);

/** It is cold until then, as far as is known. */
int64_t localtarget_cold_until_us(const struct localtarget *target);

/** Takes the declared service's numbers over. */
void localtarget_configure(struct localtarget *target);

/** Asks it how long it stays cold; until it answers it counts as cold. */
void localtarget_assume_cold(struct localtarget *target);

#endif
