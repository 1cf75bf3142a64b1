#include "settings/settings.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>

#include "base/timeunits.h"

#define STORE_TIMEOUT_MAX_MS 60000
#define STORE_CONNECTIONS_MAX 64
#define MEMORY_MIN_MB 16
#define MEMORY_MAX_MB 4096
#define BODY_MIN_BYTES INT64_C(65536)
#define BODY_MAX_BYTES (INT64_C(16) << 20)
#define REQUESTS_MAX 100000
#define POLL_MIN_MS 50
#define POLL_MAX_MS 60000
#define DRAIN_MAX_MS 600000

#define DEFAULT_REGION "default"
#define DEFAULT_STORE_TIMEOUT_MS 2000
#define DEFAULT_STORE_CONNECTIONS 4
#define DEFAULT_MEMORY_MB 128
#define DEFAULT_BODY_MAX_BYTES ((size_t)8 << 20)
#define DEFAULT_REQUESTS_MAX 4096
#define DEFAULT_CONFIG_POLL_MS 1000
#define DEFAULT_MEMBERS_POLL_MS 1000
#define DEFAULT_TARGET_POLL_MS 1000
#define DEFAULT_DRAIN_MAX_MS 30000

static bool
is_wildcard(const struct address *address)
{
    if (address->storage.ss_family == AF_INET6) {
        const struct sockaddr_in6 *in6 = (const void *)&address->storage;
        return IN6_IS_ADDR_UNSPECIFIED(&in6->sin6_addr);
    }
    const struct sockaddr_in *in = (const void *)&address->storage;
    return in->sin_addr.s_addr == htonl(INADDR_ANY);
}

static bool
parse_address(struct document_object *object, const char *field,
              enum document_need need, struct address *address)
{
    char text[ADDRESS_TEXT_SIZE];
    if (!document_string(object, field, need, text, sizeof(text))) {
        return false;
    }
    if (!address_parse(text, address, NULL)) {
        return document_add_problem(object->problems, ERROR_ADDRESS, "%s/%s",
                                    object->path, field);
    }
    return true;
}

/** Parses a host's address to connect to, so rejects wildcards. */
static bool
parse_connect_address(struct document_object *object, const char *field,
                      enum document_need need, struct address *address)
{
    if (!parse_address(object, field, need, address)) {
        return false;
    }
    if (is_wildcard(address)) {
        return document_add_problem(object->problems, ERROR_FIELD_RANGE,
                                    "%s/%s (expected the IP number of a host)",
                                    object->path, field);
    }
    return true;
}

static bool
begin_section(struct document_object *section, struct document_object *top,
              const char *field, enum document_need need)
{
    const json_t *json = document_field(top, field, need);
    return json != NULL &&
           document_begin(section, json, top->problems, "/%s", field);
}

static void
parse_endpoint(struct document_object *top, const char *field,
               struct settings_endpoint *endpoint)
{
    struct document_object object;
    if (!begin_section(&object, top, field, DOCUMENT_REQUIRED)) {
        return;
    }
    const bool has_listen =
        parse_address(&object, "listen", DOCUMENT_REQUIRED, &endpoint->listen);
    const bool has_advertise = parse_connect_address(
        &object, "advertise", DOCUMENT_OPTIONAL, &endpoint->advertise);
    if (has_listen && !has_advertise &&
        json_object_get(object.json, "advertise") == NULL) {
        endpoint->advertise = endpoint->listen;
        if (is_wildcard(&endpoint->listen)) {
            document_add_problem(
                top->problems, ERROR_FIELD_MISSING,
                "/%s/advertise (needed as listen names no host)", field);
        }
    }
    document_end(&object);
}

static void
parse_announce(struct document_object *top, struct settings *settings)
{
    struct document_object object;
    if (!begin_section(&object, top, "announce", DOCUMENT_REQUIRED)) {
        return;
    }
    parse_connect_address(&object, "listen", DOCUMENT_REQUIRED,
                          &settings->announce);
    document_end(&object);
}

static void
parse_store(struct document_object *top, struct settings *settings)
{
    struct document_object object;
    settings->store_timeout_us = DEFAULT_STORE_TIMEOUT_MS * US_PER_MS;
    settings->store_connections = DEFAULT_STORE_CONNECTIONS;
    if (!begin_section(&object, top, "store", DOCUMENT_REQUIRED)) {
        return;
    }
    if (parse_connect_address(&object, "address", DOCUMENT_REQUIRED,
                              &settings->store) &&
        address_port(&settings->store) == 0) {
        document_add_problem(top->problems, ERROR_FIELD_RANGE,
                             "/store/address (expected a port)");
    }
    document_milliseconds(&object, "timeout_ms", DOCUMENT_OPTIONAL,
                          POLL_MIN_MS, STORE_TIMEOUT_MAX_MS,
                          &settings->store_timeout_us);
    document_unsigned(&object, "connections", DOCUMENT_OPTIONAL, 1,
                      STORE_CONNECTIONS_MAX, &settings->store_connections);
    document_end(&object);
}

static void
parse_level(const json_t *json, struct document_problems *problems,
            const char *path, enum log_level *level)
{
    const char *text = json_string_value(json);
    if (text == NULL || !log_level_parse(text, level)) {
        document_add_problem(problems, ERROR_FIELD_RANGE,
                             "%s (expected \"debug\", \"info\", \"warning\", "
                             "\"error\" or \"off\")",
                             path);
    }
}

static void
parse_log_modules(struct document_object *log, struct settings *settings)
{
    const json_t *modules = document_field(log, "modules", DOCUMENT_OPTIONAL);
    if (modules == NULL) {
        return;
    }
    if (!json_is_object(modules) ||
        json_object_size(modules) > SETTINGS_LOG_MODULES_MAX) {
        document_add_problem(log->problems, ERROR_FIELD_TYPE,
                             "/log/modules (expected an object of at most %d "
                             "levels)",
                             SETTINGS_LOG_MODULES_MAX);
        return;
    }
    const char *name;
    json_t *level;
    json_object_foreach ((json_t *)modules, name, level) {
        struct settings_log_module *module =
            &settings->log_modules[settings->log_module_count++];
        char path[DOCUMENT_PATH_SIZE];
        snprintf(path, sizeof(path), "/log/modules/%s", name);
        if (!document_name_valid(name, sizeof(module->module))) {
            document_add_problem(log->problems, ERROR_FIELD_UNKNOWN, "%s",
                                 path);
            continue;
        }
        snprintf(module->module, sizeof(module->module), "%s", name);
        parse_level(level, log->problems, path, &module->level);
    }
}

static void
parse_log(struct document_object *top, struct settings *settings)
{
    struct document_object object;
    settings->log_level = LOG_LEVEL_INFO;
    if (!begin_section(&object, top, "log", DOCUMENT_OPTIONAL)) {
        return;
    }
    const json_t *level = document_field(&object, "level", DOCUMENT_OPTIONAL);
    if (level != NULL) {
        parse_level(level, top->problems, "/log/level", &settings->log_level);
    }
    parse_log_modules(&object, settings);
    document_end(&object);
}

static void
parse_limits(struct document_object *top, struct settings *settings)
{
    struct document_object object;
    settings->memory_mb = DEFAULT_MEMORY_MB;
    settings->body_max_bytes = DEFAULT_BODY_MAX_BYTES;
    settings->requests_max = DEFAULT_REQUESTS_MAX;
    settings->drain_max_us = DEFAULT_DRAIN_MAX_MS * US_PER_MS;
    if (!begin_section(&object, top, "limits", DOCUMENT_OPTIONAL)) {
        return;
    }
    int64_t body_max_bytes = (int64_t)settings->body_max_bytes;
    document_unsigned(&object, "memory_mb", DOCUMENT_OPTIONAL, MEMORY_MIN_MB,
                      MEMORY_MAX_MB, &settings->memory_mb);
    document_integer(&object, "body_max_bytes", DOCUMENT_OPTIONAL,
                     BODY_MIN_BYTES, BODY_MAX_BYTES, &body_max_bytes);
    settings->body_max_bytes = (size_t)body_max_bytes;
    document_unsigned(&object, "requests_max", DOCUMENT_OPTIONAL, 1,
                      REQUESTS_MAX, &settings->requests_max);
    document_milliseconds(&object, "drain_max_ms", DOCUMENT_OPTIONAL, 1,
                          DRAIN_MAX_MS, &settings->drain_max_us);
    document_end(&object);
    if (settings->body_max_bytes > ((size_t)settings->memory_mb << 20) / 2) {
        document_add_problem(
            top->problems, ERROR_FIELD_RANGE,
            "/limits/body_max_bytes (expected at most half of "
            "memory_mb)");
    }
}

static void
parse_intervals(struct document_object *top, struct settings *settings)
{
    struct document_object object;
    settings->config_poll_us = DEFAULT_CONFIG_POLL_MS * US_PER_MS;
    settings->members_poll_us = DEFAULT_MEMBERS_POLL_MS * US_PER_MS;
    settings->target_poll_us = DEFAULT_TARGET_POLL_MS * US_PER_MS;
    if (!begin_section(&object, top, "intervals", DOCUMENT_OPTIONAL)) {
        return;
    }
    document_milliseconds(&object, "config_poll_ms", DOCUMENT_OPTIONAL,
                          POLL_MIN_MS, POLL_MAX_MS, &settings->config_poll_us);
    document_milliseconds(&object, "members_poll_ms", DOCUMENT_OPTIONAL,
                          POLL_MIN_MS, POLL_MAX_MS,
                          &settings->members_poll_us);
    document_milliseconds(&object, "target_poll_ms", DOCUMENT_OPTIONAL,
                          POLL_MIN_MS, POLL_MAX_MS, &settings->target_poll_us);
    document_end(&object);
}

static void
parse_target(struct document_object *top, struct settings *settings)
{
    struct document_object object;
    if (!begin_section(&object, top, "target", DOCUMENT_OPTIONAL)) {
        return;
    }
    settings->has_static_target = true;
    document_name(&object, "service", DOCUMENT_REQUIRED,
                  settings->target_service, sizeof(settings->target_service));
    if (parse_connect_address(&object, "address", DOCUMENT_REQUIRED,
                              &settings->target_address) &&
        address_port(&settings->target_address) == 0) {
        document_add_problem(top->problems, ERROR_FIELD_RANGE,
                             "/target/address (expected a port)");
    }
    document_end(&object);
}

bool
settings_parse(const json_t *document, struct settings *settings,
               struct document_problems *problems)
{
    struct document_object top;
    const size_t problems_before = problems->count;
    *settings = (struct settings){.region = DEFAULT_REGION};
    if (!document_begin(&top, document, problems, "%s", "")) {
        return false;
    }
    document_name(&top, "instance", DOCUMENT_REQUIRED, settings->instance,
                  sizeof(settings->instance));
    document_name(&top, "zone", DOCUMENT_REQUIRED, settings->zone,
                  sizeof(settings->zone));
    document_name(&top, "region", DOCUMENT_OPTIONAL, settings->region,
                  sizeof(settings->region));
    parse_endpoint(&top, "http", &settings->http);
    parse_endpoint(&top, "rpc", &settings->rpc);
    parse_announce(&top, settings);
    parse_store(&top, settings);
    parse_log(&top, settings);
    parse_limits(&top, settings);
    parse_intervals(&top, settings);
    parse_target(&top, settings);
    document_end(&top);
    return problems->count == problems_before;
}

bool
settings_load(const char *path, struct settings *settings,
              struct document_problems *problems)
{
    json_t *document = document_load(path, problems);
    if (document == NULL) {
        return false;
    }
    const bool valid = settings_parse(document, settings, problems);
    json_decref(document);
    return valid;
}

void
settings_apply_log(const struct settings *settings)
{
    log_init(stderr, settings->log_level);
    log_set_instance(settings->instance);
    for (size_t i = 0; i < settings->log_module_count; i++) {
        const struct settings_log_module *module = &settings->log_modules[i];
        log_set_module_level(module->module, module->level);
    }
}
