#include "ctl/ctlconfig.h"

#include <inttypes.h>

enum ctl_exit
ctl_load_state(struct ctl *ctl, const char *name, json_t **document,
               struct state **state)
{
    struct document_problems problems = {.count = 0};
    *document = document_load(name, &problems);
    *state = *document != NULL ? state_parse(*document, &problems) : NULL;
    if (*state != NULL) {
        return CTL_OK;
    }
    json_decref(*document);
    *document = NULL;
    return ctl_fail_problems(ctl, name, &problems);
}

enum ctl_exit
ctl_load_argument(struct ctl *ctl, json_t **document, struct state **state)
{
    const enum ctl_exit code = ctl_require_store(ctl);
    if (code != CTL_OK) {
        return code;
    }
    return ctl_load_state(ctl, ctl->options.arguments[0], document, state);
}

enum ctl_exit
ctl_read_head(struct ctl *ctl, struct revision_head *head, uint64_t *version)
{
    struct ctl_row row;
    enum ctl_exit code =
        ctl_read(ctl, REVISION_TABLE, REVISION_HEAD_ROW, &row);
    if (code != CTL_OK) {
        return code;
    }
    struct error err = {.code = ERROR_NONE};
    if (!revision_head_parse(row.value, head, &err)) {
        code = ctl_fail(ctl, CTL_FAILED, &err);
    }
    *version = row.version;
    ctl_row_clear(&row);
    return code;
}

/** Reads the document of a revision. */
static enum ctl_exit
read_document(struct ctl *ctl, uint64_t revision, struct ctl_revision *result)
{
    char name[REVISION_ROW_NAME_SIZE];
    struct ctl_row row;
    revision_row_name(revision, name);
    const enum ctl_exit code = ctl_read(ctl, REVISION_TABLE, name, &row);
    if (code != CTL_OK) {
        return code;
    }
    if (row.value == NULL) {
        return ctl_fail_with(ctl, CTL_FAILED, ERROR_FIELD_REFERENCE,
                             "revision %" PRIu64, revision);
    }
    struct error err = {.code = ERROR_NONE};
    json_t *document = revision_row_document(row.value, &result->head, &err);
    result->document = json_incref(document);
    ctl_row_clear(&row);
    if (result->document == NULL) {
        return ctl_fail(ctl, CTL_FAILED, &err);
    }
    struct document_problems problems = {.count = 0};
    result->state = state_parse(result->document, &problems);
    return result->state != NULL ? CTL_OK
                                 : ctl_fail_problems(ctl, name, &problems);
}

enum ctl_exit
ctl_read_revision(struct ctl *ctl, uint64_t revision,
                  struct ctl_revision *result)
{
    *result = (struct ctl_revision){.document = NULL};
    enum ctl_exit code =
        ctl_read_head(ctl, &result->head, &result->head_version);
    if (code != CTL_OK || (result->head.revision == 0 && revision == 0)) {
        return code;
    }
    return read_document(ctl, revision != 0 ? revision : result->head.revision,
                         result);
}

void
ctl_revision_clear(struct ctl_revision *revision)
{
    json_decref(revision->document);
    state_destroy(revision->state);
    *revision = (struct ctl_revision){.document = NULL};
}

enum ctl_exit
ctl_read_applied(struct ctl *ctl, struct ctl_revision *result)
{
    const enum ctl_exit code = ctl_read_revision(ctl, 0, result);
    if (code == CTL_OK && result->state == NULL) {
        return ctl_fail_with(ctl, CTL_FAILED, ERROR_FIELD_REFERENCE,
                             "nothing was applied yet");
    }
    return code;
}
