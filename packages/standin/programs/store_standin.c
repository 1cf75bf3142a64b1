/**
 * @file
 * Stand-in for the platform's store: keeps rows and objects in memory and
 * serves them over HTTP (docs/STORE.md). For tests and demonstrations.
 */
#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include <event2/event.h>

#include "base/address.h"
#include "base/runtime.h"
#include "standin/storeserver.h"
#include "store/storememory.h"

#define DESCRIBE_SIZE 512

struct arguments {
    struct address listen;
    const char *port_file;
    uint64_t seed;
};

static const struct argp_option options[] = {
    {"listen", 'l', "IP:PORT", 0, "Address to listen on (port 0: any)", 0},
    {"port-file", 'p', "FILE", 0, "Write the port to FILE when ready", 0},
    {"seed", 's', "N", 0, "Seed of the random faults", 0},
    {0},
};

static error_t
parse_option(int key, char *text, struct argp_state *state)
{
    struct arguments *arguments = state->input;
    struct error err;
    switch (key) {
    case 'l':
        if (!address_parse(text, &arguments->listen, &err)) {
            argp_error(state, "%s: %s", text, error_text(err.code));
        }
        return 0;
    case 'p':
        arguments->port_file = text;
        return 0;
    case 's':
        arguments->seed = strtoull(text, NULL, 10);
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

static void
on_signal(evutil_socket_t number, short what, void *ctx)
{
    (void)number;
    (void)what;
    runtime_stop(ctx);
}

static int
run_server(const struct arguments *arguments, struct runtime *runtime,
           struct store_memory *memory)
{
    struct error err = {.code = ERROR_NONE};
    struct store_server *server =
        store_server_create(runtime, memory, &arguments->listen, &err);
    if (server == NULL) {
        char text[DESCRIBE_SIZE];
        fprintf(stderr, "%s\n", error_describe(&err, text, sizeof(text)));
        return EXIT_FAILURE;
    }
    const uint16_t port = store_server_port(server);
    printf("listening on port %u\n", port);
    fflush(stdout);
    int status = EXIT_SUCCESS;
    if (arguments->port_file != NULL &&
        !write_port_file(arguments->port_file, port)) {
        perror(arguments->port_file);
        status = EXIT_FAILURE;
    }
    else {
        runtime_run(runtime);
    }
    store_server_destroy(server);
    return status;
}

int
main(int argc, char **argv)
{
    static const struct argp parser = {
        .options = options,
        .parser = parse_option,
        .doc = "Stand-in for the platform's store, in memory.",
    };
    struct arguments arguments = {.seed = 1};
    address_parse("127.0.0.1:0", &arguments.listen, NULL);
    argp_parse(&parser, argc, argv, 0, NULL, &arguments);
    signal(SIGPIPE, SIG_IGN);
    struct runtime *runtime = runtime_create(NULL);
    if (runtime == NULL) {
        return EXIT_FAILURE;
    }
    struct event *terminate =
        evsignal_new(runtime_event_base(runtime), SIGTERM, on_signal, runtime);
    event_add(terminate, NULL);
    struct store_memory *memory = store_memory_create(runtime, arguments.seed);
    const int status = run_server(&arguments, runtime, memory);
    store_memory_destroy(memory);
    event_free(terminate);
    runtime_destroy(runtime);
    return status;
}
