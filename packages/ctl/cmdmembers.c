#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "ctl/commands.h"
#include "ctl/ctlconfig.h"
#include "ctl/ctldaemon.h"
#include "ctl/ctlwait.h"
#include "ctl/table.h"

#define GUARDIANS_TEXT_SIZE 256

static void
format_guardians(const struct guardian_set *set, char *text, size_t size)
{
    size_t length = 0;
    text[0] = '\0';
    for (size_t i = 0; i < set->count && length < size; i++) {
        length += (size_t)snprintf(text + length, size - length, "%s%s",
                                   i > 0 ? "," : "", set->refs[i].instance);
    }
}

static void
print_members(const struct member *members, size_t count)
{
    static const char *const headings[] = {
        "INSTANCE", "ZONE", "SERVICE", "STATE", "HTTP", "RPC", "GUARDIANS",
    };
    struct table *table =
        table_create(headings, sizeof(headings) / sizeof(headings[0]));
    for (size_t i = 0; i < count; i++) {
        const struct member *member = &members[i];
        char text[ADDRESS_TEXT_SIZE];
        char guardians[GUARDIANS_TEXT_SIZE];
        format_guardians(&member->guardians, guardians, sizeof(guardians));
        table_add_cell(table, "%s", member->self.instance);
        table_add_cell(table, "%s", member->zone);
        table_add_cell(table, "%s",
                       member->service[0] != '\0' ? member->service : "-");
        table_add_cell(table, "%s", member_state_name(member->state));
        table_add_cell(table, "%s", address_format(&member->http, text));
        table_add_cell(table, "%s", address_format(&member->rpc, text));
        table_add_cell(table, "%s", guardians[0] != '\0' ? guardians : "-");
    }
    table_print(table);
    table_destroy(table);
}

enum ctl_exit
command_members(struct ctl *ctl)
{
    struct member *members;
    size_t count;
    enum ctl_exit code = ctl_require_store(ctl);
    if (code == CTL_OK) {
        code = daemon_read_members(ctl, &members, &count);
    }
    if (code != CTL_OK) {
        return code;
    }
    if (ctl->options.json) {
        json_t *list = json_array();
        for (size_t i = 0; i < count; i++) {
            json_array_append_new(list, member_to_json(&members[i]));
        }
        ctl_print_json(json_pack("{s:o}", "members", list));
    }
    else {
        print_members(members, count);
    }
    free(members);
    return CTL_OK;
}

/** Status of the whole system. */
struct status {
    struct ctl_revision current;
    struct member *members;
    size_t member_count;
    struct daemon_queries queries;
    struct in_force in_force;
};

static size_t
count_members(const struct status *status, const char *zone, bool live)
{
    size_t count = 0;
    for (size_t i = 0; i < status->member_count; i++) {
        const struct member *member = &status->members[i];
        count +=
            strcmp(member->zone, zone) == 0 && member_is_live(member) == live;
    }
    return count;
}

static void
print_zones(const struct status *status)
{
    static const char *const headings[] = {
        "ZONE", "REGION", "DECLARED", "LIVE", "GONE",
    };
    struct table *table =
        table_create(headings, sizeof(headings) / sizeof(headings[0]));
    const struct state *state = status->current.state;
    for (size_t i = 0; state != NULL && i < state->zone_count; i++) {
        const struct state_zone *zone = &state->zones[i];
        table_add_cell(table, "%s", zone->name);
        table_add_cell(table, "%s", zone->region);
        table_add_cell(table, "%s", zone->out ? "out" : "in");
        table_add_cell(table, "%zu", count_members(status, zone->name, true));
        table_add_cell(table, "%zu", count_members(status, zone->name, false));
    }
    table_print(table);
    table_destroy(table);
}

static void
print_daemons(const struct daemon_queries *queries)
{
    static const char *const headings[] = {
        "INSTANCE", "ANSWERS", "REVISION", "DRAINING", "LOAD",
    };
    struct table *table =
        table_create(headings, sizeof(headings) / sizeof(headings[0]));
    for (size_t i = 0; i < queries->count; i++) {
        const struct daemon_query *query = &queries->queries[i];
        const json_t *answer = query->answer;
        const json_t *load = json_object_get(answer, "load");
        char *load_text = json_dumps(load, JSON_ENCODE_ANY | JSON_COMPACT);
        table_add_cell(table, "%s", query->name);
        table_add_cell(table, "%s", answer != NULL ? "yes" : "no");
        table_add_cell(
            table, "%" JSON_INTEGER_FORMAT,
            json_integer_value(json_object_get(answer, "revision")));
        table_add_cell(
            table, "%s",
            json_is_true(json_object_get(answer, "draining")) ? "yes" : "no");
        table_add_cell(table, "%s", load_text != NULL ? load_text : "-");
        free(load_text);
    }
    table_print(table);
    table_destroy(table);
}

static json_t *
answers_to_json(const struct daemon_queries *queries)
{
    json_t *answers = json_object();
    for (size_t i = 0; i < queries->count; i++) {
        const struct daemon_query *query = &queries->queries[i];
        json_t *answer =
            query->answer != NULL ? json_incref(query->answer) : json_null();
        json_object_set_new(answers, query->name, answer);
    }
    return answers;
}

static void
print_status(const struct ctl *ctl, const struct status *status)
{
    const struct revision_head *head = &status->current.head;
    const struct in_force *in_force = &status->in_force;
    if (ctl->options.json) {
        ctl_print_json(json_pack(
            "{s:o, s:I, s:I, s:O, s:o}", "head", revision_head_to_json(head),
            "members", (json_int_t)in_force->members, "current",
            (json_int_t)in_force->current, "missing", in_force->missing,
            "answers", answers_to_json(&status->queries)));
        return;
    }
    if (head->revision == 0) {
        printf("nothing was applied yet\n\n");
    }
    else {
        printf("revision %" PRIu64
               " by %s, in force on %zu of %zu members\n\n",
               head->revision, head->author, in_force->current,
               in_force->members);
    }
    print_zones(status);
    printf("\n");
    print_daemons(&status->queries);
}

/** Queries one daemon, without the store. */
static enum ctl_exit
status_of_daemon(struct ctl *ctl)
{
    struct daemon_queries queries;
    enum ctl_exit code = daemon_select(ctl, &queries);
    if (code != CTL_OK) {
        return code;
    }
    daemon_get_all(ctl, &queries, DAEMON_PATH_STATUS);
    if (queries.queries[0].answer == NULL) {
        code = ctl_fail_with(ctl, CTL_UNAVAILABLE, ERROR_HTTP_CONNECT, "%s",
                             queries.queries[0].name);
    }
    else if (ctl->options.json) {
        ctl_print_json(json_incref(queries.queries[0].answer));
    }
    else {
        print_daemons(&queries);
    }
    daemon_queries_clear(&queries);
    return code;
}

enum ctl_exit
command_status(struct ctl *ctl)
{
    struct status status = {.members = NULL};
    if (ctl->options.has_daemon) {
        return status_of_daemon(ctl);
    }
    enum ctl_exit code = ctl_require_store(ctl);
    if (code == CTL_OK) {
        code = ctl_read_revision(ctl, 0, &status.current);
    }
    if (code == CTL_OK) {
        code = daemon_read_members(ctl, &status.members, &status.member_count);
    }
    if (code == CTL_OK) {
        daemon_select_live(status.members, status.member_count,
                           &status.queries);
        daemon_get_all(ctl, &status.queries, DAEMON_PATH_STATUS);
        in_force_count(&status.queries, status.current.head.revision,
                       &status.in_force);
        print_status(ctl, &status);
        json_decref(status.in_force.missing);
        daemon_queries_clear(&status.queries);
    }
    free(status.members);
    ctl_revision_clear(&status.current);
    return code;
}
