/**
 * @file
 * Problem documents, application/problem+json (RFC 9457).
 */
#ifndef CHESTNUTGAP_HTTP_HTTPPROBLEM_H
#define CHESTNUTGAP_HTTP_HTTPPROBLEM_H

#include <stddef.h>

#define HTTP_PROBLEM_TYPE "application/problem+json"

/** Header of every answer: "answered", "not-run" or "unknown". */
#define HTTP_OUTCOME_HEADER "Chestnutgap-Outcome"

/** A problem. NULL members without a default are left out. */
struct http_problem {
    unsigned status;
    const char *type;     /**< URI reference; NULL means "about:blank" */
    const char *title;    /**< NULL: the reason phrase of the status */
    const char *detail;   /**< of this occurrence */
    const char *instance; /**< identifies this occurrence */
    const char *outcome;  /**< "not-run" or "unknown" */
    const char *reason;   /**< machine-readable, one word */
};

/**
 * Encodes the problem as JSON and sets its size.
 *
 * @return text to be freed with free(), or NULL if out of memory.
 */
char *http_problem_body(const struct http_problem *problem, size_t *size);

/** Reason phrase of a status code, or "Unknown". */
const char *http_status_text(unsigned status);

#endif
