/* The instance's sockets, and the handlers for readiness, metrics and
 * announcements. */
#include "node/node_internal.h"

#include <stdlib.h>
#include <string.h>

#include "http/httpserver.h"
#include "node/ingress.h"
#include "node/localtarget.h"
#include "node/nodemetrics.h"

#define PIPELINE_MAX 16
#define CALLERS_FDS_PERCENT 50 /* the rest: peers, the target, the store */
#define CALLERS_BODY_MAX_BYTES ((size_t)64 << 20)
#define STATUS_OK 200
#define STATUS_NOT_FOUND 404
#define STATUS_UNAVAILABLE 503

static void
answer_text(struct http_request *request, unsigned status, const char *text,
            size_t size)
{
    static const struct http_header headers[] = {
        {"Content-Type", "text/plain"},
    };
    http_request_reply(request, &(struct http_reply){
                                    .status = status,
                                    .headers = headers,
                                    .header_count = 1,
                                    .body = text,
                                    .body_size = size,
                                });
}

static bool
is_ready(const struct node *node)
{
    return !node->stopping && node->declared != NULL &&
           rowwatch_version(node->fleet_watch) > 0;
}

static void
on_readiness(void *ctx, struct http_request *request)
{
    struct node *node = ctx;
    unsigned status = STATUS_NOT_FOUND;
    if (strcmp(http_request_path(request), node->wire->ready_path) == 0) {
        status = is_ready(node) ? STATUS_OK : STATUS_UNAVAILABLE;
    }
    answer_text(request, status, "", 0);
}

static void
on_metrics(void *ctx, struct http_request *request)
{
    struct node *node = ctx;
    size_t size = 0;
    char *text = nodemetrics_print(node->nodemetrics, &size);
    answer_text(request, text != NULL ? STATUS_OK : STATUS_UNAVAILABLE, text,
                size);
    free(text);
}

static void
on_announcement(void *ctx, struct http_request *request)
{
    struct node *node = ctx;
    localtarget_handle_announcement(node->target, request);
}

static struct http_server *
open_server(struct node *node, const struct address *address,
            void (*handle)(void *ctx, struct http_request *request),
            struct error *err)
{
    const bool callers = handle == ingress_handle;
    const struct nodesettings *settings = &node->settings;
    struct http_server_config config = {
        .address = *address,
        .body_max_bytes = callers ? CALLERS_BODY_MAX_BYTES : 0,
        .pipeline_max = callers ? PIPELINE_MAX : 0,
        .handle = handle,
        .cancelled = callers ? ingress_cancelled : NULL,
        .ctx = node,
    };
    if (callers && settings->memory_mb > 0) {
        config.memory = &node->memory;
    }
    if (callers && settings->max_fds > 0) {
        config.connections_max = settings->max_fds * CALLERS_FDS_PERCENT / 100;
        config.closes_idle = true;
    }
    return http_server_create(node->runtime, &config, node->options.counters,
                              err);
}

bool
nodeservers_open(struct node *node, struct error *err)
{
    const struct nodesettings *settings = &node->settings;
    node->rpc = rpc_node_create(node->runtime, &settings->rpc,
                                node->options.counters, err);
    if (node->rpc == NULL) {
        return false;
    }
    node->readiness =
        open_server(node, &settings->readiness, on_readiness, err);
    node->metrics = open_server(node, &settings->metrics, on_metrics, err);
    node->announcements =
        open_server(node, &settings->announcements, on_announcement, err);
    node->callers = open_server(node, &settings->callers, ingress_handle, err);
    return node->readiness != NULL && node->metrics != NULL &&
           node->announcements != NULL && node->callers != NULL;
}
