/**
 * @file
 * Feeds of the store's tables, read from the store or from another instance
 * that reads them (fleet/feedsource.h), and served to other instances.
 */
#ifndef CHESTNUTGAP_NODE_FEEDRELAY_H
#define CHESTNUTGAP_NODE_FEEDRELAY_H

#include <stdbool.h>
#include <stdint.h>

#include "fleet/freshness.h"
#include "store/rowstore.h"

struct instancetable_instance;
struct feedrelay;
struct feedrelay_call;
struct node;
struct rowwatch;

/** The result of a read, and what a successful one proves. */
typedef void (*feedrelay_cb)(void *ctx, const struct rowstore_result *result,
                             const struct freshness_read *read);

/** Registers its procedure with the RPC node. Aborts if out of memory. */
struct feedrelay *feedrelay_create(struct node *node);
void feedrelay_destroy(struct feedrelay *relay);

/** Serves the rows of a watch to other instances. */
void feedrelay_add_table(struct feedrelay *relay, const char *table,
                         const struct rowwatch *watch);

/** The watch has learnt rows, or lost or found its source. */
void feedrelay_table_changed(struct feedrelay *relay, const char *table);

/** Reads changes of a table since a version, as the feed of a rowstore does.
 * wait_us: longest wait for changes at the store. The result is DONE,
 * HISTORY_GONE or a failure. */
struct feedrelay_call *feedrelay_start(struct feedrelay *relay,
                                       const char *table, uint64_t after,
                                       int64_t wait_us, feedrelay_cb done,
                                       void *ctx);
void feedrelay_cancel(struct feedrelay_call *call);

/** The instance from which this one reads, or NULL for the store. */
const struct instancetable_instance *
feedrelay_choose_peer(const struct feedrelay *relay);

/** The store did not answer this instance. */
void feedrelay_record_store_failure(struct feedrelay *relay);

/** True if the store did not answer this instance lately. */
bool feedrelay_store_is_failing(const struct feedrelay *relay);

/** Excludes an instance for a while: it did not answer. */
void feedrelay_record_peer_failure(struct feedrelay *relay,
                                   const char *instance);

#endif
