#include <inttypes.h>

#include "ctl/commands.h"
#include "ctl/ctlaudit.h"
#include "ctl/promises.h"
#include "ctl/table.h"

static void
print_table(const struct promises *promises)
{
    static const char *const headings[] = {
        "VERDICT", "CHECKS", "BROKEN", "RECORDED", "SILENT", "PROMISE",
    };
    struct table *table =
        table_create(headings, sizeof(headings) / sizeof(headings[0]));
    for (int id = 0; id < INVARIANT_COUNT; id++) {
        const struct promise *promise = &promises->list[id];
        table_cell(table, "%s", promise_verdict_name(promise->verdict));
        table_cell(table, "%" PRId64, promise->checks);
        table_cell(table, "%" PRId64, promise->violations);
        table_cell(table, "%" PRId64, promise->recorded);
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
print_json(const struct promises *promises,
           const struct daemon_queries *queries)
{
    json_t *list = json_array();
    for (int id = 0; id < INVARIANT_COUNT; id++) {
        const struct promise *promise = &promises->list[id];
        json_array_append_new(
            list, json_pack("{s:s, s:s, s:s, s:I, s:I, s:I, s:I}", "name",
                            invariant_name((enum invariant)id), "text",
                            invariant_text((enum invariant)id), "verdict",
                            promise_verdict_name(promise->verdict), "checks",
                            (json_int_t)promise->checks, "violations",
                            (json_int_t)promise->violations, "recorded",
                            (json_int_t)promise->recorded, "silent",
                            (json_int_t)promise->silent));
    }
    ctl_print_json(json_pack("{s:I, s:I, s:o, s:o}", "daemons",
                             (json_int_t)queries->count, "ended",
                             (json_int_t)promises->ended, "silent",
                             silent_daemons(queries), "promises", list));
}

static void
print_silent(const struct promises *promises,
             const struct daemon_queries *queries)
{
    json_t *names = silent_daemons(queries);
    printf("\n%zu daemons asked, %zu did not answer, %zu ended and left "
           "totals\n",
           queries->count, json_array_size(names), promises->ended);
    for (size_t i = 0; i < json_array_size(names); i++) {
        printf("  no answer from %s\n",
               json_string_value(json_array_get(names, i)));
    }
    json_decref(names);
}

static enum ctl_exit
exit_code(const struct promises *promises)
{
    enum ctl_exit code = CTL_OK;
    for (int id = 0; id < INVARIANT_COUNT; id++) {
        if (promises->list[id].verdict == PROMISE_BROKEN) {
            return CTL_NOT_KEPT;
        }
        if (promises->list[id].verdict == PROMISE_NOT_KNOWN) {
            code = CTL_UNKNOWN;
        }
    }
    return code;
}

/** Adds what daemons wrote to the audit trail. */
static enum ctl_exit
add_records(struct ctl *ctl, struct promises *promises)
{
    struct ctl_rows rows;
    const enum ctl_exit code =
        ctl_read_audit(ctl, ctl->options.since_s, &rows);
    for (size_t i = 0; i < rows.count; i++) {
        promises_add_record(promises, rows.rows[i].value);
    }
    ctl_rows_clear(&rows);
    return code;
}

static enum ctl_exit
ask_promises(struct ctl *ctl, struct daemon_queries *queries)
{
    struct promises promises = {.asked = 0};
    if (!ctl->options.has_daemon) {
        const enum ctl_exit code = add_records(ctl, &promises);
        if (code != CTL_OK) {
            return code;
        }
    }
    daemon_get(ctl, queries, DAEMON_PATH_PROMISES);
    promises_add_answers(&promises, queries);
    promises_decide(&promises);
    if (ctl->options.json) {
        print_json(&promises, queries);
    }
    else {
        print_table(&promises);
        print_silent(&promises, queries);
    }
    return exit_code(&promises);
}

enum ctl_exit
command_promises(struct ctl *ctl)
{
    struct daemon_queries queries;
    enum ctl_exit code = daemon_select(ctl, &queries);
    if (code == CTL_OK) {
        code = ask_promises(ctl, &queries);
        daemon_queries_clear(&queries);
    }
    return code;
}
