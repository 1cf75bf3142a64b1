/**
 * @file
 * Counters and gauges, printed as text for operators.
 */
#ifndef CHESTNUTGAP_BASE_COUNTER_H
#define CHESTNUTGAP_BASE_COUNTER_H

#include <stdint.h>
#include <stdio.h>
#include <sys/queue.h>

/** A named number. Users modify value directly. */
struct counter {
    STAILQ_ENTRY(counter) link;
    const char *name; /**< package_what_unit, for example "rpc_calls" */
    const char *help;
    int64_t value;
};

STAILQ_HEAD(counter_list, counter);

/** A set of counters with unique names. */
struct counter_registry;

/** @return NULL if out of memory */
struct counter_registry *counter_registry_create(void);
void counter_registry_destroy(struct counter_registry *registry);

/**
 * Adds a counter, or returns the existing one of this name. The strings must
 * outlive the registry. Aborts if out of memory.
 */
struct counter *counter_add(struct counter_registry *registry,
                            const char *name, const char *help);

/** Calls visit for each counter in insertion order. */
void counter_visit(const struct counter_registry *registry,
                   void (*visit)(void *ctx, const struct counter *counter),
                   void *ctx);

/** Writes "# HELP" and "NAME VALUE" lines in insertion order. */
void counter_print(const struct counter_registry *registry, FILE *stream);

#endif
