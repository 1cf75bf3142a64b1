/**
 * @file
 * This instance's target: its announcements, its present incarnation, and
 * whether it is alive. No other instance connects to it.
 */
#ifndef CHESTNUTGAP_NODE_LOCALTARGET_H
#define CHESTNUTGAP_NODE_LOCALTARGET_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "fleet/instancetable.h"

struct http_client;
struct http_headers;
struct http_request;
struct localtarget;
struct node;

/** Aborts if out of memory. */
struct localtarget *localtarget_create(struct node *node);
void localtarget_destroy(struct localtarget *target);

/** Handles an announcement and answers it. */
void localtarget_handle_announcement(struct localtarget *target,
                                     struct http_request *request);

/** The incarnation announced its departure. started_ms: its start; 0: unknown.
 * why: for the log. */
void localtarget_record_departure(struct localtarget *target, const char *name,
                                  int64_t started_ms, const char *why);

/** This instance's own row was seen in the store. */
void localtarget_read_own_row(struct localtarget *target,
                              const struct instancetable_row *instance_row,
                              const char *text, size_t size);

/** All rows of instances were read for the first time, the own one too. */
void localtarget_own_row_known(struct localtarget *target);

/** The departures as a field of the own row. */
json_t *localtarget_departures_json(const struct localtarget *target);

/** True if the own row in the store lacks a departure. */
bool localtarget_has_unstored_departure(const struct localtarget *target);

/** True if the target is present, not known to have left before, and has not
 * refused a connection. */
bool localtarget_accepts_connections(const struct localtarget *target);

/** A connection was refused, or cut during a request. */
void localtarget_connection_refused(struct localtarget *target);
void localtarget_connection_cut(struct localtarget *target);

/** Fills in the fields of the row that describe the target. */
void localtarget_describe(const struct localtarget *target,
                          struct instancetable_row *instance_row);

/** True if it is present, not leaving, and not known to have left before. */
bool localtarget_is_serving(const struct localtarget *target);

/** True once its departure is known; it may still run earlier requests. */
bool localtarget_is_leaving(const struct localtarget *target);

/** When its departure first became known. */
int64_t localtarget_leaving_since_us(const struct localtarget *target);

/** True if it is present, leaving or not. */
bool localtarget_is_present(const struct localtarget *target);

/** The service of the present incarnation; empty if there is none. */
const char *localtarget_service(const struct localtarget *target);

/** The present incarnation as a holder of keys; without an instance if there
 * is none. */
struct keymap_holder localtarget_holder(const struct localtarget *target);

/** Name of the present incarnation, or empty. */
const char *localtarget_name(const struct localtarget *target);

/** Start of the latest incarnation, Unix time; 0: unknown. */
int64_t localtarget_started_ms(const struct localtarget *target);

/** When the present incarnation was first heard of; INT64_MAX without one. */
int64_t localtarget_present_since_us(const struct localtarget *target);

/** For calls to the present incarnation; NULL if there is none. */
struct http_client *localtarget_client(const struct localtarget *target);

/** Whether an answer of the target may be that to an order, not to a request.
 */
bool localtarget_is_order_answer(const struct localtarget *target,
                                 const struct http_headers *headers);

unsigned localtarget_slots(const struct localtarget *target);

/** Expected end of its cold start; 0 if it is warm. */
int64_t localtarget_cold_until_us(const struct localtarget *target);

/** Applies the declared service's settings. */
void localtarget_configure(struct localtarget *target);

/** Asks the target for its health, unless a probe is under way. */
void localtarget_probe(struct localtarget *target);

/** Treats the target as cold, and probes it for the rest of its cold start. */
void localtarget_assume_cold(struct localtarget *target);

#endif
