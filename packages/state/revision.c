#include "state/revision.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

void
revision_row_name(uint64_t revision, char name[REVISION_ROW_NAME_SIZE])
{
    snprintf(name, REVISION_ROW_NAME_SIZE, "revision/%020" PRIu64, revision);
}

json_t *
revision_head_to_json(const struct revision_head *head)
{
    return json_pack("{s:I, s:I, s:s, s:s, s:I}", "revision",
                     (json_int_t)head->revision, "base",
                     (json_int_t)head->base, "digest", head->digest, "author",
                     head->author, "at", (json_int_t)head->at_us);
}

static bool
get_number(const json_t *value, const char *field, uint64_t *number,
           struct error *err)
{
    const json_t *json = json_object_get(value, field);
    if (!json_is_integer(json) || json_integer_value(json) < 0) {
        return error_set(err, ERROR_STORE_ANSWER, "%s (field %s)",
                         REVISION_TABLE, field);
    }
    *number = (uint64_t)json_integer_value(json);
    return true;
}

static bool
get_text(const json_t *value, const char *field, char *text, size_t size,
         struct error *err)
{
    const char *string = json_string_value(json_object_get(value, field));
    if (string == NULL || strlen(string) >= size) {
        return error_set(err, ERROR_STORE_ANSWER, "%s (field %s)",
                         REVISION_TABLE, field);
    }
    snprintf(text, size, "%s", string);
    return true;
}

bool
revision_head_parse(const json_t *value, struct revision_head *head,
                    struct error *err)
{
    *head = (struct revision_head){.revision = 0};
    if (value == NULL) {
        return true;
    }
    uint64_t at_us = 0;
    if (!get_number(value, "revision", &head->revision, err) ||
        !get_number(value, "base", &head->base, err) ||
        !get_number(value, "at", &at_us, err) ||
        !get_text(value, "digest", head->digest, sizeof(head->digest), err) ||
        !get_text(value, "author", head->author, sizeof(head->author), err)) {
        return false;
    }
    head->at_us = (int64_t)at_us;
    return true;
}

json_t *
revision_row_to_json(const struct revision_head *head, const json_t *document)
{
    json_t *value = revision_head_to_json(head);
    json_object_set(value, "document", (json_t *)document);
    return value;
}

json_t *
revision_row_document(const json_t *value, struct revision_head *head,
                      struct error *err)
{
    json_t *document = json_object_get(value, "document");
    if (document == NULL) {
        error_set(err, ERROR_STORE_ANSWER, "%s (field document)",
                  REVISION_TABLE);
        return NULL;
    }
    if (!revision_head_parse(value, head, err)) {
        return NULL;
    }
    char digest[STATE_DIGEST_SIZE];
    state_digest_format(state_digest(document), digest);
    if (strcmp(digest, head->digest) != 0) {
        error_set(err, ERROR_STORE_ANSWER, "%s (revision %" PRIu64 ", digest)",
                  REVISION_TABLE, head->revision);
        return NULL;
    }
    return document;
}

bool
revision_check_immutable(const struct state *before, const struct state *after,
                         struct document_problems *problems)
{
    const size_t problems_before = problems->count;
    for (size_t i = 0; i < after->service_count; i++) {
        const struct state_service *service = &after->services[i];
        const struct state_service *old =
            state_find_service(before, service->name);
        if (old != NULL && old->shards != service->shards) {
            document_add_problem(
                problems, ERROR_FIELD_RANGE,
                "/services/%zu/shards (expected %u, fixed while "
                "%s exists)",
                i, old->shards, service->name);
        }
    }
    return problems->count == problems_before;
}
