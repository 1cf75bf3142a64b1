/**
 * @file
 * Stand-in for a target of a service. For tests and demonstrations.
 */
#include <argp.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <event2/event.h>
#include <jansson.h>

#include "base/address.h"
#include "base/counter.h"
#include "base/random.h"
#include "base/runtime.h"
#include "http/httpclient.h"
#include "standin/targetserver.h"

#define ANNOUNCE_RETRY_US (200 * US_PER_MS)
#define ANNOUNCE_INTERVAL_US (1 * US_PER_SECOND) /* daemon may restart */
#define LEAVE_MAX_US (20 * US_PER_SECOND)
#define LEAVE_POLL_US (20 * US_PER_MS)
#define DESCRIBE_SIZE 512
#define INCARNATION_SIZE 32
#define SLOTS_DEFAULT 20
#define CONNECTIONS_DEFAULT 130
#define LATENCY_DEFAULT_US 1000

struct arguments {
    struct target_server_config server;
    struct address announce;
    bool has_announce;
    const char *port_file;
    unsigned connections;
};

struct program {
    struct runtime *runtime;
    struct target_server *server;
    struct http_client *daemon; /* NULL: no announcements */
    const struct arguments *arguments;
    struct timer announce_timer;
    struct timer leave_timer;
    int64_t leave_deadline_us;
    bool leaving;
    bool withdrawn; /* confirmed by the daemon */
    bool stopping;
};

static const struct argp_option options[] = {
    {"service", 's', "NAME", 0, "Service (default: demo)", 0},
    {"listen", 'l', "IP:PORT", 0, "Address to listen on (port 0: any)", 0},
    {"port-file", 'p', "FILE", 0, "Write the port to FILE when ready", 0},
    {"announce", 'a', "IP:PORT", 0, "Announce address of the daemon", 0},
    {"slots", 'n', "N", 0, "Concurrent requests (20)", 0},
    {"connections", 'c', "N", 0, "Connections to announce (130)", 0},
    {"cold-limit", 'b', "N", 0, "Requests in flight sustained while cold (2)",
     0},
    {"cold-start-ms", 'C', "N", 0, "Duration of the cold start (0)", 0},
    {"latency-us", 'L', "N", 0, "Processing time of a request (1000)", 0},
    {"check-grants", 'g', NULL, 0, "Refuse requests of former owners", 0},
    {"ledger-file", 'f', "FILE", 0, "Append executions as JSON lines", 0},
    {"seed", 'S', "N", 0, "Seed of the random faults", 0},
    {0},
};

static void
parse_address(struct argp_state *state, const char *text,
              struct address *address)
{
    struct error err;
    if (!address_parse(text, address, &err)) {
        argp_error(state, "%s: %s", text, error_text(err.code));
    }
}

static unsigned
parse_count(struct argp_state *state, const char *text)
{
    char *end;
    const unsigned long number = strtoul(text, &end, 10);
    if (*end != '\0' || *text == '\0' || number > INT32_MAX) {
        argp_error(state, "%s: not a number", text);
    }
    return (unsigned)number;
}

static error_t
parse_option(int key, char *text, struct argp_state *state)
{
    struct arguments *arguments = state->input;
    struct target_server_config *server = &arguments->server;
    switch (key) {
    case 's':
        server->service = text;
        return 0;
    case 'l':
        parse_address(state, text, &server->listen);
        return 0;
    case 'p':
        arguments->port_file = text;
        return 0;
    case 'a':
        parse_address(state, text, &arguments->announce);
        arguments->has_announce = true;
        return 0;
    case 'n':
        server->slots = parse_count(state, text);
        return 0;
    case 'c':
        arguments->connections = parse_count(state, text);
        return 0;
    case 'b':
        server->cold_limit = parse_count(state, text);
        return 0;
    case 'C':
        server->cold_start_us = parse_count(state, text) * US_PER_MS;
        return 0;
    case 'L':
        server->latency_us = parse_count(state, text);
        return 0;
    case 'g':
        server->check_grants = true;
        return 0;
    case 'f':
        server->ledger_file = text;
        return 0;
    case 'S':
        server->seed = strtoull(text, NULL, 10);
        return 0;
    case ARGP_KEY_ARG:
        argp_usage(state);
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

/** Writes a temporary file and renames it, so that readers never see a
 * partial file. */
static bool
write_port_file(const char *name, uint16_t port)
{
    char temporary[FILENAME_MAX];
    snprintf(temporary, sizeof(temporary), "%s.tmp", name);
    FILE *file = fopen(temporary, "w");
    if (file == NULL) {
        return false;
    }
    fprintf(file, "%u\n", port);
    return fclose(file) == 0 && rename(temporary, name) == 0;
}

static char *
announcement_to_json(const struct program *program)
{
    const struct target_server_config *config = &program->arguments->server;
    char address[ADDRESS_TEXT_SIZE];
    address_format(target_server_address(program->server), address);
    json_t *value = json_pack(
        "{ss ss ss sI sI sb sb}", "service", config->service, "address",
        address, "incarnation", config->incarnation, "slots",
        (json_int_t)config->slots, "connections",
        (json_int_t)program->arguments->connections, "checks_grants",
        config->check_grants, "cold", target_server_is_cold(program->server));
    char *text = json_dumps(value, JSON_COMPACT);
    json_decref(value);
    return text;
}

static void
on_announced(void *ctx, const struct http_result *result)
{
    struct program *program = ctx;
    const bool accepted =
        result->outcome == HTTP_ANSWERED && result->status == 200;
    if (program->leaving && accepted) {
        program->withdrawn = true;
        return;
    }
    timer_start(&program->announce_timer,
                accepted ? ANNOUNCE_INTERVAL_US : ANNOUNCE_RETRY_US);
}

static void
on_announce_timer(void *ctx)
{
    struct program *program = ctx;
    char *body = announcement_to_json(program);
    http_call_start(
        program->daemon,
        &(struct http_call_spec){
            .method = "POST",
            .target = program->leaving ? "/v1/withdraw" : "/v1/announce",
            .body = body,
            .body_size = strlen(body),
            .deadline_us = runtime_now_us(program->runtime) + US_PER_SECOND,
            .done = on_announced,
            .ctx = program,
        });
    free(body);
}

static void
on_stopped(void *ctx)
{
    struct program *program = ctx;
    runtime_stop(program->runtime);
}

/** Stops once the daemon has drained this target, or after LEAVE_MAX_US. */
static void
on_leave_timer(void *ctx)
{
    struct program *program = ctx;
    const bool drained = target_server_is_draining(program->server) &&
                         target_server_in_flight(program->server) == 0;
    const bool timed_out =
        runtime_now_us(program->runtime) >= program->leave_deadline_us;
    if (!program->stopping && (drained || timed_out)) {
        program->stopping = true;
        target_server_stop(program->server, on_stopped, program);
    }
    else if (program->stopping && timed_out) {
        runtime_stop(program->runtime);
    }
    timer_start(&program->leave_timer, LEAVE_POLL_US);
}

static void
on_signal(evutil_socket_t number, short what, void *ctx)
{
    struct program *program = ctx;
    (void)number;
    (void)what;
    if (program->daemon == NULL || program->leaving) {
        runtime_stop(program->runtime);
        return;
    }
    program->leaving = true;
    program->leave_deadline_us =
        runtime_now_us(program->runtime) + LEAVE_MAX_US;
    timer_start(&program->announce_timer, 0);
    timer_start(&program->leave_timer, LEAVE_POLL_US);
}

static int
run(struct program *program)
{
    const struct arguments *arguments = program->arguments;
    if (arguments->port_file != NULL &&
        !write_port_file(
            arguments->port_file,
            address_port(target_server_address(program->server)))) {
        perror(arguments->port_file);
        return EXIT_FAILURE;
    }
    struct event_base *base = runtime_event_base(program->runtime);
    struct event *terminate = evsignal_new(base, SIGTERM, on_signal, program);
    struct event *interrupt = evsignal_new(base, SIGINT, on_signal, program);
    event_add(terminate, NULL);
    event_add(interrupt, NULL);
    if (program->daemon != NULL) {
        timer_start(&program->announce_timer, 0);
    }
    runtime_run(program->runtime);
    timer_stop(&program->announce_timer);
    timer_stop(&program->leave_timer);
    event_free(terminate);
    event_free(interrupt);
    return EXIT_SUCCESS;
}

static int
start(const struct arguments *arguments)
{
    struct error err = {0};
    char text[DESCRIBE_SIZE];
    struct program program = {.arguments = arguments};
    struct counter_registry *counters = counter_registry_create();
    program.runtime = runtime_create(&err);
    if (counters == NULL || program.runtime == NULL) {
        fprintf(stderr, "%s\n", error_describe(&err, text, sizeof(text)));
        return EXIT_FAILURE;
    }
    int status = EXIT_FAILURE;
    timer_init(&program.announce_timer, program.runtime, on_announce_timer,
               &program);
    timer_init(&program.leave_timer, program.runtime, on_leave_timer,
               &program);
    program.server = target_server_create(program.runtime, &arguments->server,
                                          counters, &err);
    if (program.server == NULL) {
        fprintf(stderr, "%s\n", error_describe(&err, text, sizeof(text)));
        goto out;
    }
    if (arguments->has_announce) {
        program.daemon = http_client_create(
            program.runtime,
            &(struct http_client_config){.address = arguments->announce,
                                         .connections_max = 1},
            counters);
    }
    status = run(&program);

out:
    http_client_destroy(program.daemon);
    target_server_destroy(program.server);
    runtime_destroy(program.runtime);
    counter_registry_destroy(counters);
    return status;
}

int
main(int argc, char **argv)
{
    static const struct argp argp = {
        .options = options,
        .parser = parse_option,
        .doc = "Stand-in for a target of a service.",
    };
    char incarnation[INCARNATION_SIZE];
    snprintf(incarnation, sizeof(incarnation), "%016" PRIx64,
             random_entropy());
    struct arguments arguments = {
        .server = {.service = "demo",
                   .incarnation = incarnation,
                   .slots = SLOTS_DEFAULT,
                   .cold_limit = 2,
                   .latency_us = LATENCY_DEFAULT_US,
                   .seed = 1},
        .connections = CONNECTIONS_DEFAULT,
    };
    address_parse("127.0.0.1:0", &arguments.server.listen, NULL);
    argp_parse(&argp, argc, argv, 0, NULL, &arguments);
    return start(&arguments);
}
