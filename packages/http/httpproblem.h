/**
 * @file
 * Bodies of refusals as application/problem+json (RFC 9457).
 */
#ifndef CHESTNUTGAP_HTTP_HTTPPROBLEM_H
#define CHESTNUTGAP_HTTP_HTTPPROBLEM_H

#include <stddef.h>

#define HTTP_PROBLEM_TYPE "application/problem+json"

/** Field that says "answered", "not-run" or "unknown" in every answer. */
#define HTTP_OUTCOME_HEADER "Chestnutgap-Outcome"

/** A refusal. Members that are NULL are left out. */
struct http_problem {
    unsigned status;
    const char *type;     /**< URI reference; NULL means "about:blank" */
    const char *title;    /**< NULL: the reason phrase of the status */
    const char *detail;   /**< of this occurrence */
    const char *instance; /**< identifies this occurrence */
    const char *outcome;  /**< "not-run" or "unknown" */
    const char *reason;   /**< why, as one word for programs */
};

/**
 * The problem as JSON text, with its size.
 *
 * @return memory to free(), or NULL when memory is short.
 */
char *http_problem_body(const struct http_problem *problem, size_t *size);

/** Reason phrase of a status code, "Unknown" if there is none. */
const char *http_status_text(unsigned status);

#endif
