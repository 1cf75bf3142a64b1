/**
 * @file
 * How a deployment names things: the operations by which an adapter reads
 * and writes the messages of callers, targets and operators. An adapter
 * decides nothing; it only translates.
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

#define WIRE_BODY_MAX 512 /* bytes of an order to a target */

/** What a row of the operators' table says. */
enum wire_declaration_kind {
    WIRE_DECLARED_UNKNOWN, /**< a row that this adapter does not know */
    WIRE_DECLARED_CONFIG,
    WIRE_DECLARED_ZONE_OUT, /**< or, if the row is removed, back in */
};

struct wire_declaration {
    enum wire_declaration_kind kind;
    struct declared *config; /**< the receiver destroys it */
    char zone[KEYMAP_NAME_MAX + 1];
};

/** A caller's request. Texts belong to the request. */
struct wire_request {
    const char *id;   /**< NULL if it has none */
    const char *host; /**< empty if it names none */
    bool has_time_left;
    int64_t time_left_us; /**< how long the caller waits */
    bool has_key;
    uint32_t key;
};

/** Fields that the system sets for the target. */
struct wire_target_fields {
    const char *target; /**< life of the target that is to run it */
    const char *caller; /**< service from whose machine it came */
    int64_t time_left_us;
};

/** What a target's answer means. */
enum wire_answer_kind {
    WIRE_ANSWER_RUN,      /**< the target's own answer, to be passed on */
    WIRE_ANSWER_NOT_RUN,  /**< the target did not and will not run it */
    WIRE_ANSWER_NOT_HELD, /**< likewise: it lacks the key, or is another */
    WIRE_ANSWER_INVALID,  /**< a success that is not the target's */
};

struct wire_answer {
    enum wire_answer_kind kind;
    bool has_load;
    unsigned load; /**< requests that it runs and queues */
};

/** What a caller is told if there is no answer of a target. */
enum wire_refusal_kind {
    WIRE_REFUSED,  /**< not run, and never will be */
    WIRE_UNKNOWN,  /**< may have run */
    WIRE_TIMEOUT,  /**< may have run; the time is over */
    WIRE_NO_ROUTE, /**< no route matches */
    WIRE_INVALID,  /**< the request lacks what it must have */
};

struct wire_refusal {
    enum wire_refusal_kind kind;
    int64_t retry_after_us; /**< 0: no advice */
    const char *reason;     /**< one word for people */
};

/** What a target says of itself. */
struct wire_announcement {
    char target[KEYMAP_NAME_MAX + 1]; /**< names this life of the target */
    char service[KEYMAP_NAME_MAX + 1];
    char zone[KEYMAP_NAME_MAX + 1];
    struct address address;
    bool gone;    /**< it has left or is about to; then only target is set */
    bool leaving; /**< it wants nothing new */
    unsigned slots;
    int64_t cold_left_us;
    int64_t sequence; /**< rises within one life */
    int64_t born_ms;  /**< start of this life; 0: not said */
};

/** Keys for a target to hold. */
struct wire_grant {
    uint32_t first;
    uint32_t last;
    uint64_t fence;
    int64_t hold_us;
    const char *token; /**< of the hand-over, or empty */
};

/** What a health answer says. */
struct wire_health {
    char target[KEYMAP_NAME_MAX + 1]; /**< empty: not said */
    bool healthy;
    bool has_cold_left;
    int64_t cold_left_us;
};

struct wire {
    /** Table of the store in which operators declare. */
    const char *declared_table;
    /** Path at which readiness is asked for. */
    const char *ready_path;
    const char *grant_path;
    const char *release_path;

    bool (*read_declaration)(const struct rowstore_row *row,
                             struct wire_declaration *declaration,
                             struct error *err);
    void (*read_request)(const struct http_request *request,
                         struct wire_request *read);
    /** Whether a caller's field is passed on to the target. */
    bool (*passes)(const char *name);
    void (*add_target_fields)(struct http_headers *headers,
                              const struct wire_target_fields *fields);
    /** Whether an answer is that of the request with this id. */
    bool (*belongs)(const struct http_headers *headers, const char *id);
    void (*read_answer)(const struct http_result *result,
                        struct wire_answer *answer);
    void (*refuse)(struct http_request *request,
                   const struct wire_refusal *refusal);
    bool (*read_announcement)(const struct http_request *request,
                              struct wire_announcement *announcement,
                              struct error *err);
    /** Writes the body of a grant; the size does not count the end. */
    size_t (*write_grant)(const struct wire_grant *grant,
                          char body[WIRE_BODY_MAX]);
    size_t (*write_release)(const struct wire_grant *grant,
                            char body[WIRE_BODY_MAX]);
    /** Token of a hand-over in the answer to a release, or NULL. */
    const char *(*read_token)(const struct http_headers *headers);
    void (*read_health)(const struct http_result *result,
                        struct wire_health *health);
};

#endif
