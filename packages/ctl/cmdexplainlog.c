/* Prints the timeline of a request or key from the log lines of several
 * instances. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/memory.h"
#include "ctl/commands.h"
#include "ctl/explainlog.h"

#define KEY_PREFIX "key="
#define ALL_REQUESTS "all"
#define TIME_SIZE 26 /* bytes of a time with microseconds */

/** The request or key to explain. */
struct subject {
    const char *id;
    bool is_key;
    json_int_t key;
    char from[TIME_SIZE + 1]; /* times of the first and last line about it */
    char to[TIME_SIZE + 1];
};

const char *
log_entry_field(const struct log_entry *entry, const char *field)
{
    const char *text = json_string_value(json_object_get(entry->json, field));
    return text != NULL ? text : "";
}

/** Parses the JSON object in a line; ignores text before it. */
static void
read_line(struct log_entries *entries, const char *line, size_t number)
{
    const char *start = strchr(line, '{');
    json_t *json =
        start != NULL ? json_loads(start, JSON_DISABLE_EOF_CHECK, NULL) : NULL;
    const char *time = json_string_value(json_object_get(json, "time"));
    if (time == NULL) {
        json_decref(json);
        return;
    }
    entries->items = memory_reallocarray(entries->items, entries->count + 1,
                                         sizeof(*entries->items));
    entries->items[entries->count++] =
        (struct log_entry){.json = json, .time = time, .number = number};
}

static int
compare_time(const void *a, const void *b)
{
    const struct log_entry *left = a;
    const struct log_entry *right = b;
    const int order = strcmp(left->time, right->time);
    if (order != 0) {
        return order;
    }
    return left->number < right->number ? -1 : left->number > right->number;
}

static bool
read_log(const char *name, struct log_entries *entries)
{
    FILE *file = strcmp(name, "-") == 0 ? stdin : fopen(name, "r");
    char *line = NULL;
    size_t size = 0;
    size_t number = 0;
    if (file == NULL) {
        return false;
    }
    while (getline(&line, &size, file) >= 0) {
        read_line(entries, line, number++);
    }
    free(line);
    if (file != stdin) {
        fclose(file);
    }
    if (entries->count > 0) {
        qsort(entries->items, entries->count, sizeof(*entries->items),
              compare_time);
    }
    return true;
}

static bool
is_about(const struct log_entry *entry, const struct subject *subject)
{
    if (!subject->is_key) {
        return strcmp(log_entry_field(entry, "id"), subject->id) == 0;
    }
    const json_t *first = json_object_get(entry->json, "first");
    const json_t *last = json_object_get(entry->json, "last");
    const json_t *key = json_object_get(entry->json, "key");
    if (json_is_integer(key)) {
        return json_integer_value(key) == subject->key;
    }
    return json_is_integer(first) && json_is_integer(last) &&
           json_integer_value(first) <= subject->key &&
           subject->key <= json_integer_value(last);
}

/** Whether a line logs a change in an instance's view of the system, which may
 * explain how the request ended. */
static bool
is_state_change(const struct log_entry *entry)
{
    static const char *const events[] = {
        "target_gone",   "target_present",   "target_leaving",  "lease_lost",
        "store_lost",    "keys_taken",       "store_reachable", "config",
        "instance_lost", "zone_out",         "zone_in",         "stopping",
        "started",       "handover_begun",   "handover_done",   "granted",
        "rate_limit",    "rate_limit_ended",
    };
    const char *event = log_entry_field(entry, "event");
    for (size_t i = 0; i < sizeof(events) / sizeof(events[0]); i++) {
        if (strcmp(event, events[i]) == 0) {
            return true;
        }
    }
    return false;
}

/** Whether a line about the subject is from or names the instance. */
static bool
is_involved(const struct log_entries *entries, const struct subject *subject,
            const char *instance)
{
    for (size_t i = 0; i < entries->count; i++) {
        const struct log_entry *entry = &entries->items[i];
        if (is_about(entry, subject) &&
            (strcmp(log_entry_field(entry, "instance"), instance) == 0 ||
             strcmp(log_entry_field(entry, "to"), instance) == 0)) {
            return true;
        }
    }
    return false;
}

static void
print_entry(const struct log_entry *entry, bool context)
{
    const char *key;
    json_t *value;
    printf("%s %s%-20s %s %s", entry->time, context ? "  ~ " : "",
           log_entry_field(entry, "instance"),
           log_entry_field(entry, "module"), log_entry_field(entry, "event"));
    json_object_foreach (entry->json, key, value) {
        static const char *const header_fields[] = {
            "time", "instance", "module", "event", "level"};
        bool printed = false;
        for (size_t i = 0;
             i < sizeof(header_fields) / sizeof(header_fields[0]); i++) {
            printed = printed || strcmp(key, header_fields[i]) == 0;
        }
        if (!printed) {
            char *text = json_dumps(value, JSON_ENCODE_ANY);
            printf(" %s=%s", key, text);
            free(text);
        }
    }
    printf("\n");
}

/** Sets the time span. @return false if no line is about the subject */
static bool
find_span(const struct log_entries *entries, struct subject *subject)
{
    bool found = false;
    for (size_t i = 0; i < entries->count; i++) {
        if (!is_about(&entries->items[i], subject)) {
            continue;
        }
        if (!found) {
            snprintf(subject->from, sizeof(subject->from), "%s",
                     entries->items[i].time);
        }
        snprintf(subject->to, sizeof(subject->to), "%s",
                 entries->items[i].time);
        found = true;
    }
    return found;
}

/** The last line that reports how the request ended, or NULL. */
static const struct log_entry *
find_end(const struct log_entries *entries, const struct subject *subject)
{
    const struct log_entry *end = NULL;
    for (size_t i = 0; i < entries->count; i++) {
        const struct log_entry *entry = &entries->items[i];
        const char *event = log_entry_field(entry, "event");
        if (is_about(entry, subject) &&
            (strcmp(event, "request") == 0 || strcmp(event, "rejected") == 0 ||
             strcmp(event, "caller_left") == 0)) {
            end = entry;
        }
    }
    return end;
}

static void
print_timeline(const struct log_entries *entries,
               const struct subject *subject)
{
    for (size_t i = 0; i < entries->count; i++) {
        const struct log_entry *entry = &entries->items[i];
        if (is_about(entry, subject)) {
            print_entry(entry, false);
            continue;
        }
        /* Comparing 18 characters rounds the start down to ten seconds, to
         * include state changes shortly before the request. */
        const bool in_span = strncmp(entry->time, subject->from, 18) >= 0 &&
                             strcmp(entry->time, subject->to) <= 0;
        if (in_span && is_state_change(entry) &&
            is_involved(entries, subject,
                        log_entry_field(entry, "instance"))) {
            print_entry(entry, true);
        }
    }
    const struct log_entry *end = find_end(entries, subject);
    if (end != NULL && !subject->is_key) {
        const char *reason = log_entry_field(end, "reason");
        printf("ended by %s: %s, reason %s\n",
               log_entry_field(end, "instance"),
               strcmp(log_entry_field(end, "event"), "request") == 0
                   ? log_entry_field(end, "outcome")
                   : log_entry_field(end, "event"),
               reason[0] != '\0' ? reason : "none");
    }
}

enum ctl_exit
command_explain_log(struct ctl *ctl)
{
    struct log_entries entries = {.items = NULL};
    struct subject subject = {.id = ctl->options.arguments[0]};
    if (strncmp(subject.id, KEY_PREFIX, strlen(KEY_PREFIX)) == 0) {
        subject.is_key = true;
        subject.key = strtoll(subject.id + strlen(KEY_PREFIX), NULL, 10);
    }
    if (!read_log(ctl->options.log_file, &entries)) {
        return ctl_fail_with(ctl, CTL_FAILED, ERROR_DOCUMENT_UNREADABLE, "%s",
                             ctl->options.log_file);
    }
    const bool all = strcmp(subject.id, ALL_REQUESTS) == 0;
    const bool found = all || find_span(&entries, &subject);
    if (all) {
        explaincauses_print(&entries);
    }
    else if (found) {
        print_timeline(&entries, &subject);
    }
    for (size_t i = 0; i < entries.count; i++) {
        json_decref(entries.items[i].json);
    }
    free(entries.items);
    return found
               ? CTL_OK
               : ctl_fail_with(ctl, CTL_FAILED, ERROR_FIELD_REFERENCE,
                               "%s in %s", subject.id, ctl->options.log_file);
}
