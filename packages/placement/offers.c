#include "placement/offers.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

struct offer {
    LIST_ENTRY(offer) link;
    uint32_t shard;
    uint32_t epoch;
    uint64_t incarnation;
    uint64_t attempt;
    double weight;
    char from[STATE_NAME_MAX + 1];
    void *blob;
    size_t blob_size;
    int64_t at_us;
};

LIST_HEAD(offer_list, offer);

struct offers {
    struct offer_list list;
};

struct offers *
offers_create(void)
{
    return calloc(1, sizeof(struct offers));
}

static void
offer_destroy(struct offer *offer)
{
    LIST_REMOVE(offer, link);
    free(offer->blob);
    free(offer);
}

void
offers_destroy(struct offers *offers)
{
    struct offer *offer;

    if (offers == NULL) {
        return;
    }
    offer = LIST_FIRST(&offers->list);
    while (offer != NULL) {
        struct offer *next = LIST_NEXT(offer, link);
        free(offer->blob);
        free(offer);
        offer = next;
    }
    free(offers);
}

static struct offer *
find(const struct offers *offers, uint32_t shard)
{
    struct offer *offer;

    LIST_FOREACH (offer, &offers->list, link) {
        if (offer->shard == shard) {
            return offer;
        }
    }
    return NULL;
}

static bool
is_later(const struct offer *known, const struct offer_info *info)
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
offers_put(struct offers *offers, const struct offer_info *info,
           int64_t now_us)
{
    struct offer *offer = find(offers, info->shard);

    if (offer != NULL && !is_later(offer, info)) {
        return false;
    }
    if (offer != NULL) {
        offer_destroy(offer);
    }
    offer = calloc(1, sizeof(*offer));
    if (offer == NULL) {
        abort();
    }
    offer->shard = info->shard;
    offer->epoch = info->epoch;
    offer->incarnation = info->incarnation;
    offer->attempt = info->attempt;
    offer->weight = info->weight;
    offer->at_us = now_us;
    (void)snprintf(offer->from, sizeof(offer->from), "%s", info->from);
    offer->blob = malloc(info->blob_size + 1);
    if (offer->blob == NULL) {
        abort();
    }
    if (info->blob_size > 0) {
        memcpy(offer->blob, info->blob, info->blob_size);
    }
    offer->blob_size = info->blob_size;
    LIST_INSERT_HEAD(&offers->list, offer, link);
    return true;
}

bool
offers_take(struct offers *offers, uint32_t shard, uint32_t epoch, void **blob,
            size_t *blob_size)
{
    struct offer *offer = find(offers, shard);
    bool found;

    if (offer == NULL) {
        return false;
    }
    found = offer->epoch == epoch;
    if (found) {
        *blob = offer->blob;
        *blob_size = offer->blob_size;
        offer->blob = NULL;
    }
    if (offer->epoch <= epoch) {
        offer_destroy(offer);
    }
    return found;
}

double
offers_weight(const struct offers *offers, int64_t now_us)
{
    const struct offer *offer;
    double weight = 0;

    LIST_FOREACH (offer, &offers->list, link) {
        if (now_us - offer->at_us <= OFFER_COUNTED_US) {
            weight += offer->weight;
        }
    }
    return weight;
}

void
offers_expire(struct offers *offers, int64_t now_us)
{
    struct offer *offer = LIST_FIRST(&offers->list);

    while (offer != NULL) {
        struct offer *next = LIST_NEXT(offer, link);
        if (now_us - offer->at_us > OFFER_KEPT_US) {
            offer_destroy(offer);
        }
        offer = next;
    }
}
