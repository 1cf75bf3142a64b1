#include <inttypes.h>

#include "ctl/commands.h"
#include "ctl/promises.h"
#include "ctl/table.h"

static void
print_table(const struct promise promises[INVARIANT_COUNT])
{
    static const char *const headings[] = {
        "VERDICT", "CHECKS", "BROKEN", "SILENT", "PROMISE",
    };
    struct table *table =
        table_create(headings, sizeof(headings) / sizeof(headings[0]));
    for (int id = 0; id < INVARIANT_COUNT; id++) {
        const struct promise *promise = &promises[id];
        table_cell(table, "%s", promise_verdict_name(promise->verdict));
        table_cell(table, "%" PRId64, promise->checks);
        table_cell(table, "%" PRId64, promise->violations);
        table_cell(table, "%zu", promise->silent);
        table_cell(table, "%s", invariant_text((enum invariant)id));
    }
    table_print(table);
    table_destroy(table);
}

/** Names of the daemons that did not answer. */
static json_t *
silent_daemons(const struct daemon_queries *queries)
{
    json_t *names = json_array();
    for (size_t i = 0; i < queries->count; i++) {
        if (queries->queries[i].answer == NULL) {
            json_array_append_new(names,
                                  json_string(queries->queries[i].name));
        }
    }
    return names;
}

static void
print_json(const struct promise promises[INVARIANT_COUNT],
           const struct daemon_queries *queries)
{
    json_t *list = json_array();
    for (int id = 0; id < INVARIANT_COUNT; id++) {
        const struct promise *promise = &promises[id];
        json_array_append_new(
            list, json_pack("{s:s, s:s, s:s, s:I, s:I, s:I}", "name",
                            invariant_name((enum invariant)id), "text",
                            invariant_text((enum invariant)id), "verdict",
                            promise_verdict_name(promise->verdict), "checks",
                            (json_int_t)promise->checks, "violations",
                            (json_int_t)promise->violations, "silent",
                            (json_int_t)promise->silent));
    }
    ctl_print_json(json_pack("{s:I, s:o, s:o}", "daemons",
                             (json_int_t)queries->count, "silent",
                             silent_daemons(queries), "promises", list));
}

static void
print_silent(const struct daemon_queries *queries)
{
    json_t *names = silent_daemons(queries);
    printf("\n%zu daemons asked, %zu did not answer\n", queries->count,
           json_array_size(names));
    for (size_t i = 0; i < json_array_size(names); i++) {
        printf("  no answer from %s\n",
               json_string_value(json_array_get(names, i)));
    }
    json_decref(names);
}

static enum ctl_exit
exit_code(const struct promise promises[INVARIANT_COUNT])
{
    enum ctl_exit code = CTL_OK;
    for (int id = 0; id < INVARIANT_COUNT; id++) {
        if (promises[id].verdict == PROMISE_BROKEN) {
            return CTL_NOT_KEPT;
        }
        if (promises[id].verdict == PROMISE_NOT_KNOWN) {
            code = CTL_UNKNOWN;
        }
    }
    return code;
}

enum ctl_exit
command_promises(struct ctl *ctl)
{
    struct daemon_queries queries;
    const enum ctl_exit code = daemon_select(ctl, &queries);
    if (code != CTL_OK) {
        return code;
    }
    struct promise promises[INVARIANT_COUNT];
    daemon_get(ctl, &queries, DAEMON_PATH_PROMISES);
    promises_add_up(&queries, promises);
    if (ctl->options.json) {
        print_json(promises, &queries);
    }
    else {
        print_table(promises);
        print_silent(&queries);
    }
    daemon_queries_clear(&queries);
    return exit_code(promises);
}
