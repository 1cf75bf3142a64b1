#include "fleet/keyera.h"

#include <stdlib.h>

#include <jansson.h>

#include "base/jsontext.h"
#include "store/rowstore.h"

void
keyera_promise(struct keyera *era, int64_t until_us)
{
    if (until_us > era->promised_until_us) {
        era->promised_until_us = until_us;
    }
}

bool
keyera_observe(struct keyera *era, uint64_t version, int64_t now_us)
{
    const uint64_t told = rowstore_era(version);
    const bool first = !era->known;
    if (!first && told <= era->era) {
        return false;
    }
    era->known = true;
    era->restored = !first;
    era->era = told;
    era->seen_us = now_us;
    era->former_until_us = era->promised_until_us;
    return !first;
}

bool
keyera_parse_settled(struct keyera *era, const char *text, size_t size)
{
    json_t *document = json_loadb(text, size, 0, NULL);
    const json_t *settled = json_object_get(document, "settled");
    const bool ok =
        json_is_integer(settled) && json_integer_value(settled) >= 0;
    if (ok) {
        era->settled = (uint64_t)json_integer_value(settled);
    }
    json_decref(document);
    return ok;
}

char *
keyera_print_settled(const struct keyera *era)
{
    json_t *document = json_pack("{s:I}", "settled", (json_int_t)era->era);
    char *text = jsontext_print(document, JSON_COMPACT, NULL);
    if (text == NULL) {
        abort();
    }
    return text;
}

bool
keyera_is_recorded(const struct keyera *era)
{
    return era->known && era->settled >= era->era;
}

/** True if the era has been known for that long, and promises that were given
 * before have ended: the owners that got them may hold keys that the copy's
 * map gives to this instance. */
static bool
is_known_for(const struct keyera *era, int64_t duration_us, int64_t now_us)
{
    return now_us >= era->former_until_us && era->known &&
           now_us - era->seen_us >= duration_us;
}

bool
keyera_may_record(const struct keyera *era, int64_t now_us)
{
    return is_known_for(era, KEYERA_SETTLE_US, now_us);
}

bool
keyera_is_settled(const struct keyera *era, int64_t now_us)
{
    return is_known_for(
        era, keyera_is_recorded(era) ? 0 : KEYERA_UNNAMED_SETTLE_US, now_us);
}

bool
keyera_is_present(const struct keyera *era, uint64_t fence)
{
    return rowstore_era(fence) >= era->era;
}
