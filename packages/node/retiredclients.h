/**
 * @file
 * HTTP clients of former incarnations of a target. One that may still run
 * requests is kept until these have ended.
 */
#ifndef CHESTNUTGAP_NODE_RETIREDCLIENTS_H
#define CHESTNUTGAP_NODE_RETIREDCLIENTS_H

#include <stdbool.h>
#include <sys/queue.h>

struct http_client;
struct retiredclient;
struct runtime;

LIST_HEAD(retiredclient_list, retiredclient);

/** Zeroed apart from runtime: none. */
struct retiredclients {
    struct runtime *runtime;
    struct retiredclient_list list;
};

/** Takes over a client, which is freed later, since this may be called from
 * its callback: at once or, if it has running requests, when they have ended.
 */
void retiredclients_add(struct retiredclients *clients,
                        struct http_client *client, bool has_running);

bool retiredclients_is_empty(const struct retiredclients *clients);

void retiredclients_clear(struct retiredclients *clients);

#endif
