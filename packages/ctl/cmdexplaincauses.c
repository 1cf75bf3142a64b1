/* Sums the requests in a log by how they ended. Answered requests are logged
 * only in part: those that were late or failed, and a sample of the others. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/memory.h"
#include "ctl/explainlog.h"
#include "ctl/table.h"

/** Requests that ended alike. */
struct cause {
    const char *service;
    const char *outcome;
    const char *reason;
    json_int_t status;
    size_t count;
    json_int_t took_ms; /* of all of them */
};

struct causes {
    struct cause *items;
    size_t count;
};

static json_int_t
number_field(const struct log_entry *entry, const char *field)
{
    return json_integer_value(json_object_get(entry->json, field));
}

static struct cause *
find_or_add(struct causes *causes, const struct cause *wanted)
{
    for (size_t i = 0; i < causes->count; i++) {
        struct cause *cause = &causes->items[i];
        if (cause->status == wanted->status &&
            strcmp(cause->service, wanted->service) == 0 &&
            strcmp(cause->outcome, wanted->outcome) == 0 &&
            strcmp(cause->reason, wanted->reason) == 0) {
            return cause;
        }
    }
    causes->items = memory_reallocarray(causes->items, causes->count + 1,
                                        sizeof(*causes->items));
    causes->items[causes->count] = *wanted;
    return &causes->items[causes->count++];
}

static void
count_request(struct causes *causes, const struct log_entry *entry)
{
    const struct cause wanted = {
        .service = log_entry_field(entry, "service"),
        .outcome = log_entry_field(entry, "outcome"),
        .reason = log_entry_field(entry, "reason"),
        .status = number_field(entry, "status"),
    };
    struct cause *cause = find_or_add(causes, &wanted);
    cause->count++;
    cause->took_ms += number_field(entry, "took_ms");
}

static int
compare_counts(const void *a, const void *b)
{
    const struct cause *first = a;
    const struct cause *second = b;
    return first->count > second->count ? -1 : first->count < second->count;
}

void
explaincauses_print(const struct log_entries *entries)
{
    static const char *const headings[] = {"service", "outcome", "reason",
                                           "status",  "logged",  "mean ms"};
    struct causes causes = {.items = NULL};
    for (size_t i = 0; i < entries->count; i++) {
        if (strcmp(log_entry_field(&entries->items[i], "event"), "request") ==
            0) {
            count_request(&causes, &entries->items[i]);
        }
    }
    if (causes.count > 0) {
        qsort(causes.items, causes.count, sizeof(*causes.items),
              compare_counts);
    }
    struct table *table = table_create(headings, 6);
    for (size_t i = 0; i < causes.count; i++) {
        const struct cause *cause = &causes.items[i];
        table_add_cell(table, "%s", cause->service);
        table_add_cell(table, "%s", cause->outcome);
        table_add_cell(table, "%s", cause->reason);
        table_add_cell(table, "%" JSON_INTEGER_FORMAT, cause->status);
        table_add_cell(table, "%zu", cause->count);
        table_add_cell(table, "%" JSON_INTEGER_FORMAT,
                       cause->took_ms / (json_int_t)cause->count);
    }
    table_print(table);
    table_destroy(table);
    free(causes.items);
}
