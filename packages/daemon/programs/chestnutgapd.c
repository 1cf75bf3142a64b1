/**
 * @file
 * The daemon that runs beside each target.
 */
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

#define LOG_MODULE "main"
#include "base/log.h"
#include "daemon/daemon.h"
#include "daemon/platformdaemon.h"
#include "daemon/signals.h"

#define EXIT_USAGE 2
#define SETTINGS_VARIABLE "CHESTNUTGAP_CONFIG"

/* Command line options. */
struct options {
    char *settings_file;
    char *addresses_file;
    bool check;
};

enum option_key {
    OPTION_SETTINGS = 's',
    OPTION_CHECK = 'c',
    OPTION_ADDRESSES = 'a',
};

const char *argp_program_version = "chestnutgapd " CHESTNUTGAP_VERSION;

static const struct argp_option option_list[] = {
    {"settings", OPTION_SETTINGS, "FILE", 0, "Settings of this daemon", 0},
    {"check", OPTION_CHECK, NULL, 0,
     "Check the settings, list all errors and exit", 0},
    {"addresses-file", OPTION_ADDRESSES, "FILE", 0,
     "Write the addresses in use to FILE as JSON", 0},
    {0},
};

static error_t
parse_option(int key, char *argument, struct argp_state *state)
{
    struct options *options = state->input;
    switch (key) {
    case OPTION_SETTINGS:
        options->settings_file = argument;
        return 0;
    case OPTION_CHECK:
        options->check = true;
        return 0;
    case OPTION_ADDRESSES:
        options->addresses_file = argument;
        return 0;
    case ARGP_KEY_END:
        if (options->settings_file == NULL) {
            options->settings_file = getenv(SETTINGS_VARIABLE);
        }
        if (options->settings_file == NULL) {
            argp_error(state,
                       "--settings or " SETTINGS_VARIABLE " is required");
        }
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static void
report(const char *program, const struct error *err)
{
    char text[ERROR_SUBJECT_SIZE * 2];
    fprintf(stderr, "%s: %s\n", program,
            error_describe(err, text, sizeof(text)));
}

static int
run(const struct options *options, const struct settings *settings)
{
    struct error err = {.code = ERROR_NONE};
    struct daemon *daemon = daemon_create(settings, &err);
    if (daemon == NULL) {
        report("chestnutgapd", &err);
        return EXIT_FAILURE;
    }
    int status = EXIT_FAILURE;
    struct signals *signals = signals_create(daemon, &err);
    if (signals == NULL ||
        (options->addresses_file != NULL &&
         !daemon_write_addresses(daemon, options->addresses_file, &err))) {
        report("chestnutgapd", &err);
        goto out;
    }
    daemon_run(daemon);
    status = EXIT_SUCCESS;

out:
    signals_destroy(signals);
    daemon_destroy(daemon);
    return status;
}

/** Runs on a platform if the settings are for one. @return false if they are
 * not */
static bool
run_on_platform(const struct options *options, int *status)
{
    struct document_problems problems = {.count = 0};
    struct nodesettings settings;
    struct error err = {.code = ERROR_NONE};
    json_t *document = document_load(options->settings_file, &problems);
    const bool matches = document != NULL && nodesettings_match(document);
    *status = EXIT_SUCCESS;
    if (matches && !nodesettings_parse(document, &settings, &problems)) {
        document_print_problems(&problems, options->settings_file, stderr);
        *status = EXIT_USAGE;
    }
    else if (matches && options->check) {
        printf("%s: valid\n", options->settings_file);
    }
    else if (matches &&
             !platformdaemon_run(options->settings_file, &settings, &err)) {
        report("chestnutgapd", &err);
        *status = EXIT_FAILURE;
    }
    json_decref(document);
    return matches;
}

int
main(int argc, char **argv)
{
    static const struct argp argp = {
        .options = option_list,
        .parser = parse_option,
        .doc = "Routes callers' requests to the instances that own their "
               "keys, and admits requests to the target beside it.",
    };
    struct options options = {.check = false};
    struct settings settings;
    struct document_problems problems = {.count = 0};
    argp_parse(&argp, argc, argv, 0, NULL, &options);
    int status;
    if (run_on_platform(&options, &status)) {
        return status;
    }
    if (!settings_load(options.settings_file, &settings, &problems)) {
        document_print_problems(&problems, options.settings_file, stderr);
        return EXIT_USAGE;
    }
    if (options.check) {
        printf("%s: valid\n", options.settings_file);
        return EXIT_SUCCESS;
    }
    settings_apply_log(&settings);
    return run(&options, &settings);
}
