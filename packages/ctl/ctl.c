#include "ctl/ctl.h"

#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include "store/storehttp.h"
#include "store/storeresolver.h"

#define READ_BACK_DELAY_US (100 * US_PER_MS)
#define STORE_CALL_TIMEOUT_US (2 * US_PER_SECOND)
#define ERROR_TEXT_SIZE 512

static bool
open_store(struct ctl *ctl, struct error *err)
{
    const struct store_http_options options = {
        .address = ctl->options.store,
        .timeout_us = ctl->options.timeout_us < STORE_CALL_TIMEOUT_US
                          ? ctl->options.timeout_us
                          : STORE_CALL_TIMEOUT_US,
        .counters = ctl->counters,
    };
    ctl->http = store_http_create(ctl->runtime, &options, err);
    if (ctl->http == NULL) {
        return false;
    }
    ctl->store = store_http_store(ctl->http);
    const struct store_resolver_options resolve = {
        .read_back_delay_us = READ_BACK_DELAY_US,
        .timeout_us = ctl->options.timeout_us,
    };
    ctl->resolver = store_resolver_create(ctl->runtime, &ctl->store, &resolve);
    return true;
}

bool
ctl_open(struct ctl *ctl, const struct ctl_options *options, struct error *err)
{
    *ctl = (struct ctl){.options = *options};
    random_seed(&ctl->random, random_entropy());
    ctl->runtime = runtime_create(err);
    ctl->counters = counter_registry_create();
    if (ctl->runtime == NULL || ctl->counters == NULL) {
        return false;
    }
    ctl->deadline_us = runtime_now_us(ctl->runtime) + options->timeout_us;
    return !options->has_store || open_store(ctl, err);
}

void
ctl_close(struct ctl *ctl)
{
    store_http_destroy(ctl->http);
    store_resolver_destroy(ctl->resolver);
    counter_registry_destroy(ctl->counters);
    runtime_destroy(ctl->runtime);
}

enum ctl_exit
ctl_fail(const struct ctl *ctl, enum ctl_exit code, const struct error *err)
{
    char text[ERROR_TEXT_SIZE];
    error_describe(err, text, sizeof(text));
    if (!ctl->options.json) {
        fprintf(stderr, "chestnutgapctl: %s\n", text);
        return code;
    }
    json_t *document =
        json_pack("{s:s, s:s, s:s}", "error", error_name(err->code), "subject",
                  err->subject, "text", text);
    json_dumpf(document, stderr, JSON_COMPACT);
    fputc('\n', stderr);
    json_decref(document);
    return code;
}

enum ctl_exit
ctl_fail_with(const struct ctl *ctl, enum ctl_exit code, enum error_code error,
              const char *format, ...)
{
    char subject[ERROR_SUBJECT_SIZE];
    va_list args;
    va_start(args, format);
    vsnprintf(subject, sizeof(subject), format, args);
    va_end(args);
    struct error err = {.code = ERROR_NONE};
    error_set(&err, error, "%s", subject);
    return ctl_fail(ctl, code, &err);
}

enum ctl_exit
ctl_fail_problems(const struct ctl *ctl, const char *name,
                  const struct document_problems *problems)
{
    if (!ctl->options.json) {
        document_print_problems(problems, name, stderr);
        return CTL_FAILED;
    }
    json_t *list = json_array();
    for (size_t i = 0; i < problems->count && i < DOCUMENT_PROBLEMS_MAX; i++) {
        const struct error *problem = &problems->problems[i];
        json_array_append_new(list, json_pack("{s:s, s:s}", "error",
                                              error_name(problem->code),
                                              "subject", problem->subject));
    }
    ctl_print_json(json_pack("{s:s, s:I, s:o}", "file", name, "count",
                             (json_int_t)problems->count, "problems", list));
    return CTL_FAILED;
}

void
ctl_print_json(json_t *document)
{
    json_dumpf(document, stdout, JSON_INDENT(2) | JSON_SORT_KEYS);
    fputc('\n', stdout);
    json_decref(document);
}

enum ctl_exit
ctl_require_store(const struct ctl *ctl)
{
    if (ctl->options.has_store) {
        return CTL_OK;
    }
    return ctl_fail_with(ctl, CTL_USAGE, ERROR_USAGE,
                         "--store is needed, or the environment's "
                         "CHESTNUTGAP_STORE");
}

int64_t
ctl_remaining_us(const struct ctl *ctl)
{
    const int64_t remaining_us =
        ctl->deadline_us - runtime_now_us(ctl->runtime);
    return remaining_us > 0 ? remaining_us : 0;
}

static void
on_sleep_end(void *ctx)
{
    runtime_stop(ctx);
}

void
ctl_sleep(struct ctl *ctl, int64_t duration_us)
{
    struct timer timer;
    const int64_t remaining_us = ctl_remaining_us(ctl);
    timer_init(&timer, ctl->runtime, on_sleep_end, ctl->runtime);
    timer_start(&timer,
                duration_us < remaining_us ? duration_us : remaining_us);
    runtime_run(ctl->runtime);
}
