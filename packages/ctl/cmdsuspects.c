#include <inttypes.h>
#include <string.h>

#include "ctl/commands.h"
#include "ctl/ctldaemon.h"
#include "ctl/table.h"
#include "store/audit.h"
#include "store/storetxn.h"

#define LIFT_BODY_SIZE 64
#define FINGERPRINT_DIGITS 16

/** Keeps the item with the most crashes for each fingerprint. */
static void
merge_item(json_t *items, json_t *item)
{
    const char *fingerprint =
        json_string_value(json_object_get(item, "fingerprint"));
    if (fingerprint == NULL) {
        return;
    }
    const json_t *known = json_object_get(items, fingerprint);
    const json_int_t crashes =
        json_integer_value(json_object_get(item, "crashes"));
    if (known == NULL ||
        json_integer_value(json_object_get(known, "crashes")) < crashes) {
        json_object_set(items, fingerprint, item);
    }
}

static json_t *
merge_answers(const struct daemon_queries *queries, size_t *unresponsive)
{
    json_t *items = json_object();
    *unresponsive = 0;
    for (size_t i = 0; i < queries->count; i++) {
        const json_t *answer = queries->queries[i].answer;
        *unresponsive += !json_is_array(answer);
        for (size_t j = 0; j < json_array_size(answer); j++) {
            merge_item(items, json_array_get(answer, j));
        }
    }
    return items;
}

static void
print_items(json_t *items)
{
    static const char *const headings[] = {
        "FINGERPRINT",
        "STANDING",
        "CRASHES",
        "SECONDS LEFT",
    };
    struct table *table =
        table_create(headings, sizeof(headings) / sizeof(headings[0]));
    const char *fingerprint;
    json_t *item;
    json_object_foreach (items, fingerprint, item) {
        const char *status =
            json_string_value(json_object_get(item, "standing"));
        table_add_cell(table, "%s", fingerprint);
        table_add_cell(table, "%s", status != NULL ? status : "-");
        table_add_cell(table, "%" JSON_INTEGER_FORMAT,
                       json_integer_value(json_object_get(item, "crashes")));
        table_add_cell(
            table, "%" JSON_INTEGER_FORMAT,
            json_integer_value(json_object_get(item, "remaining_us")) /
                (json_int_t)US_PER_SECOND);
    }
    table_print(table);
    table_destroy(table);
}

static enum ctl_exit
list_suspects(struct ctl *ctl, struct daemon_queries *queries)
{
    size_t unresponsive;
    daemon_get_all(ctl, queries, DAEMON_PATH_SUSPECTS);
    json_t *items = merge_answers(queries, &unresponsive);
    if (ctl->options.json) {
        ctl_print_json(json_pack("{s:I, s:I, s:O}", "daemons",
                                 (json_int_t)queries->count, "silent",
                                 (json_int_t)unresponsive, "suspects", items));
    }
    else {
        print_items(items);
        printf("%zu daemons asked, %zu did not answer\n", queries->count,
               unresponsive);
    }
    json_decref(items);
    return unresponsive == 0 ? CTL_OK : CTL_UNKNOWN;
}

/** Writes the audit row on its own: a lift changes no other row. */
static enum ctl_exit
record_lift(struct ctl *ctl, const char *fingerprint, size_t lifted)
{
    struct store_txn *txn = store_txn_create(random_u64(&ctl->random));
    char row[AUDIT_ROW_NAME_SIZE];
    const struct audit_entry entry = {
        .who = ctl->options.author,
        .what = "lift",
        .subject = fingerprint,
        .why = "operator",
        .result = lifted > 0 ? "lifted" : "nowhere listed",
        .at_us = audit_wall_clock_us(),
    };
    audit_row_name(entry.at_us, store_txn_id(txn), row);
    store_txn_expect(txn, AUDIT_TABLE, row, 0);
    audit_add(txn, &entry);
    const enum ctl_exit code = ctl_commit(ctl, txn);
    store_txn_destroy(txn);
    return code;
}

static enum ctl_exit
lift_suspect(struct ctl *ctl, struct daemon_queries *queries)
{
    const char *fingerprint = ctl->options.arguments[1];
    char body[LIFT_BODY_SIZE];
    snprintf(body, sizeof(body), "{\"lift\":\"%s\"}", fingerprint);
    const struct daemon_request request = {
        .method = "POST",
        .path = DAEMON_PATH_SUSPECTS,
        .body = body,
    };
    daemon_send_all(ctl, queries, &request);
    size_t lifted = 0;
    size_t unresponsive = 0;
    for (size_t i = 0; i < queries->count; i++) {
        const json_t *answer = queries->queries[i].answer;
        lifted += json_is_true(json_object_get(answer, "lifted"));
        unresponsive += answer == NULL;
    }
    if (ctl->options.json) {
        ctl_print_json(
            json_pack("{s:s, s:I, s:I, s:I}", "fingerprint", fingerprint,
                      "daemons", (json_int_t)queries->count, "lifted",
                      (json_int_t)lifted, "silent", (json_int_t)unresponsive));
    }
    else {
        printf("%s lifted on %zu of %zu daemons, %zu did not answer\n",
               fingerprint, lifted, queries->count, unresponsive);
    }
    const enum ctl_exit code = ctl->options.has_store
                                   ? record_lift(ctl, fingerprint, lifted)
                                   : CTL_OK;
    if (code != CTL_OK || unresponsive > 0) {
        return code != CTL_OK ? code : CTL_UNKNOWN;
    }
    return lifted > 0 ? CTL_OK : CTL_FAILED;
}

static bool
fingerprint_valid(const char *text)
{
    return strlen(text) == FINGERPRINT_DIGITS &&
           strspn(text, "0123456789abcdef") == FINGERPRINT_DIGITS;
}

enum ctl_exit
command_suspects(struct ctl *ctl)
{
    const char *action = ctl->options.arguments[0];
    const bool lift = strcmp(action, "lift") == 0;
    if (!lift && strcmp(action, "list") != 0) {
        return ctl_fail_with(ctl, CTL_USAGE, ERROR_USAGE,
                             "suspects %s (expected list or lift)", action);
    }
    if (lift && !fingerprint_valid(ctl->options.arguments[1])) {
        return ctl_fail_with(ctl, CTL_USAGE, ERROR_USAGE,
                             "suspects lift (expected a fingerprint of 16 "
                             "hexadecimal digits)");
    }
    struct daemon_queries queries;
    enum ctl_exit code = daemon_select(ctl, &queries);
    if (code != CTL_OK) {
        return code;
    }
    code = lift ? lift_suspect(ctl, &queries) : list_suspects(ctl, &queries);
    daemon_queries_clear(&queries);
    return code;
}

static void
print_entries(const json_t *entries)
{
    static const char *const headings[] = {"INSTANCE", "ZONE", "HTTP"};
    static const char *const fields[] = {"instance", "zone", "http"};
    const size_t columns = sizeof(headings) / sizeof(headings[0]);
    struct table *table = table_create(headings, columns);
    for (size_t i = 0; i < json_array_size(entries); i++) {
        const json_t *entry = json_array_get(entries, i);
        for (size_t column = 0; column < columns; column++) {
            const char *text =
                json_string_value(json_object_get(entry, fields[column]));
            table_add_cell(table, "%s", text != NULL ? text : "-");
        }
    }
    table_print(table);
    table_destroy(table);
}

enum ctl_exit
command_entries(struct ctl *ctl)
{
    struct daemon_queries queries;
    enum ctl_exit code = daemon_select(ctl, &queries);
    if (code != CTL_OK) {
        return code;
    }
    daemon_get_all(ctl, &queries, DAEMON_PATH_ENTRIES);
    const json_t *entries = NULL;
    for (size_t i = 0; i < queries.count && entries == NULL; i++) {
        entries = queries.queries[i].answer;
    }
    if (!json_is_array(entries)) {
        code = ctl_fail_with(ctl, CTL_UNAVAILABLE, ERROR_HTTP_CONNECT,
                             "no daemon of %zu", queries.count);
    }
    else if (ctl->options.json) {
        ctl_print_json(json_pack("{s:O}", "entries", entries));
    }
    else {
        print_entries(entries);
    }
    daemon_queries_clear(&queries);
    return code;
}
