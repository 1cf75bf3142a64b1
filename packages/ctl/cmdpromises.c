#include <inttypes.h>

#include "ctl/commands.h"
#include "ctl/ctlaudit.h"
#include "ctl/invariantsummary.h"
#include "ctl/table.h"

static void
print_table(const struct invariantsummary *summary)
{
    static const char *const headings[] = {
        "VERDICT", "CHECKS", "BROKEN", "RECORDED", "SILENT", "PROMISE",
    };
    struct table *table =
        table_create(headings, sizeof(headings) / sizeof(headings[0]));
    for (int id = 0; id < INVARIANT_COUNT; id++) {
        const struct invariantsummary_entry *entry = &summary->entries[id];
        table_add_cell(table, "%s", invariant_verdict_name(entry->verdict));
        table_add_cell(table, "%" PRId64, entry->checks);
        table_add_cell(table, "%" PRId64, entry->violations);
        table_add_cell(table, "%" PRId64, entry->recorded);
        table_add_cell(table, "%zu", entry->unresponsive);
        table_add_cell(table, "%s", invariant_text((enum invariant)id));
    }
    table_print(table);
    table_destroy(table);
}

static json_t *
unresponsive_daemons(const struct daemon_queries *queries)
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
print_json(const struct invariantsummary *summary,
           const struct daemon_queries *queries)
{
    json_t *list = json_array();
    for (int id = 0; id < INVARIANT_COUNT; id++) {
        const struct invariantsummary_entry *entry = &summary->entries[id];
        json_array_append_new(
            list, json_pack("{s:s, s:s, s:s, s:I, s:I, s:I, s:I}", "name",
                            invariant_name((enum invariant)id), "text",
                            invariant_text((enum invariant)id), "verdict",
                            invariant_verdict_name(entry->verdict), "checks",
                            (json_int_t)entry->checks, "violations",
                            (json_int_t)entry->violations, "recorded",
                            (json_int_t)entry->recorded, "silent",
                            (json_int_t)entry->unresponsive));
    }
    ctl_print_json(json_pack("{s:I, s:I, s:o, s:o}", "daemons",
                             (json_int_t)queries->count, "ended",
                             (json_int_t)summary->stopped_count, "silent",
                             unresponsive_daemons(queries), "promises", list));
}

static void
print_unresponsive(const struct invariantsummary *summary,
                   const struct daemon_queries *queries)
{
    json_t *names = unresponsive_daemons(queries);
    printf("\n%zu daemons asked, %zu did not answer, %zu ended and left "
           "totals\n",
           queries->count, json_array_size(names), summary->stopped_count);
    for (size_t i = 0; i < json_array_size(names); i++) {
        printf("  no answer from %s\n",
               json_string_value(json_array_get(names, i)));
    }
    json_decref(names);
}

static enum ctl_exit
exit_code(const struct invariantsummary *summary)
{
    enum ctl_exit code = CTL_OK;
    for (int id = 0; id < INVARIANT_COUNT; id++) {
        if (summary->entries[id].verdict == VERDICT_VIOLATED) {
            return CTL_CHECK_FAILED;
        }
        if (summary->entries[id].verdict == VERDICT_UNKNOWN) {
            code = CTL_UNKNOWN;
        }
    }
    return code;
}

/** Adds violations and totals that daemons wrote to the audit trail. */
static enum ctl_exit
add_audit_rows(struct ctl *ctl, struct invariantsummary *summary)
{
    struct ctl_rows rows;
    const enum ctl_exit code =
        ctl_read_audit(ctl, ctl->options.since_s, &rows);
    for (size_t i = 0; i < rows.count; i++) {
        invariantsummary_add_audit_row(summary, rows.rows[i].value);
    }
    ctl_rows_clear(&rows);
    return code;
}

static enum ctl_exit
ask_promises(struct ctl *ctl, struct daemon_queries *queries)
{
    struct invariantsummary summary = {.daemon_count = 0};
    if (!ctl->options.has_daemon) {
        const enum ctl_exit code = add_audit_rows(ctl, &summary);
        if (code != CTL_OK) {
            return code;
        }
    }
    daemon_get_all(ctl, queries, DAEMON_PATH_PROMISES);
    invariantsummary_add_answers(&summary, queries);
    invariantsummary_finish(&summary);
    if (ctl->options.json) {
        print_json(&summary, queries);
    }
    else {
        print_table(&summary);
        print_unresponsive(&summary, queries);
    }
    return exit_code(&summary);
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
