/**
 * @file
 * Load generator: sends a fixed number of requests to entries and prints the
 * results as one JSON line.
 */
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/runtime.h"
#include "standin/loadresult.h"
#include "standin/loadrun.h"

#define DESCRIBE_SIZE 512
#define TIMEOUT_DEFAULT_US (5 * US_PER_SECOND)

struct arguments {
    struct load_config load;
    const char *outcome_log_file;
};

static const struct argp_option options[] = {
    {"entries", 'e', "IP:PORT,...", 0, "Entries, used round-robin", 0},
    {"prefix", 'x', "PATH", 0, "Paths are PATH/KEY (default: /demo)", 0},
    {"key-header", 'H', "NAME", 0, "Send the key in this header too", 0},
    {"connections", 'c', "N", 0, "Connections (16)", 0},
    {"rate", 'r', "N", 0, "Requests per second (100)", 0},
    {"seconds", 't', "N", 0, "Duration of the run (5)", 0},
    {"orders", 'o', "PERCENT", 0, "Share of orders (POST) (0)", 0},
    {"keys", 'k', "N", 0, "Number of keys (1000)", 0},
    {"zipf", 'z', "EXPONENT", 0, "Zipf exponent of the keys (0: uniform)", 0},
    {"body", 'b', "BYTES", 0, "Body size of an order (100)", 0},
    {"answer", 'a', "BYTES", 0, "Answer size to request", 0},
    {"resends", 'R', "N", 0, "Retries of an unanswered order (3)", 0},
    {"timeout-ms", 'T', "N", 0, "Timeout of a request (5000)", 0},
    {"seed", 's', "N", 0, "Seed of the random sequence (1)", 0},
    {"told-file", 'f', "FILE", 0, "Log the outcome of each order to FILE", 0},
    {0},
};

static void
parse_entries(struct argp_state *state, char *text, struct load_config *load)
{
    char *rest = NULL;
    for (char *entry = strtok_r(text, ",", &rest); entry != NULL;
         entry = strtok_r(NULL, ",", &rest)) {
        struct error err;
        if (load->entry_count == LOAD_ENTRIES_MAX ||
            !address_parse(entry, &load->entries[load->entry_count], &err)) {
            argp_error(state, "%s: invalid address, or too many entries",
                       entry);
        }
        load->entry_count++;
    }
}

static double
parse_number(struct argp_state *state, const char *text, double minimum)
{
    char *end;
    const double number = strtod(text, &end);
    if (*text == '\0' || *end != '\0' || !(number >= minimum)) {
        argp_error(state, "%s: expected a number of at least %g", text,
                   minimum);
    }
    return number;
}

static error_t
parse_numbers(int key, const char *text, struct argp_state *state)
{
    struct load_config *load = &((struct arguments *)state->input)->load;
    switch (key) {
    case 'c':
        load->connections = (unsigned)parse_number(state, text, 1);
        return 0;
    case 'r':
        load->rate = parse_number(state, text, 0.1);
        return 0;
    case 't':
        load->seconds = parse_number(state, text, 0.1);
        return 0;
    case 'o':
        load->order_percent = parse_number(state, text, 0);
        return 0;
    case 'k':
        load->key_count = (size_t)parse_number(state, text, 1);
        return 0;
    case 'z':
        load->zipf_exponent = parse_number(state, text, 0);
        return 0;
    case 'b':
        load->body_size = (size_t)parse_number(state, text, 0);
        return 0;
    case 'a':
        load->answer_size = (size_t)parse_number(state, text, 0);
        return 0;
    case 'R':
        load->retries_max = (unsigned)parse_number(state, text, 0);
        return 0;
    case 'T':
        load->timeout_us =
            (int64_t)(parse_number(state, text, 1) * (double)US_PER_MS);
        return 0;
    case 's':
        load->seed = (uint64_t)parse_number(state, text, 0);
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static error_t
parse_option(int key, char *text, struct argp_state *state)
{
    struct arguments *arguments = state->input;
    switch (key) {
    case 'e':
        parse_entries(state, text, &arguments->load);
        return 0;
    case 'x':
        arguments->load.prefix = text;
        return 0;
    case 'H':
        arguments->load.key_header = text;
        return 0;
    case 'f':
        arguments->outcome_log_file = text;
        return 0;
    case ARGP_KEY_ARG:
        argp_usage(state);
        return 0;
    case ARGP_KEY_END:
        if (arguments->load.entry_count == 0) {
            argp_error(state, "--entries is required");
        }
        return 0;
    default:
        return parse_numbers(key, text, state);
    }
}

static void
on_done(void *ctx)
{
    runtime_stop(ctx);
}

static int
run(const struct arguments *arguments)
{
    struct error err = {0};
    char text[DESCRIBE_SIZE];
    struct runtime *runtime = runtime_create(&err);
    if (runtime == NULL) {
        fprintf(stderr, "%s\n", error_describe(&err, text, sizeof(text)));
        return EXIT_FAILURE;
    }
    struct load_result *result = load_result_create();
    const int64_t start_us = runtime_now_us(runtime);
    struct load_run *load =
        load_run_create(runtime, &arguments->load, result, on_done, runtime);
    runtime_run(runtime);
    const double seconds =
        (double)(runtime_now_us(runtime) - start_us) / (double)US_PER_SECOND;
    json_t *report = load_result_to_json(result, seconds);
    json_dumpf(report, stdout, JSON_COMPACT | JSON_REAL_PRECISION(6));
    putchar('\n');
    json_decref(report);
    load_run_destroy(load);
    load_result_destroy(result);
    runtime_destroy(runtime);
    return EXIT_SUCCESS;
}

int
main(int argc, char **argv)
{
    static const struct argp argp = {
        .options = options,
        .parser = parse_option,
        .doc = "Sends requests to entries and prints the results as JSON.",
    };
    struct arguments arguments = {
        .load = {.prefix = "/demo",
                 .connections = 16,
                 .rate = 100,
                 .seconds = 5,
                 .key_count = 1000,
                 .body_size = 100,
                 .retries_max = 3,
                 .timeout_us = TIMEOUT_DEFAULT_US,
                 .seed = 1},
    };
    argp_parse(&argp, argc, argv, 0, NULL, &arguments);
    if (arguments.outcome_log_file != NULL) {
        arguments.load.outcome_log = fopen(arguments.outcome_log_file, "we");
        if (arguments.load.outcome_log == NULL) {
            perror(arguments.outcome_log_file);
            return EXIT_FAILURE;
        }
    }
    const int status = run(&arguments);
    if (arguments.load.outcome_log != NULL &&
        fclose(arguments.load.outcome_log) != 0) {
        return EXIT_FAILURE;
    }
    return status;
}
