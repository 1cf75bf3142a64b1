#include <inttypes.h>
#include <stdlib.h>
#include <time.h>

#include "ctl/commands.h"
#include "ctl/ctlaudit.h"
#include "ctl/table.h"
#include "store/audit.h"

#define TIME_TEXT_SIZE 32

static void
format_time(int64_t at_us, char text[TIME_TEXT_SIZE])
{
    const time_t seconds = (time_t)(at_us / US_PER_SECOND);
    struct tm utc;
    gmtime_r(&seconds, &utc);
    const size_t length = strftime(text, TIME_TEXT_SIZE, "%FT%T", &utc);
    snprintf(text + length, TIME_TEXT_SIZE - length, ".%03dZ",
             (int)(at_us % US_PER_SECOND / US_PER_MS));
}

static const char *
string_field(const json_t *value, const char *field)
{
    const char *text = json_string_value(json_object_get(value, field));
    return text != NULL ? text : "-";
}

static void
print_rows(const struct ctl_rows *rows, size_t first)
{
    static const char *const headings[] = {
        "TIME", "WHO", "WHAT", "SUBJECT", "WHY", "RESULT",
    };
    struct table *table =
        table_create(headings, sizeof(headings) / sizeof(headings[0]));
    for (size_t i = first; i < rows->count; i++) {
        const json_t *value = rows->rows[i].value;
        char time_text[TIME_TEXT_SIZE];
        format_time(json_integer_value(json_object_get(value, "at")),
                    time_text);
        table_add_cell(table, "%s", time_text);
        table_add_cell(table, "%s", string_field(value, "who"));
        table_add_cell(table, "%s", string_field(value, "what"));
        table_add_cell(table, "%s", string_field(value, "subject"));
        table_add_cell(table, "%s", string_field(value, "why"));
        table_add_cell(table, "%s", string_field(value, "result"));
    }
    table_print(table);
    table_destroy(table);
}

static void
print_json(const struct ctl_rows *rows, size_t first)
{
    json_t *list = json_array();
    for (size_t i = first; i < rows->count; i++) {
        json_t *entry = json_copy(rows->rows[i].value);
        json_object_set_new(entry, "row", json_string(rows->rows[i].name));
        json_array_append_new(list, entry);
    }
    ctl_print_json(json_pack("{s:o}", "audit", list));
}

enum ctl_exit
ctl_read_audit(struct ctl *ctl, int64_t since_s, struct ctl_rows *rows)
{
    char after[AUDIT_ROW_NAME_SIZE];
    audit_row_name(audit_wall_clock_us() - since_s * US_PER_SECOND, 0, after);
    const struct ctl_scan scan = {.table = AUDIT_TABLE, .after = after};
    return ctl_scan(ctl, &scan, rows);
}

enum ctl_exit
command_audit(struct ctl *ctl)
{
    struct ctl_rows rows;
    enum ctl_exit code = ctl_require_store(ctl);
    if (code == CTL_OK) {
        code = ctl_read_audit(ctl, ctl->options.since_s, &rows);
    }
    if (code != CTL_OK) {
        return code;
    }
    const size_t limit = ctl->options.limit;
    const size_t first =
        limit > 0 && rows.count > limit ? rows.count - limit : 0;
    if (ctl->options.json) {
        print_json(&rows, first);
    }
    else {
        print_rows(&rows, first);
    }
    ctl_rows_clear(&rows);
    return CTL_OK;
}
