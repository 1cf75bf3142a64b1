#include "ctl/promises.h"

#include <string.h>

const char *
promise_verdict_name(enum promise_verdict verdict)
{
    static const char *const names[] = {
        [PROMISE_KEPT] = "kept",
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
promises_add_up(const struct daemon_queries *queries,
                struct promise promises[INVARIANT_COUNT])
{
    for (int id = 0; id < INVARIANT_COUNT; id++) {
        struct promise *promise = &promises[id];
        *promise = (struct promise){.checks = 0};
        for (size_t i = 0; i < queries->count; i++) {
            add_report(promise,
                       find_report(queries->queries[i].answer,
                                   invariant_name((enum invariant)id)));
        }
        promise->verdict = PROMISE_KEPT;
        if (promise->silent > 0 || queries->count == 0) {
            promise->verdict = PROMISE_NOT_KNOWN;
        }
        if (promise->violations > 0) {
            promise->verdict = PROMISE_BROKEN;
        }
    }
}
