#include <inttypes.h>
#include <string.h>

#include "ctl/commands.h"
#include "ctl/ctlconfig.h"
#include "ctl/ctlwait.h"
#include "state/statediff.h"
#include "store/audit.h"
#include "store/storetxn.h"

/** State of command_apply(). */
struct apply_operation {
    struct ctl *ctl;
    const json_t *document;
    const struct state *state;
    struct ctl_revision current;
    struct revision_head next;
    struct state_diff *diff;
};

/** Reports the revision that won. */
static enum ctl_exit
fail_conflict(struct ctl *ctl, const struct revision_head *winner,
              uint64_t base)
{
    return ctl_fail_with(ctl, CTL_CONFLICT, ERROR_STORE_CONFLICT,
                         "revision %" PRIu64 " by %s (digest %s) came first, "
                         "yours is based on %" PRIu64,
                         winner->revision, winner->author, winner->digest,
                         base);
}

/** Writes head, document and audit row in one transaction. */
static struct store_txn *
build_txn(const struct apply_operation *operation, uint64_t id)
{
    const struct revision_head *next = &operation->next;
    struct store_txn *txn = store_txn_create(id);
    char row[REVISION_ROW_NAME_SIZE];
    revision_row_name(next->revision, row);
    store_txn_expect(txn, REVISION_TABLE, REVISION_HEAD_ROW,
                     operation->current.head_version);
    store_txn_put(txn, REVISION_TABLE, REVISION_HEAD_ROW,
                  revision_head_to_json(next));
    store_txn_expect(txn, REVISION_TABLE, row, 0);
    store_txn_put(txn, REVISION_TABLE, row,
                  revision_row_to_json(next, operation->document));
    json_t *before = json_pack("{s:I}", "revision", (json_int_t)next->base);
    json_t *after = json_pack(
        "{s:I, s:s, s:o}", "revision", (json_int_t)next->revision, "digest",
        next->digest, "changes", state_diff_to_json(operation->diff));
    const struct audit_entry entry = {
        .who = next->author,
        .what = "apply",
        .subject = REVISION_TABLE,
        .before = before,
        .after = after,
        .why = "operator",
        .result = "accepted",
        .at_us = next->at_us,
    };
    audit_add(txn, &entry);
    json_decref(before);
    json_decref(after);
    return txn;
}

static void
print_accepted(const struct apply_operation *operation)
{
    const struct revision_head *next = &operation->next;
    if (operation->ctl->options.json) {
        if (!operation->ctl->options.wait) {
            ctl_print_json(
                json_pack("{s:s, s:I, s:I, s:s, s:o}", "result", "accepted",
                          "revision", (json_int_t)next->revision, "base",
                          (json_int_t)next->base, "digest", next->digest,
                          "changes", state_diff_to_json(operation->diff)));
        }
        return;
    }
    state_diff_print(operation->diff, stdout);
    printf("revision %" PRIu64 " accepted, based on %" PRIu64 ", digest %s\n",
           next->revision, next->base, next->digest);
    fflush(stdout);
}

static enum ctl_exit
commit_next(struct apply_operation *operation)
{
    struct ctl *ctl = operation->ctl;
    struct store_txn *txn = build_txn(operation, random_u64(&ctl->random));
    enum ctl_exit code = ctl_commit(ctl, txn);
    store_txn_destroy(txn);
    if (code == CTL_OK) {
        print_accepted(operation);
        return CTL_OK;
    }
    if (code != CTL_CONFLICT) {
        return code;
    }
    struct revision_head winner;
    uint64_t version;
    code = ctl_read_head(ctl, &winner, &version);
    return code == CTL_OK ? fail_conflict(ctl, &winner, operation->next.base)
                          : code;
}

/** Checks the base revision and that no immutable field changes. */
static enum ctl_exit
check_against_current(struct apply_operation *operation)
{
    struct ctl *ctl = operation->ctl;
    const struct ctl_revision *current = &operation->current;
    if (ctl->options.has_base && ctl->options.base != current->head.revision) {
        return fail_conflict(ctl, &current->head, ctl->options.base);
    }
    struct document_problems problems = {.count = 0};
    if (current->state != NULL &&
        !revision_check_immutable(current->state, operation->state,
                                  &problems)) {
        return ctl_fail_problems(ctl, ctl->options.arguments[0], &problems);
    }
    return CTL_OK;
}

static void
print_unchanged(const struct ctl *ctl, const struct revision_head *head)
{
    if (!ctl->options.json) {
        printf("no change, revision %" PRIu64 " stays\n", head->revision);
        fflush(stdout);
        return;
    }
    if (!ctl->options.wait) {
        ctl_print_json(json_pack("{s:s, s:I}", "result", "unchanged",
                                 "revision", (json_int_t)head->revision));
    }
}

/** Commits the next revision, unless nothing would change. */
static enum ctl_exit
apply(struct apply_operation *operation, uint64_t *revision)
{
    const struct ctl *ctl = operation->ctl;
    const struct revision_head *head = &operation->current.head;
    operation->diff =
        state_diff_create(operation->current.state, operation->state);
    if (head->revision > 0 && operation->diff->count == 0) {
        *revision = head->revision;
        print_unchanged(ctl, head);
        return CTL_OK;
    }
    struct revision_head *next = &operation->next;
    next->revision = head->revision + 1;
    next->base = head->revision;
    next->at_us = audit_wall_clock_us();
    state_digest_format(state_digest(operation->document), next->digest);
    snprintf(next->author, sizeof(next->author), "%.*s", STATE_NAME_MAX,
             ctl->options.author);
    *revision = next->revision;
    return commit_next(operation);
}

static enum ctl_exit
apply_document(struct apply_operation *operation)
{
    struct ctl *ctl = operation->ctl;
    uint64_t revision = 0;
    enum ctl_exit code = ctl_read_revision(ctl, 0, &operation->current);
    if (code == CTL_OK) {
        code = check_against_current(operation);
    }
    if (code == CTL_OK) {
        code = apply(operation, &revision);
    }
    if (code == CTL_OK && ctl->options.wait) {
        code = ctl_wait_in_force(ctl, revision);
    }
    state_diff_destroy(operation->diff);
    ctl_revision_clear(&operation->current);
    return code;
}

enum ctl_exit
command_apply(struct ctl *ctl)
{
    json_t *document;
    struct state *state;
    enum ctl_exit code = ctl_load_argument(ctl, &document, &state);
    if (code != CTL_OK) {
        return code;
    }
    struct apply_operation operation = {
        .ctl = ctl,
        .document = document,
        .state = state,
    };
    code = apply_document(&operation);
    state_destroy(state);
    json_decref(document);
    return code;
}
