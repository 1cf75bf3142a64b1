#include "base/counter.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

struct counter_registry {
    struct counter_list counters;
};

struct counter_registry *
counter_registry_create(void)
{
    struct counter_registry *registry = calloc(1, sizeof(*registry));
    if (registry != NULL) {
        STAILQ_INIT(&registry->counters);
    }
    return registry;
}

void
counter_registry_destroy(struct counter_registry *registry)
{
    if (registry == NULL) {
        return;
    }
    struct counter *counter;
    while ((counter = STAILQ_FIRST(&registry->counters)) != NULL) {
        STAILQ_REMOVE_HEAD(&registry->counters, link);
        free(counter);
    }
    free(registry);
}

struct counter *
counter_add(struct counter_registry *registry, const char *name,
            const char *help)
{
    struct counter *counter;
    STAILQ_FOREACH (counter, &registry->counters, link) {
        if (strcmp(counter->name, name) == 0) {
            return counter;
        }
    }
    counter = calloc(1, sizeof(*counter));
    if (counter == NULL) {
        abort();
    }
    counter->name = name;
    counter->help = help;
    STAILQ_INSERT_TAIL(&registry->counters, counter, link);
    return counter;
}

void
counter_visit(const struct counter_registry *registry,
              void (*visit)(void *ctx, const struct counter *counter),
              void *ctx)
{
    const struct counter *counter;
    STAILQ_FOREACH (counter, &registry->counters, link) {
        visit(ctx, counter);
    }
}

static void
counter_print_one(void *ctx, const struct counter *counter)
{
    fprintf(ctx, "# HELP %s %s\n%s %" PRId64 "\n", counter->name,
            counter->help, counter->name, counter->value);
}

void
counter_print(const struct counter_registry *registry, FILE *stream)
{
    counter_visit(registry, counter_print_one, stream);
}
