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

/** One name and value of a log line. */
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
/** A step of a request: under load left out before the line that closes it. */
#define LOG_STEP(event, ...)                                                  \
    do {                                                                      \
        if (log_enabled(LOG_LEVEL_INFO, LOG_MODULE) && log_admits_step()) {   \
            LOG_INFO(event, __VA_ARGS__);                                     \
        }                                                                     \
    } while (0)
#define LOG_WARN(event, ...) LOG_EVENT(LOG_LEVEL_WARNING, event, __VA_ARGS__)
#define LOG_ERR(event, ...) LOG_EVENT(LOG_LEVEL_ERROR, event, __VA_ARGS__)

/** Sets the stream (default stderr) and the level of all modules. */
void log_init(FILE *stream, enum log_level level);

/**
 * Bounds what is written: each line goes to the descriptor at once, without
 * waiting, and at most so many lines a second, and as many again of warnings
 * and errors. What is left out is counted, and told in a line of its own once
 * a second. Descriptor -1: the stream, without bounds.
 */
void log_set_rate_limit(int fd, unsigned lines_per_s);

/** True while ordinary lines have used less than half of the bound in this
 * second. Otherwise counts a line that is left out. */
bool log_admits_step(void);

/** Lines left out since the start. */
uint64_t log_dropped(void);

/** One of so many requests is logged throughout; 0: none. */
void log_set_sampling(unsigned one_of);

/** True if the request with this id is among them: the same on every
 * machine, so that their lines join. */
bool log_sampled(const char *id);

/**
 * Sets the level of one module.
 *
 * @return false if the table of module levels is full or the name too long.
 */
bool log_set_module_level(const char *module, enum log_level level);

/** Name given in every line, for example the instance's name. */
void log_set_instance(const char *instance);

/** Reads "debug", "info", "warning", "error" or "off". */
bool log_level_parse(const char *text, enum log_level *level);

bool log_enabled(enum log_level level, const char *module);

/** Writes one line. Fields end with LOG_END. Use the macros above. */
void log_write(enum log_level level, const char *module, const char *event,
               const struct log_field *fields);

#endif
