/**
 * @file
 * Shared by the commands of chestnutgapctl: options, error output, and
 * blocking store calls.
 */
#ifndef CHESTNUTGAP_CTL_CTL_H
#define CHESTNUTGAP_CTL_CTL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <jansson.h>

#include "base/address.h"
#include "base/counter.h"
#include "base/document.h"
#include "base/error.h"
#include "base/random.h"
#include "base/runtime.h"
#include "store/store.h"

#define CTL_ARGUMENTS_MAX 2 /* per command */

/** Exit codes of the program. */
enum ctl_exit {
    CTL_OK = 0,
    CTL_FAILED = 1,       /**< the document is invalid, or nothing was found */
    CTL_USAGE = 2,        /**< the command line is not valid */
    CTL_CONFLICT = 3,     /**< another write came first; nothing was done */
    CTL_UNAVAILABLE = 4,  /**< store or daemon unavailable; nothing was done */
    CTL_UNKNOWN = 5,      /**< it may have been done, or may be done later */
    CTL_CHECK_FAILED = 6, /**< invariant violated, or not in force in time */
};

/** The command line. */
struct ctl_options {
    struct address store;
    struct address daemon;
    int64_t timeout_us; /**< of the whole command */
    uint64_t base;      /**< revision that the document is based on */
    uint64_t revision;  /**< 0: newest */
    int64_t since_s;    /**< age limit of audit rows */
    size_t limit;       /**< 0: no limit */
    size_t argument_count;
    char arguments[CTL_ARGUMENTS_MAX][STORE_NAME_MAX + 1];
    char author[STORE_NAME_MAX + 1];
    char service[STORE_NAME_MAX + 1];
    const char *log_file; /**< log to explain from, "-" for stdin, or NULL */
    bool has_store;
    bool has_daemon;
    bool has_base;
    bool json;     /**< one JSON document on stdout */
    bool settings; /**< the file holds settings */
    bool wait;
};

/** State of the running command. */
struct ctl {
    struct ctl_options options;
    struct runtime *runtime;
    struct counter_registry *counters;
    struct random_state random;
    int64_t deadline_us; /**< of the whole command */
    struct store_http *http;
    struct store store;
    struct store_resolver *resolver;
};

/** A row read from the store. */
struct ctl_row {
    char name[STORE_NAME_MAX + 1];
    uint64_t version;
    json_t *value; /**< NULL if absent */
};

/** Rows in name order. */
struct ctl_rows {
    struct ctl_row *rows;
    size_t count;
};

/** Creates the runtime. The first store call connects. */
bool ctl_open(struct ctl *ctl, const struct ctl_options *options,
              struct error *err);
void ctl_close(struct ctl *ctl);

/** Prints an error to stderr. @return code */
enum ctl_exit ctl_fail(const struct ctl *ctl, enum ctl_exit code,
                       const struct error *err);

/** Like ctl_fail(), with a formatted subject. @return code */
enum ctl_exit ctl_fail_with(const struct ctl *ctl, enum ctl_exit code,
                            enum error_code error, const char *format, ...)
    __attribute__((format(printf, 4, 5)));

/** Prints all problems of a document. @return CTL_FAILED */
enum ctl_exit ctl_fail_problems(const struct ctl *ctl, const char *name,
                                const struct document_problems *problems);

/** Prints a document to stdout and frees it. */
void ctl_print_json(json_t *document);

/** @return CTL_USAGE, with a message, if no store address was given */
enum ctl_exit ctl_require_store(const struct ctl *ctl);

/** Reads a row. Prints errors. */
enum ctl_exit ctl_read(struct ctl *ctl, const char *table, const char *name,
                       struct ctl_row *row);
void ctl_row_clear(struct ctl_row *row);

/** Row selection, see struct store_scan. */
struct ctl_scan {
    const char *table;
    const char *prefix;
    const char *after;
};

/** Reads all selected rows, page by page. Prints errors. */
enum ctl_exit ctl_scan(struct ctl *ctl, const struct ctl_scan *scan,
                       struct ctl_rows *rows);
void ctl_rows_clear(struct ctl_rows *rows);

/**
 * Commits, and resolves the outcome if the answer was lost. Prints errors
 * other than conflicts.
 */
enum ctl_exit ctl_commit(struct ctl *ctl, const struct store_txn *txn);

/** Time until the command's deadline, at least 0. */
int64_t ctl_remaining_us(const struct ctl *ctl);

/** Waits, at most until the command's deadline. */
void ctl_sleep(struct ctl *ctl, int64_t duration_us);

#endif
