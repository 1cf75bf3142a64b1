#include "base/invariant.h"

#include <string.h>

#define LOG_MODULE "invariant"
#include "base/log.h"

struct invariant_info {
    const char *name;
    const char *text;
};

static const struct invariant_info invariant_infos[INVARIANT_COUNT] = {
#define INVARIANT_INFO(id, name, text) [id] = {name, text},
    INVARIANTS(INVARIANT_INFO)
#undef INVARIANT_INFO
};

static int64_t invariant_check_counts[INVARIANT_COUNT];
static int64_t invariant_violation_counts[INVARIANT_COUNT];
static invariant_handler violation_handler;
static void *violation_ctx;

bool
invariant_check(enum invariant id, bool held, const char *subject)
{
    invariant_check_counts[id]++;
    if (held) {
        return true;
    }
    invariant_violation_counts[id]++;
    LOG_ERR("invariant_violated", LOG_STR("invariant", invariant_name(id)),
            LOG_STR("subject", subject));
    if (violation_handler != NULL) {
        violation_handler(violation_ctx, id, subject);
    }
    return false;
}

void
invariant_set_handler(invariant_handler handler, void *ctx)
{
    violation_handler = handler;
    violation_ctx = ctx;
}

int64_t
invariant_checks(enum invariant id)
{
    return invariant_check_counts[id];
}

int64_t
invariant_violations(enum invariant id)
{
    return invariant_violation_counts[id];
}

const char *
invariant_name(enum invariant id)
{
    return invariant_infos[id].name;
}

const char *
invariant_text(enum invariant id)
{
    return invariant_infos[id].text;
}

void
invariant_reset(void)
{
    memset(invariant_check_counts, 0, sizeof(invariant_check_counts));
    memset(invariant_violation_counts, 0, sizeof(invariant_violation_counts));
}
