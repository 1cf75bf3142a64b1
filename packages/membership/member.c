#include "membership/member.h"

#include <stdlib.h>
#include <string.h>

static const char *const state_names[] = {
    [MEMBER_UNKNOWN] = "unknown", [MEMBER_JOINING] = "joining",
    [MEMBER_ACTIVE] = "active",   [MEMBER_LEAVING] = "leaving",
    [MEMBER_LEFT] = "left",       [MEMBER_FENCED] = "fenced",
};

#define STATE_NAME_COUNT (sizeof(state_names) / sizeof(state_names[0]))

void
member_copy_name(char to[STATE_NAME_MAX + 1], const char *from)
{
    size_t length = strnlen(from, STATE_NAME_MAX);
    memcpy(to, from, length);
    to[length] = '\0';
}

const char *
member_state_name(enum member_state state)
{
    return state_names[state];
}

bool
member_ref_equal(const struct member_ref *a, const struct member_ref *b)
{
    return a->incarnation == b->incarnation &&
           strcmp(a->instance, b->instance) == 0;
}

bool
guardian_set_equal(const struct guardian_set *a, const struct guardian_set *b)
{
    if (a->count != b->count) {
        return false;
    }
    for (size_t i = 0; i < a->count; i++) {
        if (!member_ref_equal(&a->refs[i], &b->refs[i])) {
            return false;
        }
    }
    return true;
}

bool
guardian_set_contains(const struct guardian_set *set,
                      const struct member_ref *ref)
{
    for (size_t i = 0; i < set->count; i++) {
        if (member_ref_equal(&set->refs[i], ref)) {
            return true;
        }
    }
    return false;
}

bool
guardian_set_add(struct guardian_set *set, const struct member_ref *ref)
{
    if (set->count == MEMBER_GUARDIANS_MAX ||
        guardian_set_contains(set, ref)) {
        return false;
    }
    set->refs[set->count++] = *ref;
    return true;
}

size_t
guardian_quorum_hold(size_t count)
{
    return count / 2 + 1;
}

size_t
guardian_quorum_fence(size_t count)
{
    return count + 1 - guardian_quorum_hold(count);
}

bool
member_is_live(const struct member *member)
{
    return member->state == MEMBER_JOINING || member->state == MEMBER_ACTIVE ||
           member->state == MEMBER_LEAVING;
}

static json_t *
guardians_to_json(const struct guardian_set *set)
{
    json_t *list = json_array();
    for (size_t i = 0; i < set->count; i++) {
        json_t *ref = json_object();
        json_object_set_new(ref, "instance",
                            json_string(set->refs[i].instance));
        json_object_set_new(
            ref, "incarnation",
            json_integer((json_int_t)set->refs[i].incarnation));
        json_array_append_new(list, ref);
    }
    return list;
}

static void
put_text(json_t *object, const char *name, const char *text)
{
    json_object_set_new(object, name, json_string(text));
}

static void
put_number(json_t *object, const char *name, int64_t number)
{
    json_object_set_new(object, name, json_integer((json_int_t)number));
}

json_t *
member_to_json(const struct member *member)
{
    char buffer[ADDRESS_TEXT_SIZE];
    json_t *object = json_object();
    if (object == NULL) {
        abort();
    }
    put_text(object, "instance", member->self.instance);
    put_number(object, "incarnation", (int64_t)member->self.incarnation);
    put_text(object, "zone", member->zone);
    put_text(object, "region", member->region);
    put_text(object, "service", member->service);
    put_text(object, "rpc", address_format(&member->rpc, buffer));
    put_text(object, "http", address_format(&member->http, buffer));
    put_text(object, "state", member_state_name(member->state));
    put_number(object, "slots", member->slots);
    json_object_set_new(object, "checks_grants",
                        json_boolean(member->checks_grants));
    put_number(object, "longest_request_us", member->longest_request_us);
    put_number(object, "lease_us", member->lease_us);
    put_number(object, "renewal_max_us", member->renewal_max_us);
    put_number(object, "serve_after_us", member->serve_after_us);
    json_object_set_new(object, "guardians",
                        guardians_to_json(&member->guardians));
    json_object_set_new(object, "outgoing",
                        guardians_to_json(&member->outgoing));
    return object;
}

static bool
get_text(const json_t *object, const char *name, char *text, size_t size,
         struct error *err)
{
    const json_t *value = json_object_get(object, name);
    if (value == NULL) {
        return error_set(err, ERROR_FIELD_MISSING, "%s", name);
    }
    if (!json_is_string(value)) {
        return error_set(err, ERROR_FIELD_TYPE, "%s", name);
    }
    if (json_string_length(value) >= size) {
        return error_set(err, ERROR_FIELD_RANGE, "%s", name);
    }
    memcpy(text, json_string_value(value), json_string_length(value) + 1);
    return true;
}

static bool
get_number(const json_t *object, const char *name, int64_t max, int64_t *out,
           struct error *err)
{
    const json_t *value = json_object_get(object, name);
    if (value == NULL) {
        return error_set(err, ERROR_FIELD_MISSING, "%s", name);
    }
    if (!json_is_integer(value)) {
        return error_set(err, ERROR_FIELD_TYPE, "%s", name);
    }
    *out = json_integer_value(value);
    if (*out < 0 || *out > max) {
        return error_set(err, ERROR_FIELD_RANGE, "%s", name);
    }
    return true;
}

static bool
get_address(const json_t *object, const char *name, struct address *address,
            struct error *err)
{
    char text[ADDRESS_TEXT_SIZE];
    return get_text(object, name, text, sizeof(text), err) &&
           address_parse(text, address, err);
}

static bool
get_ref(const json_t *object, struct member_ref *ref, struct error *err)
{
    int64_t incarnation = 0;
    if (!get_text(object, "instance", ref->instance, sizeof(ref->instance),
                  err) ||
        !get_number(object, "incarnation",
                    INT64_C(1) << MEMBER_INCARNATION_BITS, &incarnation,
                    err)) {
        return false;
    }
    ref->incarnation = (uint64_t)incarnation;
    return true;
}

static bool
get_guardians(const json_t *object, const char *name, struct guardian_set *set,
              struct error *err)
{
    const json_t *list = json_object_get(object, name);
    size_t i;
    const json_t *value;
    if (!json_is_array(list)) {
        return error_set(err, ERROR_FIELD_TYPE, "%s", name);
    }
    json_array_foreach (list, i, value) {
        struct member_ref ref;
        if (!get_ref(value, &ref, err)) {
            return false;
        }
        if (!guardian_set_add(set, &ref)) {
            return error_set(err, ERROR_FIELD_RANGE, "%s", name);
        }
    }
    return true;
}

static bool
get_state(const json_t *object, enum member_state *state, struct error *err)
{
    char text[STATE_NAME_MAX + 1];
    if (!get_text(object, "state", text, sizeof(text), err)) {
        return false;
    }
    for (size_t i = MEMBER_JOINING; i < STATE_NAME_COUNT; i++) {
        if (strcmp(state_names[i], text) == 0) {
            *state = (enum member_state)i;
            return true;
        }
    }
    return error_set(err, ERROR_FIELD_RANGE, "state");
}

static bool
get_names(const json_t *value, struct member *member, struct error *err)
{
    return get_ref(value, &member->self, err) &&
           get_text(value, "zone", member->zone, sizeof(member->zone), err) &&
           get_text(value, "region", member->region, sizeof(member->region),
                    err) &&
           get_text(value, "service", member->service, sizeof(member->service),
                    err) &&
           get_address(value, "rpc", &member->rpc, err) &&
           get_address(value, "http", &member->http, err) &&
           get_state(value, &member->state, err) &&
           get_guardians(value, "guardians", &member->guardians, err) &&
           get_guardians(value, "outgoing", &member->outgoing, err);
}

bool
member_from_json(const json_t *value, uint64_t version, struct member *member,
                 struct error *err)
{
    int64_t slots = 0;
    memset(member, 0, sizeof(*member));
    member->version = version;
    if (!get_names(value, member, err) ||
        !get_number(value, "slots", UINT32_MAX, &slots, err) ||
        !get_number(value, "longest_request_us", MEMBER_DURATION_MAX_US,
                    &member->longest_request_us, err) ||
        !get_number(value, "lease_us", UINT32_MAX, &member->lease_us, err) ||
        !get_number(value, "renewal_max_us", MEMBER_DURATION_MAX_US,
                    &member->renewal_max_us, err) ||
        !get_number(value, "serve_after_us", MEMBER_DURATION_MAX_US,
                    &member->serve_after_us, err)) {
        return false;
    }
    member->slots = (unsigned)slots;
    member->checks_grants =
        json_is_true(json_object_get(value, "checks_grants"));
    return true;
}
