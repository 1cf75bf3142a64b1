/**
 * @file
 * Invariants that the program checks at run time. Each violation is counted
 * (for the whole process), logged and reported to operators.
 */
#ifndef CHESTNUTGAP_BASE_INVARIANT_H
#define CHESTNUTGAP_BASE_INVARIANT_H

#include <stdbool.h>
#include <stdint.h>

/* clang-format off */
#define INVARIANTS(X)                                                         \
    X(INVARIANT_ONE_OWNER, "one_owner",                                       \
      "a key has at most one owner at any time")                              \
    X(INVARIANT_EPOCH_RISES, "epoch_rises",                                   \
      "the epoch of a shard only rises")                                      \
    X(INVARIANT_REVISION_RISES, "revision_rises",                             \
      "the revision in force only rises")                                     \
    X(INVARIANT_LEASE_HELD, "lease_held",                                     \
      "no request is dispatched after the lease's end")                       \
    X(INVARIANT_ZONE_OUT, "zone_out",                                         \
      "no new work in an availability zone that is out")                      \
    X(INVARIANT_LEAVING, "leaving",                                           \
      "no new work on a leaving target")                                      \
    X(INVARIANT_LIMIT, "limit",                                               \
      "requests in flight never exceed the limit")                            \
    X(INVARIANT_NOT_RUN, "not_run",                                           \
      "a refusal as not run is given only if no byte reached a target")       \
    X(INVARIANT_AT_MOST_ONCE, "at_most_once",                                 \
      "a non-idempotent request is dispatched at most once")                  \
    X(INVARIANT_OWN_ANSWER, "own_answer",                                     \
      "a caller gets the whole answer to its own request")                    \
    X(INVARIANT_REQUEST_STATE, "request_state",                               \
      "a request moves only along the written state machine")                 \
    X(INVARIANT_GRACEFUL_STOP, "graceful_stop",                               \
      "a planned stop cuts no request")
/* clang-format on */

enum invariant {
#define INVARIANT_ENUM(id, name, text) id,
    INVARIANTS(INVARIANT_ENUM)
#undef INVARIANT_ENUM
    INVARIANT_COUNT
};

/**
 * Counts a check. A violation is logged as an error with the subject and
 * passed to the handler set by invariant_set_handler().
 *
 * @return held, for use in a condition
 */
bool invariant_check(enum invariant id, bool held, const char *subject);

/** Called for each violation; tests use it to stop the run. */
typedef void (*invariant_handler)(void *ctx, enum invariant id,
                                  const char *subject);

void invariant_set_handler(invariant_handler handler, void *ctx);

int64_t invariant_checks(enum invariant id);
int64_t invariant_violations(enum invariant id);
const char *invariant_name(enum invariant id);
const char *invariant_text(enum invariant id);

/** Resets all counts. For tests. */
void invariant_reset(void);

#endif
