/**
 * @file
 * Shared by the commands of chestnutgapctl: options, the connection to the
 * store, and calls that wait for their answer.
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

#define CTL_ARGUMENTS_MAX 2 /* of one command */

/** Exit codes of the program. */
enum ctl_exit {
    CTL_OK = 0,
    CTL_FAILED = 1,       /**< the document is wrong, or nothing was found */
    CTL_USAGE = 2,        /**< the command line is not valid */
    CTL_CONFLICT = 3,     /**< another operator came first; nothing was done */
    CTL_UNAVAILABLE = 4,  /**< the store or daemon is; nothing was done */
    CTL_UNKNOWN = 5,      /**< it may have been done, or may still be */
    CTL_CHECK_FAILED = 6, /**< promise broken, or not in force in time */
};

/** The command line. */
struct ctl_options {
    struct address store;
    struct address daemon;
    int64_t timeout_us; /**< of the whole command */
    uint64_t base;      /**< revision that the author started from */
    uint64_t revision;  /**< 0: the newest */
    int64_t since_s;    /**< of the audit trail */
    size_t limit;       /**< 0: no limit */
    size_t argument_count;
    char arguments[CTL_ARGUMENTS_MAX][STORE_NAME_MAX + 1];
    char author[STORE_NAME_MAX + 1];
    char service[STORE_NAME_MAX + 1];
    const char *log_file; /**< to explain from; "-" is stdin; or NULL */
    bool has_store;
    bool has_daemon;
    bool has_base;
    bool json;     /**< one JSON document on stdout */
    bool settings; /**< the file holds settings */
    bool wait;
};

/** What a running command works with. */
struct ctl {
    struct ctl_options options;
    struct runtime *runtime;
    struct counter_registry *counters;
    struct random_state random;
    int64_t deadline_us; /**< when the command's time is up */
    struct store_http *http;
    struct store store;
    struct store_resolver *resolver;
};

/** One row, kept beyond the call that read it. */
struct ctl_row {
    char name[STORE_NAME_MAX + 1];
    uint64_t version;
    json_t *value; /**< NULL if absent */
};

/** Rows in the order of their names. */
struct ctl_rows {
    struct ctl_row *rows;
    size_t count;
};

/** Creates the runtime. Connects when the first call is made. */
bool ctl_open(struct ctl *ctl, const struct ctl_options *options,
              struct error *err);
void ctl_close(struct ctl *ctl);

/** Prints a failure on stderr. @return code */
enum ctl_exit ctl_fail(const struct ctl *ctl, enum ctl_exit code,
                       const struct error *err);

/** Prints a failure whose subject is formatted. @return code */
enum ctl_exit ctl_fail_with(const struct ctl *ctl, enum ctl_exit code,
                            enum error_code error, const char *format, ...)
    __attribute__((format(printf, 4, 5)));

/** Prints all problems of a document. @return CTL_FAILED */
enum ctl_exit ctl_fail_problems(const struct ctl *ctl, const char *name,
                                const struct document_problems *problems);

/** Prints a document on stdout and frees it. */
void ctl_print_json(json_t *document);

/** CTL_USAGE with a message if --store was not given, else CTL_OK. */
enum ctl_exit ctl_require_store(const struct ctl *ctl);

/** Reads a row. A failure is printed. */
enum ctl_exit ctl_read(struct ctl *ctl, const char *table, const char *name,
                       struct ctl_row *row);
void ctl_row_clear(struct ctl_row *row);

/** Selects rows, as struct store_scan does. */
struct ctl_scan {
    const char *table;
    const char *prefix;
    const char *after;
};

/** Reads all rows of a scan, page by page. A failure is printed. */
enum ctl_exit ctl_scan(struct ctl *ctl, const struct ctl_scan *scan,
                       struct ctl_rows *rows);
void ctl_rows_clear(struct ctl_rows *rows);

/**
 * Commits, and resolves a lost answer. Only a failure other than a conflict
 * is printed.
 */
enum ctl_exit ctl_commit(struct ctl *ctl, const struct store_txn *txn);

/** Time left for the command, at least 0. */
int64_t ctl_remaining_us(const struct ctl *ctl);

/** Waits, at most until the command's time is up. */
void ctl_sleep(struct ctl *ctl, int64_t duration_us);

#endif
