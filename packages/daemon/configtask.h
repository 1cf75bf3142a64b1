/**
 * @file
 * Follows the accepted configuration in the store: polls its head, fetches
 * the document of a higher revision and puts it in force. Other members'
 * word of a higher revision makes it fetch at once.
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

/** Called with each revision that comes into force. The state is valid until
 * the next call. */
typedef void (*configtask_cb)(void *ctx, uint64_t revision,
                              const struct state *state);

struct configtask_options {
    struct runtime *runtime;
    const struct store *store;
    struct counter_registry *counters;
    int64_t poll_us; /**< between reads of the head */
    configtask_cb in_force;
    void *ctx;
};

/** Starts polling. Aborts when memory is short. */
struct configtask *configtask_create(const struct configtask_options *options);

/** The store must not answer after this. */
void configtask_destroy(struct configtask *task);

/**
 * Members that are live. All of them together read the head at most
 * CONFIGTASK_POLLS_PER_SECOND times a second.
 */
void configtask_set_member_count(struct configtask *task, size_t members);

/** Another member has this revision in force. */
void configtask_revision_seen(struct configtask *task, uint64_t revision);

/** Offers a document that was learnt from another member. */
void configtask_offer(struct configtask *task, uint64_t revision,
                      const json_t *document);

/** The unit with the revision in force and the acknowledgements. */
struct config *configtask_config(struct configtask *task);

/** The state in force, or NULL before the first one. */
const struct state *configtask_state(const struct configtask *task);

#endif
