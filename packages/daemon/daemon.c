#include "daemon/daemon_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <netinet/in.h>

#include <jansson.h>

#define LOG_MODULE "daemon"
#include "base/log.h"
#include "daemon/spreadwire.h"

#define SUSPECTS_CAPACITY 4096
#define LEASE_DEFAULT_US (750 * US_PER_MS)
#define RENEWAL_MAX_DEFAULT_US (14400 * US_PER_SECOND)
#define BYTES_PER_MB ((size_t)1 << 20)

static void
on_request(void *ctx, struct http_request *request)
{
    struct daemon *daemon = ctx;
    const char *path = http_request_path(request);
    if (strncmp(path, DAEMON_PAGES_PREFIX, strlen(DAEMON_PAGES_PREFIX)) == 0) {
        statuspages_handle(daemon, request);
        return;
    }
    entrytask_handle(daemon->entry, request);
}

static void
on_cancelled(void *ctx, struct http_request *request)
{
    struct daemon *daemon = ctx;
    entrytask_cancelled(daemon->entry, request);
}

static bool
open_sockets(struct daemon *daemon, struct error *err)
{
    const struct settings *settings = &daemon->settings;
    const struct http_server_config http = {
        .address = settings->http.listen,
        .body_max_bytes = settings->body_max_bytes,
        .bodies_max_bytes = settings->memory_mb * BYTES_PER_MB,
        .handle = on_request,
        .cancelled = on_cancelled,
        .ctx = daemon,
    };
    const struct target_config target = {
        .announce_address = settings->announce,
        .body_max_bytes = settings->body_max_bytes,
        .changed = daemonevents_target,
        .ctx = daemon,
    };
    daemon->node = rpc_node_create(daemon->runtime, &settings->rpc.listen,
                                   daemon->counters, err);
    if (daemon->node == NULL) {
        return false;
    }
    daemon->http =
        http_server_create(daemon->runtime, &http, daemon->counters, err);
    if (daemon->http == NULL) {
        return false;
    }
    daemon->target =
        target_create(daemon->runtime, &target, daemon->counters, err);
    return daemon->target != NULL;
}

static bool
open_store(struct daemon *daemon, struct error *err)
{
    const struct store_http_options options = {
        .address = daemon->settings.store,
        .timeout_us = daemon->settings.store_timeout_us,
        .connections = daemon->settings.store_connections,
        .counters = daemon->counters,
    };
    daemon->store_http = store_http_create(daemon->runtime, &options, err);
    if (daemon->store_http == NULL) {
        return false;
    }
    daemon->store = store_http_store(daemon->store_http);
    return true;
}

/* The advertised address, with the bound port in place of port 0. */
static struct address
advertised(const struct settings_endpoint *endpoint,
           const struct address *bound)
{
    struct address address = endpoint->advertise;
    if (address_port(&address) != 0) {
        return address;
    }
    const uint16_t port = htons(address_port(bound));
    if (address.storage.ss_family == AF_INET6) {
        ((struct sockaddr_in6 *)(void *)&address.storage)->sin6_port = port;
    }
    else {
        ((struct sockaddr_in *)(void *)&address.storage)->sin_port = port;
    }
    return address;
}

static void
fill_self(struct daemon *daemon)
{
    const struct settings *settings = &daemon->settings;
    struct member *self = &daemon->self;
    member_copy_name(self->self.instance, settings->instance);
    member_copy_name(self->zone, settings->zone);
    member_copy_name(self->region, settings->region);
    self->rpc = advertised(&settings->rpc, rpc_node_address(daemon->node));
    self->http =
        advertised(&settings->http, http_server_address(daemon->http));
    self->lease_us = LEASE_DEFAULT_US;
    self->renewal_max_us = RENEWAL_MAX_DEFAULT_US;
}

static void
create_gate(struct daemon *daemon)
{
    const struct gatetask_options options = {
        .runtime = daemon->runtime,
        .store = &daemon->store,
        .counters = daemon->counters,
        .suspects = daemon->suspects,
        .target = daemon->target,
        .instance = daemon->settings.instance,
        .memory_bytes = daemon->settings.memory_mb * BYTES_PER_MB,
        .seed = random_u64(&daemon->random),
        .shard = daemonevents_find_shard,
        .owned = daemonevents_ownership,
        .owner = daemonevents_find_own_owner,
        .target_cut = daemonevents_target_cut,
        .shard_idle = daemonevents_shard_idle,
        .delegate = daemonevents_delegate,
        .ctx = daemon,
    };
    daemon->gate = gatetask_create(&options);
}

static bool
create_members(struct daemon *daemon, struct error *err)
{
    struct membertask_config config = {
        .runtime = daemon->runtime,
        .store = &daemon->store,
        .transport = member_transport_rpc(daemon->node),
        .counters = daemon->counters,
        .seed = random_u64(&daemon->random),
        .poll_us = daemon->settings.members_poll_us,
        .self = daemon->self,
        .callbacks = daemonevents_membership,
    };
    config.callbacks.ctx = daemon;
    daemon->members = membertask_create(&config, err);
    if (daemon->members == NULL) {
        return false;
    }
    member_transport_serve(daemon->node, daemon->members);
    return true;
}

static void
create_placement(struct daemon *daemon)
{
    struct placetask_options options = {
        .runtime = daemon->runtime,
        .store = &daemon->store,
        .node = daemon->node,
        .counters = daemon->counters,
        .members = membertask_table(daemon->members),
        .instance = daemon->settings.instance,
        .zone = daemon->settings.zone,
        .poll_us = daemon->settings.members_poll_us,
        .seed = random_u64(&daemon->random),
        .callbacks = daemonevents_placement,
    };
    options.callbacks.ctx = daemon;
    daemon->placement = placetask_create(&options);
}

static void
create_entry(struct daemon *daemon)
{
    const struct forwarder_options forwarder = {
        .runtime = daemon->runtime,
        .node = daemon->node,
        .gate = daemon->gate,
        .members = daemon->members,
        .instance = daemon->settings.instance,
    };
    daemon->forwarder = forwarder_create(&forwarder);
    forwarder_serve(daemon->node, daemon->gate);
    const struct entrytask_options entry = {
        .runtime = daemon->runtime,
        .counters = daemon->counters,
        .forwarder = daemon->forwarder,
        .suspects = daemon->suspects,
        .members = membertask_table(daemon->members),
        .zone = daemon->settings.zone,
        .requests_max = daemon->settings.requests_max,
        .seed = random_u64(&daemon->random),
        .shard = daemonevents_find_shard,
        .owner = daemonevents_find_owner,
        .hint = daemonevents_owner_hint,
        .ctx = daemon,
    };
    daemon->entry = entrytask_create(&entry);
}

static void
create_config(struct daemon *daemon)
{
    const struct configtask_options options = {
        .runtime = daemon->runtime,
        .store = &daemon->store,
        .counters = daemon->counters,
        .poll_us = daemon->settings.config_poll_us,
        .in_force = daemonevents_config,
        .ctx = daemon,
    };
    daemon->config = configtask_create(&options);
}

struct daemon *
daemon_create(const struct settings *settings, struct error *err)
{
    struct daemon *daemon = calloc(1, sizeof(*daemon));
    if (daemon == NULL) {
        error_set(err, ERROR_NO_MEMORY, "daemon");
        return NULL;
    }
    daemon->settings = *settings;
    random_seed(&daemon->random, random_entropy());
    daemon->counters = counter_registry_create();
    daemon->suspects = suspects_create(SUSPECTS_CAPACITY);
    daemon->runtime = runtime_create(err);
    if (daemon->counters == NULL || daemon->suspects == NULL ||
        daemon->runtime == NULL || !open_sockets(daemon, err) ||
        !open_store(daemon, err)) {
        goto fail;
    }
    fill_self(daemon);
    create_gate(daemon);
    if (!create_members(daemon, err)) {
        goto fail;
    }
    create_placement(daemon);
    create_entry(daemon);
    create_config(daemon);
    spreadwire_create(daemon);
    daemon->invariantlog = invariantlog_create(daemon->runtime, &daemon->store,
                                               daemon->settings.instance);
    daemonevents_start_reports(daemon);
    LOG_INFO("started", LOG_STR("version", CHESTNUTGAP_VERSION));
    return daemon;

fail:
    daemon_destroy(daemon);
    return NULL;
}

void
daemon_destroy(struct daemon *daemon)
{
    if (daemon == NULL) {
        return;
    }
    if (daemon->phase != DAEMON_SERVING) {
        timer_stop(&daemon->drain_timer);
    }
    if (daemon->invariantlog != NULL) {
        timer_stop(&daemon->report_timer);
    }
    /* No callbacks of the store, the network or the target from here on. */
    store_http_destroy(daemon->store_http);
    invariantlog_destroy(daemon->invariantlog);
    spreadwire_destroy(daemon);
    configtask_destroy(daemon->config);
    gatetask_stop(daemon->gate);
    entrytask_destroy(daemon->entry);
    forwarder_destroy(daemon->forwarder);
    gatetask_destroy(daemon->gate);
    placetask_destroy(daemon->placement);
    membertask_destroy(daemon->members);
    target_destroy(daemon->target);
    http_server_destroy(daemon->http);
    rpc_node_destroy(daemon->node);
    suspects_destroy(daemon->suspects);
    counter_registry_destroy(daemon->counters);
    runtime_destroy(daemon->runtime);
    free(daemon);
}

void
daemon_run(struct daemon *daemon)
{
    runtime_run(daemon->runtime);
}

void
daemon_shut_down(struct daemon *daemon)
{
    shutdown_begin(daemon);
}

bool
daemon_write_addresses(const struct daemon *daemon, const char *file,
                       struct error *err)
{
    char http[ADDRESS_TEXT_SIZE];
    char rpc[ADDRESS_TEXT_SIZE];
    char announce[ADDRESS_TEXT_SIZE];
    json_t *addresses = json_pack(
        "{s:s, s:s, s:s}", "http", address_format(&daemon->self.http, http),
        "rpc", address_format(&daemon->self.rpc, rpc), "announce",
        address_format(target_announce_address(daemon->target), announce));
    const bool ok = json_dump_file(addresses, file, JSON_COMPACT) == 0;
    json_decref(addresses);
    return ok || error_set_system(err, "%s", file);
}
