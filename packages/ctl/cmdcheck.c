#include <inttypes.h>

#include "ctl/commands.h"
#include "ctl/ctlconfig.h"
#include "settings/settings.h"
#include "state/statediff.h"

static enum ctl_exit
check_settings(struct ctl *ctl, const char *name)
{
    struct document_problems problems = {.count = 0};
    struct settings settings;
    if (!settings_load(name, &settings, &problems)) {
        return ctl_fail_problems(ctl, name, &problems);
    }
    if (ctl->options.json) {
        ctl_print_json(json_pack("{s:s, s:i, s:s}", "file", name, "count", 0,
                                 "instance", settings.instance));
        return CTL_OK;
    }
    printf("%s: valid settings of %s in zone %s\n", name, settings.instance,
           settings.zone);
    return CTL_OK;
}

enum ctl_exit
command_check(struct ctl *ctl)
{
    const char *name = ctl->options.arguments[0];
    if (ctl->options.settings) {
        return check_settings(ctl, name);
    }
    json_t *document;
    struct state *state;
    const enum ctl_exit code = ctl_load_state(ctl, name, &document, &state);
    if (code != CTL_OK) {
        return code;
    }
    char digest[STATE_DIGEST_SIZE];
    state_digest_format(state_digest(document), digest);
    if (ctl->options.json) {
        ctl_print_json(json_pack("{s:s, s:i, s:s}", "file", name, "count", 0,
                                 "digest", digest));
    }
    else {
        printf("%s: valid, %zu zones, %zu services, digest %s\n", name,
               state->zone_count, state->service_count, digest);
    }
    state_destroy(state);
    json_decref(document);
    return CTL_OK;
}

/** Compares the file with the newest revision. */
static enum ctl_exit
print_diff(struct ctl *ctl, const struct state *state)
{
    struct ctl_revision current;
    const enum ctl_exit code = ctl_read_revision(ctl, 0, &current);
    if (code != CTL_OK) {
        return code;
    }
    struct state_diff *diff = state_diff_create(current.state, state);
    if (ctl->options.json) {
        ctl_print_json(json_pack("{s:I, s:o}", "revision",
                                 (json_int_t)current.head.revision, "changes",
                                 state_diff_to_json(diff)));
    }
    else {
        state_diff_print(diff, stdout);
        printf("%zu changes against revision %" PRIu64 "\n", diff->count,
               current.head.revision);
    }
    state_diff_destroy(diff);
    ctl_revision_clear(&current);
    return CTL_OK;
}

enum ctl_exit
command_diff(struct ctl *ctl)
{
    json_t *document;
    struct state *state;
    enum ctl_exit code = ctl_load_argument(ctl, &document, &state);
    if (code != CTL_OK) {
        return code;
    }
    code = print_diff(ctl, state);
    state_destroy(state);
    json_decref(document);
    return code;
}

enum ctl_exit
command_get(struct ctl *ctl)
{
    struct ctl_revision revision;
    enum ctl_exit code = ctl_require_store(ctl);
    if (code != CTL_OK) {
        return code;
    }
    code = ctl->options.revision == 0
               ? ctl_read_applied(ctl, &revision)
               : ctl_read_revision(ctl, ctl->options.revision, &revision);
    if (code == CTL_OK) {
        fprintf(stderr, "revision %" PRIu64 " by %s\n", revision.head.revision,
                revision.head.author);
        ctl_print_json(json_incref(revision.document));
        ctl_revision_clear(&revision);
    }
    return code;
}
