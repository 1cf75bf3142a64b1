#include "ctl/ctlmain.h"

#include <argp.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "ctl/commands.h"

const char *argp_program_version = "chestnutgapctl " CHESTNUTGAP_VERSION;

#define DEFAULT_TIMEOUT_MS 10000
#define TIMEOUT_MAX_MS 3600000
#define SINCE_MAX_S (INT64_C(10) * 365 * 24 * 3600)
#define SINCE_DEFAULT_S 86400
#define LIMIT_DEFAULT 100
#define LIMIT_MAX 1000000

/** Keys of options without a short name. */
enum option_key {
    OPTION_STORE = 1000,
    OPTION_DAEMON,
    OPTION_JSON,
    OPTION_TIMEOUT,
    OPTION_SETTINGS,
    OPTION_BASE,
    OPTION_WAIT,
    OPTION_AUTHOR,
    OPTION_REVISION,
    OPTION_SINCE,
    OPTION_LIMIT,
    OPTION_SERVICE,
    OPTION_LOG,
};

struct command {
    const char *name;
    const char *arguments_doc;
    const char *doc;
    size_t arguments_min;
    size_t arguments_max;
    const struct argp_option *options;
    enum ctl_exit (*run)(struct ctl *ctl);
};

/** Input of the argp parsers. */
struct command_line {
    const struct command *command; /* NULL until parsed */
    struct ctl_options options;
};

static const struct argp_option global_options[] = {
    {"store", OPTION_STORE, "IP:PORT", 0,
     "Address of the store (or the environment's CHESTNUTGAP_STORE)", 1},
    {"daemon", OPTION_DAEMON, "IP:PORT", 0,
     "Ask this daemon only, at its HTTP address", 1},
    {"json", OPTION_JSON, NULL, 0, "Print JSON", 1},
    {"timeout", OPTION_TIMEOUT, "MS", 0,
     "Longest time of the command in milliseconds (10000)", 1},
    {0},
};

static const struct argp_option check_options[] = {
    {"settings", OPTION_SETTINGS, NULL, 0,
     "The file holds settings of a daemon", 0},
    {0},
};

static const struct argp_option apply_options[] = {
    {"base", OPTION_BASE, "REVISION", 0,
     "Refuse unless this is the newest revision", 0},
    {"wait", OPTION_WAIT, NULL, 0, "Wait until it is in force everywhere", 0},
    {"author", OPTION_AUTHOR, "NAME", 0, "Who applies it (login name)", 0},
    {0},
};

static const struct argp_option get_options[] = {
    {"revision", OPTION_REVISION, "N", 0,
     "Print revision N instead of the newest", 0},
    {0},
};

static const struct argp_option audit_options[] = {
    {"since", OPTION_SINCE, "SECONDS", 0,
     "Show changes of the last SECONDS (default: a day)", 0},
    {"limit", OPTION_LIMIT, "N", 0,
     "Show at most the newest N changes (default: 100)", 0},
    {0},
};

static const struct argp_option promises_options[] = {
    {"since", OPTION_SINCE, "SECONDS", 0,
     "Include audit rows of the last SECONDS (default: a day)", 0},
    {0},
};

static const struct argp_option explain_options[] = {
    {"service", OPTION_SERVICE, "NAME", 0, "Service of the key", 0},
    {"log", OPTION_LOG, "FILE", 0,
     "Print the timeline of a request id, or of key=NUMBER, from the log "
     "lines in FILE (- is standard input); all sums all requests by cause",
     0},
    {0},
};

static const struct argp_option suspects_options[] = {
    {"author", OPTION_AUTHOR, "NAME", 0,
     "Author of the change (default: login name)", 0},
    {0},
};

static const struct command commands[] = {
    {"check", "FILE", "Check a declared state, or settings", 1, 1,
     check_options, command_check},
    {"diff", "FILE", "Compare a declared state with the newest revision", 1, 1,
     NULL, command_diff},
    {"apply", "FILE", "Make a declared state the next revision", 1, 1,
     apply_options, command_apply},
    {"get", "", "Print the declared state", 0, 0, get_options, command_get},
    {"status", "", "Show revision, zones and daemons", 0, 0, NULL,
     command_status},
    {"owners", "[SERVICE]", "Show how many shards each instance owns", 0, 1,
     NULL, command_owners},
    {"members", "", "Show the instances", 0, 0, NULL, command_members},
    {"audit", "", "Show changes", 0, 0, audit_options, command_audit},
    {"explain", "KEY --service NAME | ID --log FILE",
     "Show who owns a key and why, or how a request ended", 1, 1,
     explain_options, command_explain},
    {"promises", "", "Show whether each promise was kept", 0, 0,
     promises_options, command_promises},
    {"suspects", "list | lift FINGERPRINT",
     "Show requests suspected of stopping targets, or lift a suspicion", 1, 2,
     suspects_options, command_suspects},
    {"entries", "", "Show where callers can enter", 0, 0, NULL,
     command_entries},
};

#define COMMAND_COUNT (sizeof(commands) / sizeof(commands[0]))

static const struct command *
find_command(const char *name)
{
    for (size_t i = 0; i < COMMAND_COUNT; i++) {
        if (strcmp(commands[i].name, name) == 0) {
            return &commands[i];
        }
    }
    return NULL;
}

static int64_t
parse_number(struct argp_state *state, const char *text, int64_t min,
             int64_t max)
{
    char *end;
    errno = 0;
    const long long number = strtoll(text, &end, 10);
    if (errno != 0 || end == text || *end != '\0' || number < min ||
        number > max) {
        argp_error(state, "%s: expected a number from %lld to %lld", text,
                   (long long)min, (long long)max);
    }
    return number;
}

static void
parse_address(struct argp_state *state, const char *text,
              struct address *address)
{
    if (!address_parse(text, address, NULL) || address_port(address) == 0) {
        argp_error(state, "%s: %s", text, error_text(ERROR_ADDRESS));
    }
}

static void
copy_text(struct argp_state *state, const char *text, char *buffer,
          size_t size)
{
    if (text[0] == '\0' || strlen(text) >= size) {
        argp_error(state, "%s: expected 1 to %zu bytes", text, size - 1);
    }
    snprintf(buffer, size, "%s", text);
}

static error_t
parse_global(int key, char *text, struct argp_state *state)
{
    struct ctl_options *options = state->input;
    switch (key) {
    case OPTION_STORE:
        parse_address(state, text, &options->store);
        options->has_store = true;
        return 0;
    case OPTION_DAEMON:
        parse_address(state, text, &options->daemon);
        options->has_daemon = true;
        return 0;
    case OPTION_JSON:
        options->json = true;
        return 0;
    case OPTION_TIMEOUT:
        options->timeout_us =
            parse_number(state, text, 1, TIMEOUT_MAX_MS) * US_PER_MS;
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp global_parser = {
    .options = global_options,
    .parser = parse_global,
};

static const struct argp_child children[] = {
    {&global_parser, 0, "Options of all commands:", 2},
    {0},
};

static void
add_argument(struct argp_state *state, struct command_line *command_line,
             const char *text)
{
    struct ctl_options *options = &command_line->options;
    if (options->argument_count >= command_line->command->arguments_max) {
        argp_error(state, "%s: one argument too many", text);
    }
    copy_text(state, text, options->arguments[options->argument_count++],
              sizeof(options->arguments[0]));
}

static error_t
parse_command_option(int key, char *text, struct argp_state *state)
{
    struct command_line *command_line = state->input;
    struct ctl_options *options = &command_line->options;
    switch (key) {
    case ARGP_KEY_INIT:
        state->child_inputs[0] = options;
        return 0;
    case ARGP_KEY_ARG:
        add_argument(state, command_line, text);
        return 0;
    case ARGP_KEY_END:
        if (options->argument_count < command_line->command->arguments_min) {
            argp_error(state, "expected %s",
                       command_line->command->arguments_doc);
        }
        return 0;
    case OPTION_SETTINGS:
        options->settings = true;
        return 0;
    case OPTION_BASE:
        options->base = (uint64_t)parse_number(state, text, 0, INT64_MAX);
        options->has_base = true;
        return 0;
    case OPTION_WAIT:
        options->wait = true;
        return 0;
    case OPTION_AUTHOR:
        copy_text(state, text, options->author, sizeof(options->author));
        return 0;
    case OPTION_REVISION:
        options->revision = (uint64_t)parse_number(state, text, 1, INT64_MAX);
        return 0;
    case OPTION_SINCE:
        options->since_s = parse_number(state, text, 1, SINCE_MAX_S);
        return 0;
    case OPTION_LIMIT:
        options->limit = (size_t)parse_number(state, text, 1, LIMIT_MAX);
        return 0;
    case OPTION_SERVICE:
        copy_text(state, text, options->service, sizeof(options->service));
        return 0;
    case OPTION_LOG:
        options->log_file = text;
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

/** Parses a command's arguments. argv[0] is the command's name. */
static void
parse_command(struct command_line *command_line, const struct command *command,
              int argc, char **argv)
{
    char name[STORE_NAME_MAX];
    const struct argp parser = {
        .options = command->options,
        .parser = parse_command_option,
        .args_doc = command->arguments_doc,
        .doc = command->doc,
        .children = children,
    };
    snprintf(name, sizeof(name), "chestnutgapctl %s", command->name);
    argv[0] = name;
    argp_parse(&parser, argc, argv, 0, NULL, command_line);
    if (command->run == command_explain &&
        command_line->options.service[0] == '\0' &&
        command_line->options.log_file == NULL) {
        argp_help(&parser, stderr, ARGP_HELP_STD_USAGE, name);
        exit(CTL_USAGE);
    }
}

static error_t
parse_top_option(int key, char *text, struct argp_state *state)
{
    struct command_line *command_line = state->input;
    switch (key) {
    case ARGP_KEY_INIT:
        state->child_inputs[0] = &command_line->options;
        return 0;
    case ARGP_KEY_ARG:
        command_line->command = find_command(text);
        if (command_line->command == NULL) {
            argp_error(state, "%s: no such command", text);
            return EINVAL;
        }
        parse_command(command_line, command_line->command,
                      state->argc - state->next + 1,
                      &state->argv[state->next - 1]);
        state->next = state->argc;
        return 0;
    case ARGP_KEY_NO_ARGS:
        argp_usage(state);
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

/** argp help filter that appends the list of commands to --help. */
static char *
list_commands(int key, const char *text, void *input)
{
    (void)input;
    if (key != ARGP_KEY_HELP_POST_DOC) {
        return (char *)text;
    }
    char *help = NULL;
    size_t size = 0;
    FILE *stream = open_memstream(&help, &size);
    if (stream == NULL) {
        return NULL;
    }
    fputs("Commands (COMMAND --help tells more):\n", stream);
    for (size_t i = 0; i < COMMAND_COUNT; i++) {
        fprintf(stream, "  %-9s %s\n", commands[i].name, commands[i].doc);
    }
    fclose(stream);
    return help;
}

static void
set_defaults(struct ctl_options *options)
{
    const char *author = getenv("USER");
    const char *store = getenv("CHESTNUTGAP_STORE");
    options->timeout_us = DEFAULT_TIMEOUT_MS * US_PER_MS;
    options->since_s = SINCE_DEFAULT_S;
    options->limit = LIMIT_DEFAULT;
    snprintf(options->author, sizeof(options->author), "%s",
             author != NULL && author[0] != '\0' ? author : "unknown");
    options->has_store =
        store != NULL && address_parse(store, &options->store, NULL);
}

int
ctl_main(int argc, char **argv)
{
    static const struct argp parser = {
        .options = NULL,
        .parser = parse_top_option,
        .args_doc = "COMMAND [ARGUMENT...]",
        .doc = "Operators' client of chestnutgap.\v",
        .children = children,
        .help_filter = list_commands,
    };
    struct command_line command_line = {.command = NULL};
    struct ctl ctl;
    struct error err = {.code = ERROR_NONE};
    argp_err_exit_status = CTL_USAGE;
    log_init(stderr, LOG_LEVEL_OFF);
    set_defaults(&command_line.options);
    argp_parse(&parser, argc, argv, ARGP_IN_ORDER, NULL, &command_line);
    if (!ctl_open(&ctl, &command_line.options, &err)) {
        return ctl_fail(&ctl, CTL_FAILED, &err);
    }
    const enum ctl_exit code = command_line.command->run(&ctl);
    ctl_close(&ctl);
    return code;
}
