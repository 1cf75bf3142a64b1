#include "standin/faultsjson.h"

#include "base/timeunits.h"

#define FAULT_TIME_MAX_MS INT64_C(3600000) /* one hour */
#define PERCENT_MAX 100

bool
store_faults_parse(const json_t *document, struct store_faults *faults,
                   struct document_problems *problems)
{
    struct document_object object;
    *faults = (struct store_faults){.down = false};
    const size_t before = problems->count;
    if (!document_begin(&object, document, problems, "%s", "")) {
        return false;
    }
    document_milliseconds(&object, "latency_ms", DOCUMENT_OPTIONAL, 0,
                          FAULT_TIME_MAX_MS, &faults->latency_us);
    document_bool(&object, "down", DOCUMENT_OPTIONAL, &faults->down);
    document_unsigned(&object, "lose_answers_percent", DOCUMENT_OPTIONAL, 0,
                      PERCENT_MAX, &faults->lose_answers_percent);
    document_unsigned(&object, "lose_write_answers_percent", DOCUMENT_OPTIONAL,
                      0, PERCENT_MAX, &faults->lose_write_answers_percent);
    document_unsigned(&object, "delay_writes_percent", DOCUMENT_OPTIONAL, 0,
                      PERCENT_MAX, &faults->delay_writes_percent);
    document_milliseconds(&object, "delay_writes_ms", DOCUMENT_OPTIONAL, 0,
                          FAULT_TIME_MAX_MS, &faults->delay_writes_us);
    document_unsigned(&object, "conflict_percent", DOCUMENT_OPTIONAL, 0,
                      PERCENT_MAX, &faults->conflict_percent);
    document_end(&object);
    return problems->count == before;
}

json_t *
store_faults_to_json(const struct store_faults *faults)
{
    return json_pack(
        "{s:I, s:b, s:i, s:i, s:i, s:I, s:i}", "latency_ms",
        (json_int_t)(faults->latency_us / US_PER_MS), "down", faults->down,
        "lose_answers_percent", (int)faults->lose_answers_percent,
        "lose_write_answers_percent", (int)faults->lose_write_answers_percent,
        "delay_writes_percent", (int)faults->delay_writes_percent,
        "delay_writes_ms", (json_int_t)(faults->delay_writes_us / US_PER_MS),
        "conflict_percent", (int)faults->conflict_percent);
}
