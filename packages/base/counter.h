/**
 * @file
 * Counters and gauges of the program, listed as text for operators.
 */
#ifndef CHESTNUTGAP_BASE_COUNTER_H
#define CHESTNUTGAP_BASE_COUNTER_H

#include <stdint.h>
#include <stdio.h>
#include <sys/queue.h>

/** A named number. Increment value directly. */
struct counter {
    STAILQ_ENTRY(counter) link;
    const char *name; /**< package_what_unit, for example "rpc_calls" */
    const char *help;
    int64_t value;
};

STAILQ_HEAD(counter_list, counter);

/** A set of counters with unique names. */
struct counter_registry;

/** NULL when memory is short. */
struct counter_registry *counter_registry_create(void);
void counter_registry_destroy(struct counter_registry *registry);

/**
 * Adds a counter, or returns the one that has this name already. The strings
 * must outlive the registry. Aborts when memory is short.
 */
struct counter *counter_add(struct counter_registry *registry,
                            const char *name, const char *help);

/** Calls visit for each counter, in order of addition. */
void counter_visit(const struct counter_registry *registry,
                   void (*visit)(void *ctx, const struct counter *counter),
                   void *ctx);

/** Writes "# HELP" and "NAME VALUE" lines, in order of addition. */
void counter_print(const struct counter_registry *registry, FILE *stream);

#endif
