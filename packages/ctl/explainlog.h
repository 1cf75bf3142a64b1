/**
 * @file
 * Log lines of several instances, for the explain command.
 */
#ifndef CHESTNUTGAP_CTL_EXPLAINLOG_H
#define CHESTNUTGAP_CTL_EXPLAINLOG_H

#include <stddef.h>

#include <jansson.h>

/** A log line. */
struct log_entry {
    json_t *json;
    const char *time;
    size_t number; /**< line number, from 0 */
};

struct log_entries {
    struct log_entry *items;
    size_t count;
};

/** A text field of the line, or an empty string. */
const char *log_entry_field(const struct log_entry *entry, const char *field);

/** Prints how many requests ended in which way, by service and cause. */
void explaincauses_print(const struct log_entries *entries);

#endif
