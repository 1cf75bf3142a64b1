#include "placement/handovers.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

struct handover {
    LIST_ENTRY(handover) link;
    uint32_t shard;
    uint32_t epoch;
    uint64_t incarnation;
    uint64_t attempt;
    double weight;
    char from[STATE_NAME_MAX + 1];
    void *blob;
    size_t blob_size;
    int64_t received_us;
};

LIST_HEAD(handover_list, handover);

struct handovers {
    struct handover_list list;
};

struct handovers *
handovers_create(void)
{
    return calloc(1, sizeof(struct handovers));
}

static void
handover_destroy(struct handover *handover)
{
    LIST_REMOVE(handover, link);
    free(handover->blob);
    free(handover);
}

void
handovers_destroy(struct handovers *handovers)
{
    struct handover *handover;

    if (handovers == NULL) {
        return;
    }
    handover = LIST_FIRST(&handovers->list);
    while (handover != NULL) {
        struct handover *next = LIST_NEXT(handover, link);
        free(handover->blob);
        free(handover);
        handover = next;
    }
    free(handovers);
}

static struct handover *
handovers_find(const struct handovers *handovers, uint32_t shard)
{
    struct handover *handover;

    LIST_FOREACH (handover, &handovers->list, link) {
        if (handover->shard == shard) {
            return handover;
        }
    }
    return NULL;
}

static bool
is_later(const struct handover *known, const struct handover_info *info)
{
    if (info->epoch != known->epoch) {
        return info->epoch > known->epoch;
    }
    if (strcmp(info->from, known->from) != 0 ||
        info->incarnation != known->incarnation) {
        return true;
    }
    return info->attempt > known->attempt;
}

bool
handovers_put(struct handovers *handovers, const struct handover_info *info,
              int64_t now_us)
{
    struct handover *handover = handovers_find(handovers, info->shard);

    if (handover != NULL && !is_later(handover, info)) {
        return false;
    }
    if (handover != NULL) {
        handover_destroy(handover);
    }
    handover = calloc(1, sizeof(*handover));
    if (handover == NULL) {
        abort();
    }
    handover->shard = info->shard;
    handover->epoch = info->epoch;
    handover->incarnation = info->incarnation;
    handover->attempt = info->attempt;
    handover->weight = info->weight;
    handover->received_us = now_us;
    (void)snprintf(handover->from, sizeof(handover->from), "%s", info->from);
    handover->blob = malloc(info->blob_size + 1);
    if (handover->blob == NULL) {
        abort();
    }
    if (info->blob_size > 0) {
        memcpy(handover->blob, info->blob, info->blob_size);
    }
    handover->blob_size = info->blob_size;
    LIST_INSERT_HEAD(&handovers->list, handover, link);
    return true;
}

bool
handovers_extract(struct handovers *handovers, uint32_t shard, uint32_t epoch,
                  void **blob, size_t *blob_size)
{
    struct handover *handover = handovers_find(handovers, shard);
    bool found;

    if (handover == NULL) {
        return false;
    }
    found = handover->epoch == epoch;
    if (found) {
        *blob = handover->blob;
        *blob_size = handover->blob_size;
        handover->blob = NULL;
    }
    if (handover->epoch <= epoch) {
        handover_destroy(handover);
    }
    return found;
}

double
handovers_pending_load(const struct handovers *handovers, int64_t now_us)
{
    const struct handover *handover;
    double weight = 0;

    LIST_FOREACH (handover, &handovers->list, link) {
        if (now_us - handover->received_us <= HANDOVER_LOAD_COUNTED_US) {
            weight += handover->weight;
        }
    }
    return weight;
}

void
handovers_expire(struct handovers *handovers, int64_t now_us)
{
    struct handover *handover = LIST_FIRST(&handovers->list);

    while (handover != NULL) {
        struct handover *next = LIST_NEXT(handover, link);
        if (now_us - handover->received_us > HANDOVER_KEPT_US) {
            handover_destroy(handover);
        }
        handover = next;
    }
}
