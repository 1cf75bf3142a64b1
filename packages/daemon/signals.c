#include "daemon/signals.h"

#include <signal.h>
#include <stdlib.h>
#include <unistd.h>

#include <event2/event.h>

#include "daemon/daemon_internal.h"

struct signals {
    struct daemon *daemon;
    struct event *terminate;
    struct event *interrupt;
    bool stopping;
};

static void
on_signal(evutil_socket_t number, short what, void *ctx)
{
    struct signals *signals = ctx;
    (void)what;
    if (signals->stopping) {
        _exit(128 + (int)number);
    }
    signals->stopping = true;
    daemon_shut_down(signals->daemon);
}

struct signals *
signals_create(struct daemon *daemon, struct error *err)
{
    struct event_base *base = runtime_event_base(daemon->runtime);
    struct signals *signals = calloc(1, sizeof(*signals));
    if (signals == NULL) {
        error_set(err, ERROR_NO_MEMORY, "signals");
        return NULL;
    }
    signal(SIGPIPE, SIG_IGN);
    signals->daemon = daemon;
    signals->terminate = evsignal_new(base, SIGTERM, on_signal, signals);
    signals->interrupt = evsignal_new(base, SIGINT, on_signal, signals);
    if (signals->terminate == NULL || signals->interrupt == NULL ||
        event_add(signals->terminate, NULL) != 0 ||
        event_add(signals->interrupt, NULL) != 0) {
        error_set(err, ERROR_EVENT_LOOP, "signals");
        signals_destroy(signals);
        return NULL;
    }
    return signals;
}

void
signals_destroy(struct signals *signals)
{
    if (signals == NULL) {
        return;
    }
    if (signals->terminate != NULL) {
        event_free(signals->terminate);
    }
    if (signals->interrupt != NULL) {
        event_free(signals->interrupt);
    }
    free(signals);
}
