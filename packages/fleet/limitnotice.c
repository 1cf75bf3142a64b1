#include "fleet/limitnotice.h"

bool
limitnotice_is_valid(double per_s)
{
    return per_s >= 0 && per_s <= LIMITNOTICE_MAX_PER_S;
}

const char *
limitnotice_source_name(enum limitnotice_source source)
{
    static const char *const names[] = {
        [LIMITNOTICE_ANSWER] = "answer",
        [LIMITNOTICE_HEALTH] = "health",
        [LIMITNOTICE_INSTANCE] = "instance",
    };
    return names[source];
}

/** True if the statement allows more than what is in force. */
static bool
is_higher(const struct limitnotice *notice,
          const struct limitnotice_statement *statement)
{
    return notice->limited &&
           (!statement->limited || statement->per_s > notice->per_s);
}

static bool
is_equal(const struct limitnotice *notice,
         const struct limitnotice_statement *statement)
{
    return notice->limited == statement->limited &&
           (!notice->limited || notice->per_s == statement->per_s);
}

static bool
is_acceptable(const struct limitnotice *notice,
              const struct limitnotice_statement *statement)
{
    if (statement->source == LIMITNOTICE_INSTANCE) {
        return !notice->heard && statement->limited &&
               !is_higher(notice, statement);
    }
    if (statement->source == LIMITNOTICE_HEALTH && !statement->limited &&
        !notice->health_names) {
        return false;
    }
    if (!notice->heard) {
        return true;
    }
    return statement->sent_us >=
           (is_higher(notice, statement) ? notice->heard_us : notice->sent_us);
}

/** Puts a statement in force. */
static enum limitnotice_change
accept(struct limitnotice *notice,
       const struct limitnotice_statement *statement)
{
    const bool was_limited = notice->limited;
    if (is_equal(notice, statement)) {
        return LIMITNOTICE_UNCHANGED;
    }
    notice->limited = statement->limited;
    notice->per_s = statement->limited ? statement->per_s : 0;
    if (!notice->limited) {
        return LIMITNOTICE_ENDED;
    }
    return was_limited ? LIMITNOTICE_CHANGED : LIMITNOTICE_BEGAN;
}

enum limitnotice_change
limitnotice_apply(struct limitnotice *notice,
                  const struct limitnotice_statement *statement,
                  int64_t now_us)
{
    if (!is_acceptable(notice, statement)) {
        return LIMITNOTICE_UNCHANGED;
    }
    notice->heard_us = now_us;
    if (statement->source != LIMITNOTICE_INSTANCE) {
        notice->heard = true;
        notice->sent_us = statement->sent_us;
    }
    if (statement->source == LIMITNOTICE_HEALTH && statement->limited) {
        notice->health_names = true;
    }
    return accept(notice, statement);
}
