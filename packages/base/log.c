#include "base/log.h"

#include <inttypes.h>
#include <poll.h>
#include <string.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

#include "base/hash.h"

#define LOG_MODULE_LEVELS_MAX 32
#define LOG_MODULE_NAME_SIZE 24
#define LOG_LINE_SIZE 2048
#define LOG_INSTANCE_SIZE 64

struct log_module_level {
    char module[LOG_MODULE_NAME_SIZE];
    enum log_level level;
};

struct log_line {
    char text[LOG_LINE_SIZE + 1]; /* one byte more for the newline */
    size_t length;
};

#define STEP_DIVISOR 2 /* steps of requests stop at 1/2 of the rate limit */

/** Rate limit and the lines of the current second. */
struct log_rate_limit {
    int fd;
    unsigned lines_per_s; /* 0: no limit, write to the stream */
    bool may_block;       /* not a regular file */
    int64_t second;       /* current, monotonic */
    unsigned ordinary;    /* debug and info lines */
    unsigned urgent;      /* warnings and errors */
    uint64_t dropped;
    uint64_t dropped_reported;
    int64_t reported_second;
};

static FILE *log_stream;
static struct log_rate_limit log_rate_limit;
static unsigned log_sample_one_of;
static enum log_level log_default_level = LOG_LEVEL_WARNING;
static struct log_module_level log_module_levels[LOG_MODULE_LEVELS_MAX];
static size_t log_module_level_count;
static char log_instance[LOG_INSTANCE_SIZE];

static const char *const log_level_names[] = {
    [LOG_LEVEL_DEBUG] = "debug",     [LOG_LEVEL_INFO] = "info",
    [LOG_LEVEL_WARNING] = "warning", [LOG_LEVEL_ERROR] = "error",
    [LOG_LEVEL_OFF] = "off",
};

void
log_init(FILE *stream, enum log_level level)
{
    log_stream = stream;
    log_default_level = level;
    log_module_level_count = 0;
}

bool
log_set_module_level(const char *module, enum log_level level)
{
    if (strlen(module) >= LOG_MODULE_NAME_SIZE ||
        log_module_level_count == LOG_MODULE_LEVELS_MAX) {
        return false;
    }
    struct log_module_level *entry =
        &log_module_levels[log_module_level_count++];
    snprintf(entry->module, sizeof(entry->module), "%s", module);
    entry->level = level;
    return true;
}

void
log_set_instance(const char *instance)
{
    snprintf(log_instance, sizeof(log_instance), "%s", instance);
}

bool
log_level_parse(const char *text, enum log_level *level)
{
    for (int i = LOG_LEVEL_DEBUG; i <= LOG_LEVEL_OFF; i++) {
        if (strcmp(text, log_level_names[i]) == 0) {
            *level = (enum log_level)i;
            return true;
        }
    }
    return false;
}

bool
log_enabled(enum log_level level, const char *module)
{
    for (size_t i = 0; i < log_module_level_count; i++) {
        if (strcmp(log_module_levels[i].module, module) == 0) {
            return level >= log_module_levels[i].level;
        }
    }
    return level >= log_default_level;
}

static void
log_append(struct log_line *line, const char *text)
{
    const size_t room = LOG_LINE_SIZE - line->length;
    size_t length = strlen(text);
    if (length > room - 1) {
        length = room - 1;
    }
    memcpy(line->text + line->length, text, length);
    line->length += length;
    line->text[line->length] = '\0';
}

static void
log_append_quoted(struct log_line *line, const char *text)
{
    char escaped[8];
    log_append(line, "\"");
    for (const char *p = text != NULL ? text : ""; *p != '\0'; p++) {
        const unsigned char c = (unsigned char)*p;
        if (c == '"' || c == '\\') {
            snprintf(escaped, sizeof(escaped), "\\%c", c);
        }
        else if (c < 0x20 || c >= 0x7f) {
            snprintf(escaped, sizeof(escaped), "\\u%04x", c);
        }
        else {
            snprintf(escaped, sizeof(escaped), "%c", c);
        }
        /* Leave room for the closing quote and brace. */
        if (line->length + sizeof(escaped) + 4 > LOG_LINE_SIZE) {
            break;
        }
        log_append(line, escaped);
    }
    log_append(line, "\"");
}

static void
log_append_field(struct log_line *line, const struct log_field *field)
{
    char number[32];
    log_append(line, ",");
    log_append_quoted(line, field->name);
    log_append(line, ":");
    switch (field->type) {
    case LOG_FIELD_STRING:
        log_append_quoted(line, field->string);
        return;
    case LOG_FIELD_INT:
        snprintf(number, sizeof(number), "%" PRId64, field->number);
        break;
    case LOG_FIELD_UINT:
        snprintf(number, sizeof(number), "%" PRIu64, (uint64_t)field->number);
        break;
    case LOG_FIELD_BOOL:
        snprintf(number, sizeof(number), "%s",
                 field->number ? "true" : "false");
        break;
    case LOG_FIELD_END:
        return;
    }
    log_append(line, number);
}

static void
log_append_timestamp(struct log_line *line)
{
    struct timespec now;
    struct tm utc;
    char text[48];
    clock_gettime(CLOCK_REALTIME, &now);
    gmtime_r(&now.tv_sec, &utc);
    const size_t length = strftime(text, sizeof(text), "%FT%T", &utc);
    snprintf(text + length, sizeof(text) - length, ".%06ldZ",
             now.tv_nsec / 1000);
    log_append_quoted(line, text);
}

static int64_t
log_monotonic_second(void)
{
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return now.tv_sec;
}

/** Resets the line counts when a new second starts. */
static void
log_start_second(void)
{
    const int64_t second = log_monotonic_second();
    if (second != log_rate_limit.second) {
        log_rate_limit.second = second;
        log_rate_limit.ordinary = 0;
        log_rate_limit.urgent = 0;
    }
}

/** Counts a line. @return whether it is within the limit of its severity */
static bool
log_within_limit(enum log_level level)
{
    log_start_second();
    unsigned *count = level >= LOG_LEVEL_WARNING ? &log_rate_limit.urgent
                                                 : &log_rate_limit.ordinary;
    return (*count)++ < log_rate_limit.lines_per_s;
}

/** Never blocks: a line fits into PIPE_BUF, so that a pipe takes it whole. */
static bool
log_write_nonblocking(const char *text, size_t length)
{
    struct pollfd ready = {.fd = log_rate_limit.fd, .events = POLLOUT};
    if (log_rate_limit.may_block &&
        (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0)) {
        return false;
    }
    return write(log_rate_limit.fd, text, length) == (ssize_t)length;
}

static void
log_report_dropped(void)
{
    char text[256];
    if (log_rate_limit.dropped == log_rate_limit.dropped_reported ||
        log_rate_limit.reported_second == log_rate_limit.second) {
        return;
    }
    struct log_line line = {.length = 0};
    log_append(&line, "{\"level\":\"warning\",\"instance\":");
    log_append_quoted(&line, log_instance);
    snprintf(text, sizeof(text),
             ",\"module\":\"log\",\"event\":\"dropped\",\"lines\":%" PRIu64
             ",\"total\":%" PRIu64 "}\n",
             log_rate_limit.dropped - log_rate_limit.dropped_reported,
             log_rate_limit.dropped);
    log_append(&line, text);
    if (log_write_nonblocking(line.text, line.length)) {
        log_rate_limit.dropped_reported = log_rate_limit.dropped;
        log_rate_limit.reported_second = log_rate_limit.second;
    }
}

static void
log_emit_line(struct log_line *line, enum log_level level)
{
    if (log_rate_limit.lines_per_s == 0) {
        FILE *stream = log_stream != NULL ? log_stream : stderr;
        fprintf(stream, "%s\n", line->text);
        fflush(stream);
        return;
    }
    if (!log_within_limit(level)) {
        log_rate_limit.dropped++;
        return;
    }
    log_report_dropped();
    line->text[line->length++] = '\n';
    if (!log_write_nonblocking(line->text, line->length)) {
        log_rate_limit.dropped++;
    }
}

bool
log_admits_step(void)
{
    log_start_second();
    if (log_rate_limit.lines_per_s == 0 ||
        log_rate_limit.ordinary < log_rate_limit.lines_per_s / STEP_DIVISOR) {
        return true;
    }
    log_rate_limit.dropped++;
    return false;
}

void
log_set_rate_limit(int fd, unsigned lines_per_s)
{
    struct stat status;
    log_rate_limit.fd = fd;
    log_rate_limit.lines_per_s = fd >= 0 ? lines_per_s : 0;
    log_rate_limit.second = 0; /* resets the line counts */
    log_rate_limit.may_block =
        fd >= 0 && fstat(fd, &status) == 0 && !S_ISREG(status.st_mode);
}

uint64_t
log_dropped(void)
{
    return log_rate_limit.dropped;
}

void
log_set_sampling(unsigned one_of)
{
    log_sample_one_of = one_of;
}

bool
log_sampled(const char *id)
{
    return log_sample_one_of > 0 && hash_string(id) % log_sample_one_of == 0;
}

void
log_write(enum log_level level, const char *module, const char *event,
          const struct log_field *fields)
{
    struct log_line line = {.length = 0};
    const struct log_field header[] = {
        LOG_STR("level", log_level_names[level]),
        LOG_STR("instance", log_instance),
        LOG_STR("module", module),
        LOG_STR("event", event),
    };
    log_append(&line, "{\"time\":");
    log_append_timestamp(&line);
    for (size_t i = 0; i < sizeof(header) / sizeof(header[0]); i++) {
        log_append_field(&line, &header[i]);
    }
    for (; fields->type != LOG_FIELD_END; fields++) {
        /* Omit a field that does not fit rather than truncate it. */
        if (line.length + strlen(fields->name) + 64 > LOG_LINE_SIZE) {
            break;
        }
        log_append_field(&line, fields);
    }
    log_append(&line, "}");
    log_emit_line(&line, level);
}
