#include "ctl/invariantsummary.h"

#include <string.h>

#include "store/invariantlog.h"

const char *
invariant_verdict_name(enum invariant_verdict verdict)
{
    static const char *const names[] = {
        [VERDICT_HELD] = "kept",
        [VERDICT_NOT_CHECKED] = "not checked",
        [VERDICT_VIOLATED] = "broken",
        [VERDICT_UNKNOWN] = "not known",
    };
    return names[verdict];
}

/** A daemon's report on one invariant, or NULL. */
static const json_t *
find_report(const json_t *answer, const char *name)
{
    for (size_t i = 0; i < json_array_size(answer); i++) {
        const json_t *report = json_array_get(answer, i);
        const char *text = json_string_value(json_object_get(report, "name"));
        if (text != NULL && strcmp(text, name) == 0) {
            return report;
        }
    }
    return NULL;
}

static void
add_report(struct invariantsummary_entry *entry, const json_t *report)
{
    const json_t *checks = json_object_get(report, "checks");
    const json_t *violations = json_object_get(report, "violations");
    if (!json_is_integer(checks) || !json_is_integer(violations)) {
        entry->unresponsive++;
        return;
    }
    entry->checks += json_integer_value(checks);
    entry->violations += json_integer_value(violations);
}

void
invariantsummary_add_answers(struct invariantsummary *summary,
                             const struct daemon_queries *queries)
{
    summary->daemon_count += queries->count;
    for (int id = 0; id < INVARIANT_COUNT; id++) {
        for (size_t i = 0; i < queries->count; i++) {
            add_report(&summary->entries[id],
                       find_report(queries->queries[i].answer,
                                   invariant_name((enum invariant)id)));
        }
    }
}

static void
add_broken(struct invariantsummary *summary, const json_t *value)
{
    const char *name = json_string_value(json_object_get(value, "subject"));
    const json_t *after = json_object_get(value, "after");
    for (int id = 0; name != NULL && id < INVARIANT_COUNT; id++) {
        if (strcmp(invariant_name((enum invariant)id), name) == 0) {
            summary->entries[id].recorded +=
                json_integer_value(json_object_get(after, "count"));
        }
    }
}

/** Adds checks only: violations have their own audit rows. */
static void
add_totals(struct invariantsummary *summary, const json_t *value)
{
    const json_t *after = json_object_get(value, "after");
    for (int id = 0; id < INVARIANT_COUNT; id++) {
        const json_t *total =
            json_object_get(after, invariant_name((enum invariant)id));
        summary->entries[id].checks +=
            json_integer_value(json_object_get(total, "checks"));
    }
    summary->stopped_count++;
}

void
invariantsummary_add_audit_row(struct invariantsummary *summary,
                               const json_t *value)
{
    const char *what = json_string_value(json_object_get(value, "what"));
    if (what == NULL) {
        return;
    }
    if (strcmp(what, INVARIANTLOG_VIOLATION) == 0) {
        add_broken(summary, value);
    }
    if (strcmp(what, INVARIANTLOG_TOTALS) == 0) {
        add_totals(summary, value);
    }
}

static enum invariant_verdict
verdict_of(const struct invariantsummary_entry *entry, size_t daemon_count)
{
    if (entry->violations > 0 || entry->recorded > 0) {
        return VERDICT_VIOLATED;
    }
    if (entry->unresponsive > 0 || daemon_count == 0) {
        return VERDICT_UNKNOWN;
    }
    return entry->checks > 0 ? VERDICT_HELD : VERDICT_NOT_CHECKED;
}

void
invariantsummary_finish(struct invariantsummary *summary)
{
    for (int id = 0; id < INVARIANT_COUNT; id++) {
        struct invariantsummary_entry *entry = &summary->entries[id];
        entry->verdict = verdict_of(entry, summary->daemon_count);
    }
}
