#include "node/nodesettings.h"

#include <string.h>

#include "base/timeunits.h"

#define KIND_FIELD "platform"
#define SECONDS_MAX 3600
#define REVOKE_SECONDS_MIN 0.1 /* below, reads could not keep up */
#define LOG_LINES_DEFAULT 200
#define LOG_LINES_MAX 1000000
#define LOG_SAMPLE_DEFAULT 16
#define LOG_SAMPLE_MAX 1000000
#define RETRY_RESERVE_MAX 1000000
#define MEMORY_MIN_MB 64
#define MEMORY_MAX_MB (1u << 20)
#define FDS_MIN 128
#define FDS_MAX (1u << 20)

static const char *const level_names[] = {"debug", "info", "warning", "error",
                                          "off"};

bool
nodesettings_match(const json_t *document)
{
    return json_object_get(document, KIND_FIELD) != NULL;
}

static void
read_address(struct document_object *object, const char *field,
             struct address *address)
{
    char text[ADDRESS_TEXT_SIZE];
    struct error err = {.code = ERROR_NONE};
    if (document_string(object, field, DOCUMENT_REQUIRED, text,
                        sizeof(text)) &&
        !address_parse(text, address, &err)) {
        document_add_problem(object->problems, err.code, "%s/%s: %s",
                             object->path, field, text);
    }
}

static void
read_addresses(struct document_object *object, struct nodesettings *settings)
{
    read_address(object, "callers", &settings->callers);
    read_address(object, "announcements", &settings->announcements);
    read_address(object, "readiness", &settings->readiness);
    read_address(object, "metrics", &settings->metrics);
    read_address(object, "rpc", &settings->rpc);
    read_address(object, "target", &settings->target);
    read_address(object, "store", &settings->store);
}

/** Reads a number from 0 to max. */
static double
read_number(struct document_object *object, const char *field, double max)
{
    const json_t *value = document_field(object, field, DOCUMENT_REQUIRED);
    const double number = json_number_value(value);
    if (value != NULL &&
        (!json_is_number(value) || !(number >= 0) || number > max)) {
        document_add_problem(object->problems, ERROR_FIELD_RANGE, "%s/%s",
                             object->path, field);
    }
    return number;
}

static int64_t
read_seconds(struct document_object *object, const char *field)
{
    return (int64_t)(read_number(object, field, SECONDS_MAX) *
                     (double)US_PER_SECOND);
}

static void
read_bounds(struct document_object *object, struct nodesettings *settings)
{
    settings->drain_us = read_seconds(object, "drain_s");
    settings->evacuate_us = read_seconds(object, "evacuate_s");
    settings->grace_us = read_seconds(object, "grace_s");
    settings->heartbeat_us = read_seconds(object, "heartbeat_s");
    settings->hold_max_us = read_seconds(object, "hold_max_s");
    settings->retry_window_us = read_seconds(object, "retry_window_s");
    settings->retry_share = read_number(object, "retry_share", 1);
    settings->retry_reserve =
        read_number(object, "retry_reserve", RETRY_RESERVE_MAX);
}

/** Reads an optional duration, longer than 0. */
static void
read_revoke(struct document_object *object, struct nodesettings *settings)
{
    const json_t *value =
        document_field(object, "revoke_s", DOCUMENT_OPTIONAL);
    const double seconds = json_number_value(value);
    if (value == NULL) {
        return;
    }
    if (!json_is_number(value) || !(seconds >= REVOKE_SECONDS_MIN) ||
        seconds > SECONDS_MAX) {
        document_add_problem(object->problems, ERROR_FIELD_RANGE,
                             "%s/revoke_s", object->path);
        return;
    }
    settings->revoke_us = (int64_t)(seconds * (double)US_PER_SECOND);
}

bool
nodesettings_parse(const json_t *document, struct nodesettings *settings,
                   struct document_problems *problems)
{
    struct document_object object;
    char kind[KEYMAP_NAME_MAX + 1];
    const size_t before = problems->count;
    *settings = (struct nodesettings){
        .log_level = LOG_LEVEL_INFO,
        .log_lines_per_s = LOG_LINES_DEFAULT,
        .log_sample = LOG_SAMPLE_DEFAULT,
    };
    if (!document_begin(&object, document, problems, "%s", "")) {
        return false;
    }
    document_name(&object, KIND_FIELD, DOCUMENT_REQUIRED, kind, sizeof(kind));
    document_name(&object, "instance", DOCUMENT_REQUIRED, settings->instance,
                  sizeof(settings->instance));
    document_name(&object, "zone", DOCUMENT_REQUIRED, settings->zone,
                  sizeof(settings->zone));
    document_name(&object, "service", DOCUMENT_REQUIRED, settings->service,
                  sizeof(settings->service));
    read_addresses(&object, settings);
    read_bounds(&object, settings);
    read_revoke(&object, settings);
    document_bool(&object, "bootstrap", DOCUMENT_OPTIONAL,
                  &settings->bootstrap);
    const int level =
        document_choice(&object, "log_level", DOCUMENT_OPTIONAL, level_names,
                        sizeof(level_names) / sizeof(level_names[0]));
    if (level >= 0) {
        settings->log_level = (enum log_level)level;
    }
    document_unsigned(&object, "log_lines_per_s", DOCUMENT_OPTIONAL, 1,
                      LOG_LINES_MAX, &settings->log_lines_per_s);
    document_unsigned(&object, "log_sample", DOCUMENT_OPTIONAL, 0,
                      LOG_SAMPLE_MAX, &settings->log_sample);
    document_unsigned(&object, "memory_mb", DOCUMENT_OPTIONAL, MEMORY_MIN_MB,
                      MEMORY_MAX_MB, &settings->memory_mb);
    document_unsigned(&object, "max_fds", DOCUMENT_OPTIONAL, FDS_MIN, FDS_MAX,
                      &settings->max_fds);
    document_end(&object);
    return problems->count == before;
}
