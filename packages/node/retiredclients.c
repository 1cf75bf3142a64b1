#include "node/retiredclients.h"

#include <stdlib.h>

#include "base/memory.h"
#include "base/runtime.h"
#include "http/httpclient.h"

#define CHECK_INTERVAL_US (1 * US_PER_SECOND)

struct retiredclient {
    LIST_ENTRY(retiredclient) link;
    struct http_client *client;
    bool has_running;
    struct timer timer;
};

static void
retired_free(struct retiredclient *retired)
{
    timer_stop(&retired->timer);
    LIST_REMOVE(retired, link);
    http_client_destroy(retired->client);
    free(retired);
}

static void
on_check(void *ctx)
{
    struct retiredclient *retired = ctx;
    if (!retired->has_running ||
        http_client_connections(retired->client) == 0) {
        retired_free(retired);
        return;
    }
    timer_start(&retired->timer, CHECK_INTERVAL_US);
}

void
retiredclients_add(struct retiredclients *clients, struct http_client *client,
                   bool has_running)
{
    struct retiredclient *retired = memory_calloc(1, sizeof(*retired));
    retired->client = client;
    retired->has_running = has_running;
    LIST_INSERT_HEAD(&clients->list, retired, link);
    timer_init(&retired->timer, clients->runtime, on_check, retired);
    timer_start(&retired->timer, has_running ? CHECK_INTERVAL_US : 0);
}

bool
retiredclients_is_empty(const struct retiredclients *clients)
{
    return LIST_EMPTY(&clients->list);
}

void
retiredclients_clear(struct retiredclients *clients)
{
    struct retiredclient *retired = LIST_FIRST(&clients->list);
    while (retired != NULL) {
        struct retiredclient *next = LIST_NEXT(retired, link);
        retired_free(retired);
        retired = next;
    }
}
