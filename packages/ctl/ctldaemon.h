/**
 * @file
 * Questions to the daemons' HTTP endpoints, to many of them at once.
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

/** One daemon that is asked, and its answer. */
struct daemon_query {
    char name[STATE_NAME_MAX + 1];
    struct address address;
    json_t *answer; /**< NULL if it did not answer, or not with JSON */
};

/** Daemons that are asked the same. */
struct daemon_queries {
    struct daemon_query *queries;
    size_t count;
};

/** All rows of the members table. A failure is printed. */
enum ctl_exit daemon_read_members(struct ctl *ctl, struct member **members,
                                  size_t *count);

/**
 * The daemons to ask: the one of --daemon, or else all live members. A
 * failure is printed.
 */
enum ctl_exit daemon_select(struct ctl *ctl, struct daemon_queries *queries);

/** Those among members that may hold a lease. */
void daemon_select_live(const struct member *members, size_t count,
                        struct daemon_queries *queries);

void daemon_queries_clear(struct daemon_queries *queries);

/** What to ask. */
struct daemon_request {
    const char *method;
    const char *path;
    const char *body; /**< NULL: none */
};

/** Asks all; each keeps its answer. Earlier answers are dropped. */
void daemon_send_all(struct ctl *ctl, struct daemon_queries *queries,
                     const struct daemon_request *request);

/** Asks for a path by GET. */
void daemon_get_all(struct ctl *ctl, struct daemon_queries *queries,
                    const char *path);

#endif
