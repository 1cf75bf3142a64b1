#include "ctl/promises.h"

#include <string.h>

#include "store/invariantlog.h"

const char *
promise_verdict_name(enum promise_verdict verdict)
{
    static const char *const names[] = {
        [PROMISE_KEPT] = "kept",
        [PROMISE_NOT_CHECKED] = "not checked",
        [PROMISE_BROKEN] = "broken",
        [PROMISE_NOT_KNOWN] = "not known",
    };
    return names[verdict];
}

/** What one daemon says of one promise, or NULL. */
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
add_report(struct promise *promise, const json_t *report)
{
    const json_t *checks = json_object_get(report, "checks");
    const json_t *violations = json_object_get(report, "violations");
    if (!json_is_integer(checks) || !json_is_integer(violations)) {
        promise->silent++;
        return;
    }
    promise->checks += json_integer_value(checks);
    promise->violations += json_integer_value(violations);
}

void
promises_add_answers(struct promises *promises,
                     const struct daemon_queries *queries)
{
    promises->asked += queries->count;
    for (int id = 0; id < INVARIANT_COUNT; id++) {
        for (size_t i = 0; i < queries->count; i++) {
            add_report(&promises->list[id],
                       find_report(queries->queries[i].answer,
                                   invariant_name((enum invariant)id)));
        }
    }
}

static void
add_broken(struct promises *promises, const json_t *value)
{
    const char *name = json_string_value(json_object_get(value, "subject"));
    const json_t *after = json_object_get(value, "after");
    for (int id = 0; name != NULL && id < INVARIANT_COUNT; id++) {
        if (strcmp(invariant_name((enum invariant)id), name) == 0) {
            promises->list[id].recorded +=
                json_integer_value(json_object_get(after, "count"));
        }
    }
}

/** Violations among the totals have rows of their own. */
static void
add_totals(struct promises *promises, const json_t *value)
{
    const json_t *after = json_object_get(value, "after");
    for (int id = 0; id < INVARIANT_COUNT; id++) {
        const json_t *total =
            json_object_get(after, invariant_name((enum invariant)id));
        promises->list[id].checks +=
            json_integer_value(json_object_get(total, "checks"));
    }
    promises->ended++;
}

void
promises_add_record(struct promises *promises, const json_t *value)
{
    const char *what = json_string_value(json_object_get(value, "what"));
    if (what == NULL) {
        return;
    }
    if (strcmp(what, INVARIANTLOG_VIOLATION) == 0) {
        add_broken(promises, value);
    }
    if (strcmp(what, INVARIANTLOG_TOTALS) == 0) {
        add_totals(promises, value);
    }
}

static enum promise_verdict
decide(const struct promise *promise, size_t asked)
{
    if (promise->violations > 0 || promise->recorded > 0) {
        return PROMISE_BROKEN;
    }
    if (promise->silent > 0 || asked == 0) {
        return PROMISE_NOT_KNOWN;
    }
    return promise->checks > 0 ? PROMISE_KEPT : PROMISE_NOT_CHECKED;
}

void
promises_decide(struct promises *promises)
{
    for (int id = 0; id < INVARIANT_COUNT; id++) {
        struct promise *promise = &promises->list[id];
        promise->verdict = decide(promise, promises->asked);
    }
}
