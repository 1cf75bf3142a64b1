#include "ctl/ctlwait.h"

#include <inttypes.h>
#include <stdlib.h>

#define POLL_US (200 * US_PER_MS)

void
in_force_count(const struct daemon_queries *queries, uint64_t revision,
               struct in_force *result)
{
    *result = (struct in_force){
        .members = queries->count,
        .missing = json_array(),
    };
    for (size_t i = 0; i < queries->count; i++) {
        const struct daemon_query *query = &queries->queries[i];
        const json_t *number = json_object_get(query->answer, "revision");
        if (json_is_integer(number) &&
            json_integer_value(number) >= (json_int_t)revision) {
            result->current++;
            continue;
        }
        json_array_append_new(result->missing, json_string(query->name));
    }
}

static void
print_result(const struct ctl *ctl, uint64_t revision,
             const struct in_force *in_force)
{
    const bool everywhere = in_force->current == in_force->members;
    if (ctl->options.json) {
        ctl_print_json(json_pack("{s:I, s:b, s:I, s:I, s:O}", "revision",
                                 (json_int_t)revision, "in_force", everywhere,
                                 "members", (json_int_t)in_force->members,
                                 "current", (json_int_t)in_force->current,
                                 "missing", in_force->missing));
        return;
    }
    printf("revision %" PRIu64 " %s on %zu of %zu members\n", revision,
           everywhere ? "in force" : "not in force in time: known",
           in_force->current, in_force->members);
    for (size_t i = 0; i < json_array_size(in_force->missing); i++) {
        printf("  not known of %s\n",
               json_string_value(json_array_get(in_force->missing, i)));
    }
}

/** Queries all live members once. */
static enum ctl_exit
query_members(struct ctl *ctl, uint64_t revision, struct in_force *in_force)
{
    struct member *members;
    size_t count;
    const enum ctl_exit code = daemon_read_members(ctl, &members, &count);
    if (code != CTL_OK) {
        return code;
    }
    struct daemon_queries queries;
    daemon_select_live(members, count, &queries);
    free(members);
    daemon_get_all(ctl, &queries, DAEMON_PATH_STATUS);
    in_force_count(&queries, revision, in_force);
    daemon_queries_clear(&queries);
    return CTL_OK;
}

enum ctl_exit
ctl_wait_in_force(struct ctl *ctl, uint64_t revision)
{
    for (;;) {
        struct in_force in_force;
        const enum ctl_exit code = query_members(ctl, revision, &in_force);
        if (code != CTL_OK) {
            return code;
        }
        const bool everywhere = in_force.current == in_force.members;
        const bool finished = everywhere || ctl_remaining_us(ctl) == 0;
        if (finished) {
            print_result(ctl, revision, &in_force);
        }
        json_decref(in_force.missing);
        if (finished) {
            return everywhere ? CTL_OK : CTL_CHECK_FAILED;
        }
        ctl_sleep(ctl, POLL_US);
    }
}
