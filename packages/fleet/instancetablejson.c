#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "base/jsontext.h"
#include "fleet/instancetable.h"
#include "fleet/jsonfield.h"

#define FINGERPRINT_SIZE 17 /* 16 hexadecimal digits and the terminator */

static const char *const state_names[] = {
    [INSTANCETABLE_ABSENT] = "absent",
    [INSTANCETABLE_SERVING] = "serving",
    [INSTANCETABLE_LEAVING] = "leaving",
};

char *
instancetable_print(const struct instancetable_row *row, json_t *departures,
                    struct error *err)
{
    char address[ADDRESS_TEXT_SIZE];
    json_t *suspects = json_array();
    for (size_t i = 0; i < row->crash_suspect_count; i++) {
        char text[FINGERPRINT_SIZE];
        snprintf(text, sizeof(text), "%016" PRIx64, row->crash_suspects[i]);
        json_array_append_new(suspects, json_string(text));
    }
    json_t *document =
        json_pack("{s:s, s:s, s:s, s:s, s:I, s:I, s:i, s:s, s:b, s:o}",
                  "address", address_format(&row->address, address), "zone",
                  row->zone, "service", row->service, "target", row->target,
                  "born_ms", (json_int_t)row->target_started_ms, "started_ms",
                  (json_int_t)row->started_ms, "slots", (int)row->slots,
                  "state", state_names[row->state], "departed",
                  (int)row->departed, "accused", suspects);
    if (json_array_size(departures) > 0) {
        json_object_set(document, "departures", departures);
    }
    json_decref(departures);
    return jsontext_print(document, JSON_COMPACT, err);
}

static bool
read_state(const json_t *object, enum instancetable_state *state)
{
    const char *text = json_string_value(json_object_get(object, "state"));
    for (int i = INSTANCETABLE_ABSENT;
         text != NULL && i <= INSTANCETABLE_LEAVING; i++) {
        if (strcmp(text, state_names[i]) == 0) {
            *state = (enum instancetable_state)i;
            return true;
        }
    }
    return false;
}

static void
read_crash_suspects(const json_t *object, struct instancetable_row *row)
{
    const json_t *list = json_object_get(object, "accused");
    const size_t count = json_array_size(list);
    for (size_t i = 0; i < count && i < INSTANCETABLE_CRASH_SUSPECTS_MAX;
         i++) {
        const char *text = json_string_value(json_array_get(list, i));
        if (text != NULL) {
            row->crash_suspects[row->crash_suspect_count++] =
                strtoull(text, NULL, 16);
        }
    }
}

bool
instancetable_parse(struct instancetable_row *row, const char *instance,
                    const char *text, size_t size, struct error *err)
{
    char address[KEYMAP_NAME_MAX + 1];
    json_t *document = json_loadb(text, size, 0, NULL);
    const json_t *born = json_object_get(document, "born_ms");
    const json_t *slots = json_object_get(document, "slots");
    *row = (struct instancetable_row){.state = INSTANCETABLE_ABSENT};
    const bool ok =
        jsontext_copy(row->instance, sizeof(row->instance), instance,
                      "instance", NULL) &&
        jsonfield_copy_text(document, "zone", row->zone, sizeof(row->zone)) &&
        jsonfield_copy_text(document, "service", row->service,
                            sizeof(row->service)) &&
        jsonfield_copy_text(document, "target", row->target,
                            sizeof(row->target)) &&
        jsonfield_copy_text(document, "address", address, sizeof(address)) &&
        address_parse(address, &row->address, NULL) && json_is_integer(born) &&
        json_is_integer(slots) && json_integer_value(slots) >= 0 &&
        read_state(document, &row->state);
    if (ok) {
        row->target_started_ms = json_integer_value(born);
        row->slots = (unsigned)json_integer_value(slots);
        row->started_ms =
            json_integer_value(json_object_get(document, "started_ms"));
        row->departed = json_is_true(json_object_get(document, "departed"));
        read_crash_suspects(document, row);
    }
    json_decref(document);
    return ok ||
           error_set(err, ERROR_DOCUMENT_SYNTAX, "instance %s", instance);
}

void
instancetable_read_departures(const struct instancetable_row *row,
                              const char *text, size_t size,
                              struct departures *departures, int64_t now_us)
{
    json_t *document = json_loadb(text, size, 0, NULL);
    /* The newest first. Rows of earlier versions have no list. */
    if (row->departed) {
        departures_record_stored(departures, row->target,
                                 row->target_started_ms, now_us);
    }
    departures_read_stored(departures, json_object_get(document, "departures"),
                           now_us);
    json_decref(document);
}
