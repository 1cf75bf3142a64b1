#include "daemon/platformdaemon.h"

#include <signal.h>
#include <stdlib.h>
#include <sys/stat.h>
#include <unistd.h>

#include <event2/event.h>
#include <jansson.h>

#define LOG_MODULE "main"
#include "base/counter.h"
#include "base/log.h"
#include "base/memory.h"
#include "base/random.h"
#include "base/runtime.h"
#include "node/node.h"
#include "platform/platform.h"

#define FILE_CHECK_INTERVAL_US (1 * US_PER_SECOND)

struct platformdaemon {
    const char *settings_file;
    struct runtime *runtime;
    struct counter_registry *counters;
    struct platform_rows *rows;
    struct node *node;
    struct event *terminate;
    struct event *interrupt;
    struct event *reload;
    struct timer file_timer;
    struct timespec file_mtime; /* at the last check */
    off_t file_size;
};

static void
on_stopped(void *ctx)
{
    struct platformdaemon *daemon = ctx;
    runtime_stop(daemon->runtime);
}

static void
on_stop_signal(evutil_socket_t number, short what, void *ctx)
{
    struct platformdaemon *daemon = ctx;
    (void)what;
    LOG_INFO("signal", LOG_INT("number", number));
    node_stop(daemon->node);
}

/** Whether the settings file has changed since the last call. */
static bool
file_changed(struct platformdaemon *daemon)
{
    struct stat status;
    if (stat(daemon->settings_file, &status) != 0) {
        return false;
    }
    const bool changed =
        status.st_mtim.tv_sec != daemon->file_mtime.tv_sec ||
        status.st_mtim.tv_nsec != daemon->file_mtime.tv_nsec ||
        status.st_size != daemon->file_size;
    daemon->file_mtime = status.st_mtim;
    daemon->file_size = status.st_size;
    return changed;
}

static void
apply_log(const struct nodesettings *settings)
{
    log_init(stdout, settings->log_level);
    log_set_rate_limit(STDOUT_FILENO, settings->log_lines_per_s);
    log_set_sampling(settings->log_sample);
}

static void
reload_settings(struct platformdaemon *daemon)
{
    struct document_problems problems = {.count = 0};
    struct nodesettings settings;
    json_t *document = document_load(daemon->settings_file, &problems);
    if (document != NULL &&
        nodesettings_parse(document, &settings, &problems)) {
        apply_log(&settings);
        node_reload(daemon->node, &settings);
    }
    else {
        LOG_ERR("settings_invalid", LOG_UINT("problems", problems.count));
    }
    json_decref(document);
}

static void
on_reload_signal(evutil_socket_t number, short what, void *ctx)
{
    struct platformdaemon *daemon = ctx;
    (void)number;
    (void)what;
    file_changed(daemon);
    reload_settings(daemon);
}

static void
on_file_timer(void *ctx)
{
    struct platformdaemon *daemon = ctx;
    if (file_changed(daemon)) {
        reload_settings(daemon);
    }
    timer_start(&daemon->file_timer, FILE_CHECK_INTERVAL_US);
}

static bool
add_signals(struct platformdaemon *daemon, struct error *err)
{
    struct event_base *base = runtime_event_base(daemon->runtime);
    signal(SIGPIPE, SIG_IGN);
    daemon->terminate = evsignal_new(base, SIGTERM, on_stop_signal, daemon);
    daemon->interrupt = evsignal_new(base, SIGINT, on_stop_signal, daemon);
    daemon->reload = evsignal_new(base, SIGHUP, on_reload_signal, daemon);
    if (daemon->terminate == NULL || daemon->interrupt == NULL ||
        daemon->reload == NULL || event_add(daemon->terminate, NULL) != 0 ||
        event_add(daemon->interrupt, NULL) != 0 ||
        event_add(daemon->reload, NULL) != 0) {
        return error_set(err, ERROR_EVENT_LOOP, "signals");
    }
    return true;
}

static bool
start(struct platformdaemon *daemon, const struct nodesettings *settings,
      struct error *err)
{
    daemon->runtime = runtime_create(err);
    if (daemon->runtime == NULL) {
        return false;
    }
    daemon->counters = counter_registry_create();
    if (daemon->counters == NULL) {
        return error_set(err, ERROR_NO_MEMORY, "counters");
    }
    daemon->rows = platform_rows_create(daemon->runtime, &settings->store,
                                        daemon->counters);
    const struct node_options options = {
        .runtime = daemon->runtime,
        .counters = daemon->counters,
        .settings = settings,
        .wire = &platform_wire,
        .store = platform_rows_store(daemon->rows),
        .seed = random_entropy(),
        .stopped = on_stopped,
        .ctx = daemon,
    };
    daemon->node = node_create(&options, err);
    if (daemon->node == NULL || !add_signals(daemon, err)) {
        return false;
    }
    file_changed(daemon);
    timer_init(&daemon->file_timer, daemon->runtime, on_file_timer, daemon);
    timer_start(&daemon->file_timer, FILE_CHECK_INTERVAL_US);
    return true;
}

static void
free_signal(struct event *event)
{
    if (event != NULL) {
        event_free(event);
    }
}

static void
finish(struct platformdaemon *daemon)
{
    if (daemon->runtime == NULL) {
        return;
    }
    free_signal(daemon->terminate);
    free_signal(daemon->interrupt);
    free_signal(daemon->reload);
    if (daemon->node != NULL && daemon->file_timer.runtime != NULL) {
        timer_stop(&daemon->file_timer);
    }
    node_destroy(daemon->node);
    platform_rows_destroy(daemon->rows);
    if (daemon->counters != NULL) {
        counter_registry_destroy(daemon->counters);
    }
    runtime_destroy(daemon->runtime);
}

bool
platformdaemon_run(const char *settings_file,
                   const struct nodesettings *settings, struct error *err)
{
    struct platformdaemon daemon = {.settings_file = settings_file};
    log_set_instance(settings->instance);
    apply_log(settings);
    const bool started = start(&daemon, settings, err);
    if (started) {
        runtime_run(daemon.runtime);
    }
    finish(&daemon);
    return started;
}
