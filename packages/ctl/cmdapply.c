#include <inttypes.h>
#include <string.h>

#include "ctl/commands.h"
#include "ctl/ctlconfig.h"
#include "ctl/ctlwait.h"
#include "state/statediff.h"
#include "store/audit.h"
#include "store/storetxn.h"

/** An application under way. */
struct applying {
    struct ctl *ctl;
    const json_t *document;
    const struct state *state;
    struct ctl_revision current;
    struct revision_head next;
    struct state_diff *diff;
};

/** Tells who came first. */
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

/** The transaction: head, document and audit row, or nothing. */
static struct store_txn *
build_txn(const struct applying *applying, uint64_t id)
{
    const struct revision_head *next = &applying->next;
    struct store_txn *txn = store_txn_create(id);
    char row[REVISION_ROW_NAME_SIZE];
    revision_row_name(next->revision, row);
    store_txn_expect(txn, REVISION_TABLE, REVISION_HEAD_ROW,
                     applying->current.head_version);
    store_txn_put(txn, REVISION_TABLE, REVISION_HEAD_ROW,
                  revision_head_to_json(next));
    store_txn_expect(txn, REVISION_TABLE, row, 0);
    store_txn_put(txn, REVISION_TABLE, row,
                  revision_row_to_json(next, applying->document));
    json_t *before = json_pack("{s:I}", "revision", (json_int_t)next->base);
    json_t *after = json_pack(
        "{s:I, s:s, s:o}", "revision", (json_int_t)next->revision, "digest",
        next->digest, "changes", state_diff_to_json(applying->diff));
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
print_accepted(const struct applying *applying)
{
    const struct revision_head *next = &applying->next;
    if (applying->ctl->options.json) {
        if (!applying->ctl->options.wait) {
            ctl_print_json(
                json_pack("{s:s, s:I, s:I, s:s, s:o}", "result", "accepted",
                          "revision", (json_int_t)next->revision, "base",
                          (json_int_t)next->base, "digest", next->digest,
                          "changes", state_diff_to_json(applying->diff)));
        }
        return;
    }
    state_diff_print(applying->diff, stdout);
    printf("revision %" PRIu64 " accepted, based on %" PRIu64 ", digest %s\n",
           next->revision, next->base, next->digest);
    fflush(stdout);
}

static enum ctl_exit
commit_next(struct applying *applying)
{
    struct ctl *ctl = applying->ctl;
    struct store_txn *txn = build_txn(applying, random_u64(&ctl->random));
    enum ctl_exit code = ctl_commit(ctl, txn);
    store_txn_destroy(txn);
    if (code == CTL_OK) {
        print_accepted(applying);
        return CTL_OK;
    }
    if (code != CTL_CONFLICT) {
        return code;
    }
    struct revision_head winner;
    uint64_t version;
    code = ctl_read_head(ctl, &winner, &version);
    return code == CTL_OK ? fail_conflict(ctl, &winner, applying->next.base)
                          : code;
}

/** Checks the base and what may not change between revisions. */
static enum ctl_exit
check_against_current(struct applying *applying)
{
    struct ctl *ctl = applying->ctl;
    const struct ctl_revision *current = &applying->current;
    if (ctl->options.has_base && ctl->options.base != current->head.revision) {
        return fail_conflict(ctl, &current->head, ctl->options.base);
    }
    struct document_problems problems = {.count = 0};
    if (current->state != NULL &&
        !revision_check_immutable(current->state, applying->state,
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

/** Writes the next revision, unless nothing would change. */
static enum ctl_exit
apply(struct applying *applying, uint64_t *revision)
{
    const struct ctl *ctl = applying->ctl;
    const struct revision_head *head = &applying->current.head;
    applying->diff =
        state_diff_create(applying->current.state, applying->state);
    if (head->revision > 0 && applying->diff->count == 0) {
        *revision = head->revision;
        print_unchanged(ctl, head);
        return CTL_OK;
    }
    struct revision_head *next = &applying->next;
    next->revision = head->revision + 1;
    next->base = head->revision;
    next->at_us = audit_wall_clock_us();
    state_digest_format(state_digest(applying->document), next->digest);
    snprintf(next->author, sizeof(next->author), "%.*s", STATE_NAME_MAX,
             ctl->options.author);
    *revision = next->revision;
    return commit_next(applying);
}

static enum ctl_exit
apply_document(struct applying *applying)
{
    struct ctl *ctl = applying->ctl;
    uint64_t revision = 0;
    enum ctl_exit code = ctl_read_revision(ctl, 0, &applying->current);
    if (code == CTL_OK) {
        code = check_against_current(applying);
    }
    if (code == CTL_OK) {
        code = apply(applying, &revision);
    }
    if (code == CTL_OK && ctl->options.wait) {
        code = ctl_wait_in_force(ctl, revision);
    }
    state_diff_destroy(applying->diff);
    ctl_revision_clear(&applying->current);
    return code;
}

enum ctl_exit
command_apply(struct ctl *ctl)
{
    json_t *document;
    struct state *state;
    enum ctl_exit code = ctl_need_store(ctl);
    if (code == CTL_OK) {
        code =
            ctl_load_state(ctl, ctl->options.arguments[0], &document, &state);
    }
    if (code != CTL_OK) {
        return code;
    }
    struct applying applying = {
        .ctl = ctl,
        .document = document,
        .state = state,
    };
    code = apply_document(&applying);
    state_destroy(state);
    json_decref(document);
    return code;
}
