#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "fleet/field.h"
#include "fleet/roster.h"

#define FINGERPRINT_SIZE 17 /* bytes of 16 digits, with the terminator */

static const char *const state_names[] = {
    [ROSTER_ABSENT] = "absent",
    [ROSTER_SERVING] = "serving",
    [ROSTER_LEAVING] = "leaving",
};

char *
roster_print(const struct roster_notice *notice)
{
    char address[ADDRESS_TEXT_SIZE];
    json_t *accused = json_array();
    for (size_t i = 0; i < notice->accused_count; i++) {
        char text[FINGERPRINT_SIZE];
        snprintf(text, sizeof(text), "%016" PRIx64, notice->accused[i]);
        json_array_append_new(accused, json_string(text));
    }
    json_t *document =
        json_pack("{s:s, s:s, s:s, s:s, s:I, s:I, s:i, s:s, s:b, s:o}",
                  "address", address_format(&notice->address, address), "zone",
                  notice->zone, "service", notice->service, "target",
                  notice->target, "born_ms", (json_int_t)notice->born_ms,
                  "started_ms", (json_int_t)notice->started_ms, "slots",
                  (int)notice->slots, "state", state_names[notice->state],
                  "departed", (int)notice->departed, "accused", accused);
    char *text = json_dumps(document, JSON_COMPACT);
    json_decref(document);
    if (text == NULL) {
        abort();
    }
    return text;
}

static bool
read_state(const json_t *object, enum roster_state *state)
{
    const char *text = json_string_value(json_object_get(object, "state"));
    for (int i = ROSTER_ABSENT; text != NULL && i <= ROSTER_LEAVING; i++) {
        if (strcmp(text, state_names[i]) == 0) {
            *state = (enum roster_state)i;
            return true;
        }
    }
    return false;
}

static void
read_accused(const json_t *object, struct roster_notice *notice)
{
    const json_t *list = json_object_get(object, "accused");
    const size_t count = json_array_size(list);
    for (size_t i = 0; i < count && i < ROSTER_ACCUSED_MAX; i++) {
        const char *text = json_string_value(json_array_get(list, i));
        if (text != NULL) {
            notice->accused[notice->accused_count++] =
                strtoull(text, NULL, 16);
        }
    }
}

bool
roster_parse(struct roster_notice *notice, const char *instance,
             const char *text, size_t size, struct error *err)
{
    char address[KEYMAP_NAME_MAX + 1];
    json_t *document = json_loadb(text, size, 0, NULL);
    const json_t *born = json_object_get(document, "born_ms");
    const json_t *slots = json_object_get(document, "slots");
    *notice = (struct roster_notice){.state = ROSTER_ABSENT};
    snprintf(notice->instance, sizeof(notice->instance), "%s", instance);
    const bool ok =
        field_text(document, "zone", notice->zone, sizeof(notice->zone)) &&
        field_text(document, "service", notice->service,
                   sizeof(notice->service)) &&
        field_text(document, "target", notice->target,
                   sizeof(notice->target)) &&
        field_text(document, "address", address, sizeof(address)) &&
        address_parse(address, &notice->address, NULL) &&
        json_is_integer(born) && json_is_integer(slots) &&
        json_integer_value(slots) >= 0 && read_state(document, &notice->state);
    if (ok) {
        notice->born_ms = json_integer_value(born);
        notice->slots = (unsigned)json_integer_value(slots);
        notice->started_ms =
            json_integer_value(json_object_get(document, "started_ms"));
        notice->departed = json_is_true(json_object_get(document, "departed"));
        read_accused(document, notice);
    }
    json_decref(document);
    return ok ||
           error_set(err, ERROR_DOCUMENT_SYNTAX, "instance %s", instance);
}
