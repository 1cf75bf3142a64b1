/**
 * @file
 * Concurrent requests to the HTTP endpoints of daemons.
 */
#ifndef CHESTNUTGAP_CTL_CTLDAEMON_H
#define CHESTNUTGAP_CTL_CTLDAEMON_H

#include <stddef.h>

#include "ctl/ctl.h"
#include "membership/member.h"

#define DAEMON_PATH_STATUS "/chestnutgap/status"
#define DAEMON_PATH_PROMISES "/chestnutgap/promises"
#define DAEMON_PATH_ENTRIES "/chestnutgap/entries"
#define DAEMON_PATH_SUSPECTS "/chestnutgap/suspects"

/** A daemon and its answer. */
struct daemon_query {
    char name[STATE_NAME_MAX + 1];
    struct address address;
    json_t *answer; /**< NULL if none, or not JSON */
};

/** Daemons that get the same request. */
struct daemon_queries {
    struct daemon_query *queries;
    size_t count;
};

/** Reads the members table. Prints errors. */
enum ctl_exit daemon_read_members(struct ctl *ctl, struct member **members,
                                  size_t *count);

/**
 * Selects the daemon of --daemon, or else all live members. Prints errors.
 */
enum ctl_exit daemon_select(struct ctl *ctl, struct daemon_queries *queries);

/** Selects the members that may hold a lease. */
void daemon_select_live(const struct member *members, size_t count,
                        struct daemon_queries *queries);

void daemon_queries_clear(struct daemon_queries *queries);

struct daemon_request {
    const char *method;
    const char *path;
    const char *body; /**< NULL: none */
};

/** Sends a request to all and waits. Replaces earlier answers. */
void daemon_send_all(struct ctl *ctl, struct daemon_queries *queries,
                     const struct daemon_request *request);

void daemon_get_all(struct ctl *ctl, struct daemon_queries *queries,
                    const char *path);

#endif
