/**
 * @file
 * Interface of a platform adapter: operations that read and write the messages
 * of callers, targets and operators. An adapter only translates.
 */
#ifndef CHESTNUTGAP_FLEET_WIRE_H
#define CHESTNUTGAP_FLEET_WIRE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/address.h"
#include "base/error.h"
#include "fleet/declared.h"
#include "fleet/keymap.h"
#include "http/httpclient.h"
#include "http/httpheaders.h"
#include "http/httpserver.h"
#include "store/rowstore.h"

#define WIRE_BODY_MAX 512 /* bytes of a grant or release */

/** Kind of a row in the operators' table. */
enum wire_declaration_kind {
    WIRE_DECLARED_UNKNOWN, /**< not known to this adapter */
    WIRE_DECLARED_CONFIG,
    WIRE_DECLARED_ZONE_OUT, /**< or in again, if the row is deleted */
};

struct wire_declaration {
    enum wire_declaration_kind kind;
    struct declared *config; /**< the receiver destroys it */
    char zone[KEYMAP_NAME_MAX + 1];
};

/** A caller's request. Strings belong to the HTTP request. */
struct wire_request {
    const char *id;   /**< NULL if it has none */
    const char *host; /**< empty if missing */
    bool has_time_left;
    int64_t time_left_us; /**< until the caller's deadline */
    bool has_key;
    uint32_t key;
    /** API key; NULL unless there is exactly one that is well-formed. */
    const char *api_key;
};

/** Header fields set for the target. */
struct wire_target_fields {
    const char *target;    /**< incarnation that is to run it */
    const char *caller;    /**< service of the caller's instance */
    const char *workspace; /**< of the caller, or empty */
    int64_t time_left_us;
};

/** Meaning of a target's answer. */
enum wire_answer_kind {
    WIRE_ANSWER_RUN,      /**< the request ran; forward the answer */
    WIRE_ANSWER_NOT_RUN,  /**< it did not and will not run */
    WIRE_ANSWER_NOT_HELD, /**< not run: no grant, or another target */
    WIRE_ANSWER_INVALID,  /**< not shown to be the target's own answer */
};

/** What an answer says of its target's rate limit. */
enum wire_limit {
    WIRE_LIMIT_NONE,   /**< the target has none */
    WIRE_LIMIT_NAMED,  /**< limit_per_s is set */
    WIRE_LIMIT_INVALID /**< can't be read; says nothing */
};

/** What a target says of itself in an answer, to any request. */
struct wire_notice {
    enum wire_limit limit;
    double limit_per_s; /**< requests per second from all instances together */
    bool leaving;       /**< it accepts no new requests */
    /** First field that can't be read, and its value; NULL: none. They belong
     * to the answer. */
    const char *invalid_field;
    const char *invalid_value;
};

struct wire_answer {
    enum wire_answer_kind kind;
    bool has_load;
    unsigned load; /**< running and queued requests */
};

/** Reply to a caller without an answer of a target. */
enum wire_refusal_kind {
    WIRE_REFUSED,      /**< did not and will not run */
    WIRE_UNKNOWN,      /**< may have run */
    WIRE_TIMEOUT,      /**< may have run; the deadline has passed */
    WIRE_NO_ROUTE,     /**< no route matches */
    WIRE_INVALID,      /**< a required field is missing */
    WIRE_UNAUTHORIZED, /**< no API key of a workspace */
    WIRE_OVER_QUOTA,   /**< of the workspace; did not and will not run */
};

struct wire_refusal {
    enum wire_refusal_kind kind;
    int64_t retry_after_us; /**< 0: no advice */
    const char *reason;     /**< one word, for diagnosis */
};

/** A target's announcement. */
struct wire_announcement {
    char target[KEYMAP_NAME_MAX + 1]; /**< name of the incarnation */
    char service[KEYMAP_NAME_MAX + 1];
    char zone[KEYMAP_NAME_MAX + 1];
    struct address address;
    bool gone;    /**< it left or is leaving; only target is set */
    bool leaving; /**< it accepts no new requests */
    unsigned slots;
    int64_t cold_left_us;
    int64_t sequence;   /**< increases within an incarnation */
    int64_t started_ms; /**< start of the incarnation; 0: unknown */
};

/** Grant of keys to a target. */
struct wire_grant {
    uint32_t first;
    uint32_t last;
    uint64_t fence;
    int64_t hold_us;
    const char *token; /**< handover token, or empty */
};

/** Content of a health answer. */
struct wire_health {
    char target[KEYMAP_NAME_MAX + 1]; /**< empty: unknown */
    bool healthy;
    bool has_cold_left;
    int64_t cold_left_us;
};

struct wire {
    /** Table of the store with the operators' declarations. */
    const char *declared_table;
    const char *ready_path;
    const char *grant_path;
    const char *release_path;

    bool (*read_declaration)(const struct rowstore_row *row,
                             struct wire_declaration *declaration,
                             struct error *err);
    void (*read_request)(const struct http_request *request,
                         struct wire_request *read);
    /** Whether a caller's header field is forwarded to the target.
     * has_workspaces: API keys are read, and must not reach a target. */
    bool (*forwards_header)(const char *name, bool has_workspaces);
    void (*add_target_fields)(struct http_headers *headers,
                              const struct wire_target_fields *fields);
    /** Whether an answer belongs to the request with this id; NULL: to one
     * without an id. */
    bool (*answer_matches_request)(const struct http_headers *headers,
                                   const char *id);
    void (*read_answer)(const struct http_result *result,
                        struct wire_answer *answer);
    /** Reads what the target says of itself in any of its answers. */
    void (*read_notice)(const struct http_headers *headers,
                        struct wire_notice *notice);
    void (*refuse)(struct http_request *request,
                   const struct wire_refusal *refusal);
    bool (*read_announcement)(const struct http_request *request,
                              struct wire_announcement *announcement,
                              struct error *err);
    /** Writes the body of a grant. @return its size without terminator */
    size_t (*write_grant)(const struct wire_grant *grant,
                          char body[WIRE_BODY_MAX]);
    size_t (*write_release)(const struct wire_grant *grant,
                            char body[WIRE_BODY_MAX]);
    /** Handover token in the answer to a release, or NULL. */
    const char *(*read_token)(const struct http_headers *headers);
    void (*read_health)(const struct http_result *result,
                        struct wire_health *health);
};

#endif
