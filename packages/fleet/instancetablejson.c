#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "fleet/instancetable.h"
#include "fleet/jsonfield.h"

#define FINGERPRINT_SIZE 17 /* bytes of 16 digits, with the terminator */

static const char *const state_names[] = {
    [INSTANCETABLE_ABSENT] = "absent",
    [INSTANCETABLE_SERVING] = "serving",
    [INSTANCETABLE_LEAVING] = "leaving",
};

char *
instancetable_print(const struct instancetable_row *instance_row)
{
    char address[ADDRESS_TEXT_SIZE];
    json_t *accused = json_array();
    for (size_t i = 0; i < instance_row->accused_count; i++) {
        char text[FINGERPRINT_SIZE];
        snprintf(text, sizeof(text), "%016" PRIx64, instance_row->accused[i]);
        json_array_append_new(accused, json_string(text));
    }
    json_t *document = json_pack(
        "{s:s, s:s, s:s, s:s, s:I, s:I, s:i, s:s, s:b, s:o}", "address",
        address_format(&instance_row->address, address), "zone",
        instance_row->zone, "service", instance_row->service, "target",
        instance_row->target, "born_ms", (json_int_t)instance_row->born_ms,
        "started_ms", (json_int_t)instance_row->started_ms, "slots",
        (int)instance_row->slots, "state", state_names[instance_row->state],
        "departed", (int)instance_row->departed, "accused", accused);
    char *text = json_dumps(document, JSON_COMPACT);
    json_decref(document);
    if (text == NULL) {
        abort();
    }
    return text;
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
read_accused(const json_t *object, struct instancetable_row *instance_row)
{
    const json_t *list = json_object_get(object, "accused");
    const size_t count = json_array_size(list);
    for (size_t i = 0; i < count && i < INSTANCETABLE_CRASH_SUSPECTS_MAX;
         i++) {
        const char *text = json_string_value(json_array_get(list, i));
        if (text != NULL) {
            instance_row->accused[instance_row->accused_count++] =
                strtoull(text, NULL, 16);
        }
    }
}

bool
instancetable_parse(struct instancetable_row *instance_row,
                    const char *instance, const char *text, size_t size,
                    struct error *err)
{
    char address[KEYMAP_NAME_MAX + 1];
    json_t *document = json_loadb(text, size, 0, NULL);
    const json_t *born = json_object_get(document, "born_ms");
    const json_t *slots = json_object_get(document, "slots");
    *instance_row = (struct instancetable_row){.state = INSTANCETABLE_ABSENT};
    snprintf(instance_row->instance, sizeof(instance_row->instance), "%s",
             instance);
    const bool ok =
        jsonfield_copy_text(document, "zone", instance_row->zone,
                            sizeof(instance_row->zone)) &&
        jsonfield_copy_text(document, "service", instance_row->service,
                            sizeof(instance_row->service)) &&
        jsonfield_copy_text(document, "target", instance_row->target,
                            sizeof(instance_row->target)) &&
        jsonfield_copy_text(document, "address", address, sizeof(address)) &&
        address_parse(address, &instance_row->address, NULL) &&
        json_is_integer(born) && json_is_integer(slots) &&
        json_integer_value(slots) >= 0 &&
        read_state(document, &instance_row->state);
    if (ok) {
        instance_row->born_ms = json_integer_value(born);
        instance_row->slots = (unsigned)json_integer_value(slots);
        instance_row->started_ms =
            json_integer_value(json_object_get(document, "started_ms"));
        instance_row->departed =
            json_is_true(json_object_get(document, "departed"));
        read_accused(document, instance_row);
    }
    json_decref(document);
    return ok ||
           error_set(err, ERROR_DOCUMENT_SYNTAX, "instance %s", instance);
}
