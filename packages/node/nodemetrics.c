#include "node/nodemetrics.h"

#include <stdio.h>
#include <stdlib.h>

#include "base/log.h"
#include "base/memory.h"
#include "node/ingress.h"
#include "node/keyowner.h"
#include "node/localgate.h"
#include "node/node_internal.h"

#define PERMILLE 1000

struct nodemetrics {
    struct node *node;
    struct histogram_registry *histograms;
    struct histogram *stages[NODEMETRICS_STAGE_COUNT];
    struct counter *config_version;
    struct counter *instances;
    struct counter *fleet_version;
    struct counter *keys_owned;
    struct counter *lease_margin;
    struct counter *unanswered;
    struct counter *load;
    struct counter *running;
    struct counter *log_dropped;
};

struct nodemetrics *
nodemetrics_create(struct node *node)
{
    static const char *const labels[][2] = {
        [NODEMETRICS_ANSWERED] = {"request_seconds", "outcome=\"answered\""},
        [NODEMETRICS_NOT_RUN] = {"request_seconds", "outcome=\"not-run\""},
        [NODEMETRICS_UNKNOWN] = {"request_seconds", "outcome=\"unknown\""},
        [NODEMETRICS_QUEUE] = {"gate_seconds", "stage=\"queue\""},
        [NODEMETRICS_TARGET] = {"gate_seconds", "stage=\"target\""},
        [NODEMETRICS_RELAY] = {"relay_seconds", ""},
    };
    struct nodemetrics *metrics = memory_calloc(1, sizeof(*metrics));
    struct counter_registry *counters = node->options.counters;
    metrics->node = node;
    metrics->histograms = histogram_registry_create();
    for (size_t i = 0; i < NODEMETRICS_STAGE_COUNT; i++) {
        metrics->stages[i] =
            histogram_add(metrics->histograms, labels[i][0], labels[i][1],
                          "durations in seconds");
    }
    metrics->config_version = counter_add(
        counters, "config_version", "version of the configuration in force");
    metrics->instances =
        counter_add(counters, "fleet_instances", "instances that are known");
    metrics->fleet_version =
        counter_add(counters, "fleet_version",
                    "version of the store up to which rows are known");
    metrics->keys_owned =
        counter_add(counters, "keys_owned_permille",
                    "share of the keys that the target owns");
    metrics->lease_margin =
        counter_add(counters, "lease_margin_ms",
                    "time until the lease ends; negative if it has");
    metrics->unanswered = counter_add(counters, "ingress_unanswered",
                                      "requests that are not answered yet");
    metrics->load =
        counter_add(counters, "gate_load", "requests that wait or run");
    metrics->running =
        counter_add(counters, "gate_running", "requests that run");
    metrics->log_dropped =
        counter_add(counters, "log_dropped", "lines left out of the log");
    return metrics;
}

void
nodemetrics_destroy(struct nodemetrics *metrics)
{
    if (metrics != NULL) {
        histogram_registry_destroy(metrics->histograms);
        free(metrics);
    }
}

void
nodemetrics_record(struct nodemetrics *metrics, enum nodemetrics_stage stage,
                   int64_t duration_us)
{
    histogram_record(metrics->stages[stage], duration_us);
}

static void
update_gauges(struct nodemetrics *metrics)
{
    const struct node *node = metrics->node;
    const struct declared_service *service = node_own_service(node);
    const struct node_keymap *keys =
        service != NULL ? node_find_keymap(node, service->name) : NULL;
    metrics->config_version->value =
        node->declared != NULL ? (int64_t)declared_version(node->declared) : 0;
    metrics->instances->value =
        (int64_t)instancetable_count(&node->instancetable);
    metrics->fleet_version->value =
        (int64_t)rowwatch_version(node->fleet_watch);
    metrics->keys_owned->value =
        keys != NULL
            ? (int64_t)(keymap_share(&keys->map, node->settings.instance) *
                        PERMILLE)
            : 0;
    metrics->lease_margin->value =
        keyowner_lease_margin_us(node->keyowner) / US_PER_MS;
    metrics->unanswered->value =
        (int64_t)ingress_unanswered_count(node->ingress);
    metrics->load->value = localgate_load(node->gate);
    metrics->running->value = localgate_running(node->gate);
    metrics->log_dropped->value = (int64_t)log_dropped();
}

char *
nodemetrics_print(struct nodemetrics *metrics, size_t *size)
{
    char *text = NULL;
    FILE *stream = open_memstream(&text, size);
    if (stream == NULL) {
        return NULL;
    }
    update_gauges(metrics);
    counter_print(metrics->node->options.counters, stream);
    histogram_print(metrics->histograms, stream);
    fclose(stream);
    return text;
}
