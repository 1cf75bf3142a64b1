/**
 * @file
 * Follows the accepted configuration in the store: polls its head row, and
 * fetches the document of a higher revision and puts it in force. A higher
 * revision reported by another member is fetched at once.
 */
#ifndef CHESTNUTGAP_DAEMON_CONFIGTASK_H
#define CHESTNUTGAP_DAEMON_CONFIGTASK_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "spread/config.h"
#include "state/state.h"
#include "store/store.h"

#define CONFIGTASK_POLLS_PER_SECOND 200

struct counter_registry;
struct runtime;
struct configtask;

/** Called when a revision comes into force. state is valid until the next
 * call. */
typedef void (*configtask_cb)(void *ctx, uint64_t revision,
                              const struct state *state);

struct configtask_options {
    struct runtime *runtime;
    const struct store *store;
    struct counter_registry *counters;
    int64_t poll_us; /**< minimum time between reads of the head row */
    configtask_cb in_force;
    void *ctx;
};

/** Starts polling. Aborts if out of memory. */
struct configtask *configtask_create(const struct configtask_options *options);

/** The store must make no callbacks after this. */
void configtask_destroy(struct configtask *task);

/**
 * Sets the number of live members, which together read the head row at most
 * CONFIGTASK_POLLS_PER_SECOND times a second.
 */
void configtask_set_member_count(struct configtask *task, size_t members);

/** Fetches a revision accepted elsewhere if this member is behind. */
void configtask_revision_seen(struct configtask *task, uint64_t revision);

/** Puts a valid document in force if its revision is higher. */
void configtask_offer(struct configtask *task, uint64_t revision,
                      const json_t *document);

/** The revision in force and its acknowledgements. */
struct config *configtask_config(struct configtask *task);

/** The state in force, NULL before the first one. */
const struct state *configtask_state(const struct configtask *task);

#endif
