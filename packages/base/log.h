/**
 * @file
 * Structured logger: one JSON object per line, with a level per module.
 *
 * A source file defines LOG_MODULE before it includes this header.
 */
#ifndef CHESTNUTGAP_BASE_LOG_H
#define CHESTNUTGAP_BASE_LOG_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

enum log_level {
    LOG_LEVEL_DEBUG,
    LOG_LEVEL_INFO,
    LOG_LEVEL_WARNING,
    LOG_LEVEL_ERROR,
    LOG_LEVEL_OFF,
};

enum log_field_type {
    LOG_FIELD_END,
    LOG_FIELD_STRING,
    LOG_FIELD_INT,
    LOG_FIELD_UINT,
    LOG_FIELD_BOOL,
};

/** A name and value in a log line. */
struct log_field {
    enum log_field_type type;
    const char *name;
    const char *string;
    int64_t number;
};

#define LOG_STR(field, value)                                                 \
    {                                                                         \
        LOG_FIELD_STRING, (field), (value), 0                                 \
    }
#define LOG_INT(field, value)                                                 \
    {                                                                         \
        LOG_FIELD_INT, (field), NULL, (int64_t)(value)                        \
    }
#define LOG_UINT(field, value)                                                \
    {                                                                         \
        LOG_FIELD_UINT, (field), NULL, (int64_t)(value)                       \
    }
#define LOG_BOOL(field, value)                                                \
    {                                                                         \
        LOG_FIELD_BOOL, (field), NULL, (value)                                \
    }
#define LOG_END                                                               \
    {                                                                         \
        LOG_FIELD_END, NULL, NULL, 0                                          \
    }

#define LOG_EVENT(level, event, ...)                                          \
    do {                                                                      \
        if (log_enabled((level), LOG_MODULE)) {                               \
            const struct log_field log_fields_[] = {                          \
                __VA_ARGS__ __VA_OPT__(, ) LOG_END};                          \
            log_write((level), LOG_MODULE, (event), log_fields_);             \
        }                                                                     \
    } while (0)

#define LOG_DBG(event, ...) LOG_EVENT(LOG_LEVEL_DEBUG, event, __VA_ARGS__)
#define LOG_INFO(event, ...) LOG_EVENT(LOG_LEVEL_INFO, event, __VA_ARGS__)
/** Logs a step of a request. Under load, steps are dropped before the lines
 * that report how requests ended. */
#define LOG_STEP(event, ...)                                                  \
    do {                                                                      \
        if (log_enabled(LOG_LEVEL_INFO, LOG_MODULE) && log_admits_step()) {   \
            LOG_INFO(event, __VA_ARGS__);                                     \
        }                                                                     \
    } while (0)
#define LOG_WARN(event, ...) LOG_EVENT(LOG_LEVEL_WARNING, event, __VA_ARGS__)
#define LOG_ERR(event, ...) LOG_EVENT(LOG_LEVEL_ERROR, event, __VA_ARGS__)

/** Sets the stream (default: stderr) and the level of all modules. */
void log_init(FILE *stream, enum log_level level);

/**
 * Limits the rate: up to lines_per_s debug and info lines and as many warnings
 * and errors are written to fd per second, unbuffered and without blocking.
 * Dropped lines are counted and reported in a log line at most once a second.
 * With fd -1, lines go to the stream without a limit.
 */
void log_set_rate_limit(int fd, unsigned lines_per_s);

/** True while debug and info lines have used less than half of this second's
 * limit. Otherwise counts a dropped line. */
bool log_admits_step(void);

/** Lines dropped since the start. */
uint64_t log_dropped(void);

/** Samples one in one_of requests for detailed logging; 0: none. */
void log_set_sampling(unsigned one_of);

/** True if the request is sampled. Every machine decides the same, so that the
 * request's lines can be joined. */
bool log_sampled(const char *id);

/**
 * Sets the level of one module.
 *
 * @return false if the table of module levels is full or the name too long.
 */
bool log_set_module_level(const char *module, enum log_level level);

/** Sets the instance's name, which every line contains. */
void log_set_instance(const char *instance);

/** Parses "debug", "info", "warning", "error" or "off". */
bool log_level_parse(const char *text, enum log_level *level);

bool log_enabled(enum log_level level, const char *module);

/** Used by the macros above. LOG_END terminates fields. */
void log_write(enum log_level level, const char *module, const char *event,
               const struct log_field *fields);

#endif
