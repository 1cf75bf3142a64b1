#include "target/announcement.h"

#include <string.h>

#include <jansson.h>

static bool
read_name(const json_t *object, const char *field, char *name,
          struct error *err)
{
    const json_t *value = json_object_get(object, field);
    if (value == NULL) {
        return error_set(err, ERROR_FIELD_MISSING, "%s", field);
    }
    if (!json_is_string(value)) {
        return error_set(err, ERROR_FIELD_TYPE, "%s", field);
    }
    const size_t size = json_string_length(value);
    if (size == 0 || size > TARGET_NAME_MAX) {
        return error_set(err, ERROR_FIELD_RANGE, "%s", field);
    }
    memcpy(name, json_string_value(value), size + 1);
    return true;
}

static bool
read_count(const json_t *object, const char *field, unsigned max,
           unsigned *count, struct error *err)
{
    const json_t *value = json_object_get(object, field);
    if (value == NULL) {
        return error_set(err, ERROR_FIELD_MISSING, "%s", field);
    }
    if (!json_is_integer(value)) {
        return error_set(err, ERROR_FIELD_TYPE, "%s", field);
    }
    const json_int_t number = json_integer_value(value);
    if (number < 1 || number > max) {
        return error_set(err, ERROR_FIELD_RANGE, "%s", field);
    }
    *count = (unsigned)number;
    return true;
}

static bool
read_flag(const json_t *object, const char *field, bool *flag,
          struct error *err)
{
    const json_t *value = json_object_get(object, field);
    *flag = json_is_true(value);
    if (value != NULL && !json_is_boolean(value)) {
        return error_set(err, ERROR_FIELD_TYPE, "%s", field);
    }
    return true;
}

static bool
read_address(const json_t *object, struct address *address, struct error *err)
{
    const json_t *value = json_object_get(object, "address");
    if (!json_is_string(value)) {
        return error_set(
            err, value == NULL ? ERROR_FIELD_MISSING : ERROR_FIELD_TYPE,
            "address");
    }
    return address_parse(json_string_value(value), address, err);
}

bool
announcement_parse(const void *text, size_t size,
                   struct announcement *announcement, struct error *err)
{
    memset(announcement, 0, sizeof(*announcement));
    json_error_t json_error;
    json_t *object =
        json_loadb(text, size, JSON_REJECT_DUPLICATES, &json_error);
    if (!json_is_object(object)) {
        json_decref(object);
        return error_set(err, ERROR_DOCUMENT_SYNTAX, "announcement");
    }
    const bool valid =
        read_name(object, "service", announcement->service, err) &&
        read_name(object, "incarnation", announcement->incarnation, err) &&
        read_address(object, &announcement->address, err) &&
        read_count(object, "slots", TARGET_SLOTS_MAX, &announcement->slots,
                   err) &&
        read_count(object, "connections", TARGET_CONNECTIONS_MAX,
                   &announcement->connections, err) &&
        read_flag(object, "checks_grants", &announcement->checks_grants,
                  err) &&
        read_flag(object, "cold", &announcement->cold, err);
    json_decref(object);
    return valid;
}

bool
announcement_equal(const struct announcement *a, const struct announcement *b)
{
    return strcmp(a->service, b->service) == 0 &&
           strcmp(a->incarnation, b->incarnation) == 0 &&
           address_equal(&a->address, &b->address) && a->slots == b->slots &&
           a->connections == b->connections &&
           a->checks_grants == b->checks_grants && a->cold == b->cold;
}
