#include "spread/spreadmodel.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/runtime.h"
#include "protocol/rpc.h"

#define STEP_US INT64_C(5000)
#define POLL_US US_PER_SECOND
#define STORE_US INT64_C(5000)
#define FETCH_BYTES 400 /* of a TCP fetch besides its payload */
#define EVENT_SLOTS 512 /* steps ahead, more than any latency */

static const int64_t latencies_us[SPREAD_DISTANCES] = {
    [SPREAD_SAME_ZONE] = 300,
    [SPREAD_SAME_REGION] = 1500,
    [SPREAD_FAR] = 30000,
};

struct spread_node {
    struct spreadmodel *model;
    char name[STATE_NAME_MAX + 1];
    char zone[STATE_NAME_MAX + 1];
    char region[STATE_NAME_MAX + 1];
    unsigned zone_index;
    unsigned region_index;
    bool polls;
    int64_t poll_us;
    struct spread *spread;
    uint64_t revision;
    uint8_t *known; /* bit per member that has the newest revision */
};

/* A datagram or the end of a fetch. */
struct spread_packet {
    struct spread_packet *next;
    unsigned from;
    unsigned to;
    bool fetch;
    bool reply;
    char *data; /* XDR */
    u_int size;
};

struct spreadmodel {
    struct spreadmodel_options options;
    struct random_state random;
    int64_t now_us;
    uint64_t step;
    struct spread_node *nodes;
    bool *cut;
    struct spread_packet *slots[EVENT_SLOTS];
    uint64_t accepted;
    int64_t accepted_us;
    int64_t all_us;
    unsigned in_force;
    char *document;
    struct spreadmodel_counts counts;
};

static unsigned
index_of(const char *name)
{
    return (unsigned)strtoul(name + 1, NULL, 10);
}

static enum spread_distance
distance(const struct spreadmodel *model, unsigned from, unsigned to)
{
    const struct spread_node *a = &model->nodes[from];
    const struct spread_node *b = &model->nodes[to];

    if (a->region_index != b->region_index) {
        return SPREAD_FAR;
    }
    return a->zone_index == b->zone_index ? SPREAD_SAME_ZONE
                                          : SPREAD_SAME_REGION;
}

static void
count_bytes(struct spreadmodel *model, unsigned from, unsigned to,
            size_t bytes)
{
    enum spread_distance far = distance(model, from, to);

    model->counts.bytes += (int64_t)bytes;
    model->counts.zone_bytes += far != SPREAD_SAME_ZONE ? (int64_t)bytes : 0;
    model->counts.region_bytes += far == SPREAD_FAR ? (int64_t)bytes : 0;
}

static bool
is_cut(const struct spreadmodel *model, unsigned from, unsigned to)
{
    unsigned a = model->nodes[from].region_index;
    unsigned b = model->nodes[to].region_index;

    return a != b && (model->cut[a] || model->cut[b]);
}

static struct spread_packet *
new_packet(struct spreadmodel *model, unsigned from, unsigned to, int trips)
{
    struct spread_packet *packet = calloc(1, sizeof(*packet));
    int64_t delay_us = trips * latencies_us[distance(model, from, to)];
    uint64_t slot = model->step + 1 + (uint64_t)(delay_us / STEP_US);

    if (packet == NULL) {
        abort();
    }
    packet->from = from;
    packet->to = to;
    packet->next = model->slots[slot % EVENT_SLOTS];
    model->slots[slot % EVENT_SLOTS] = packet;
    return packet;
}

static void
encode(struct spread_packet *packet, xdrproc_t proc, const void *value)
{
    XDR xdrs;
    char buffer[RPC_DATAGRAM_MAX_BYTES];

    xdrmem_create(&xdrs, buffer, sizeof(buffer), XDR_ENCODE);
    if (!proc(&xdrs, (void *)value)) {
        abort();
    }
    packet->size = xdr_getpos(&xdrs);
    packet->data = malloc(packet->size);
    if (packet->data == NULL) {
        abort();
    }
    memcpy(packet->data, buffer, packet->size);
}

static bool
is_lost(struct spreadmodel *model, unsigned from, unsigned to)
{
    return is_cut(model, from, to) ||
           random_chance(&model->random, model->options.loss);
}

static void
on_send(void *ctx, const char *peer, const struct spread_message *message)
{
    struct spread_node *node = ctx;
    struct spreadmodel *model = node->model;
    unsigned from = (unsigned)(node - model->nodes);
    unsigned to = index_of(peer);

    model->counts.messages++;
    count_bytes(model, from, to, spread_message_bytes(message));
    if (!is_lost(model, from, to)) {
        struct spread_packet *packet = new_packet(model, from, to, 1);
        encode(packet, (xdrproc_t)xdr_spread_message, message);
    }
}

static void
on_fetch(void *ctx, const char *peer, enum spread_kind kind, const char *name)
{
    struct spread_node *node = ctx;
    struct spreadmodel *model = node->model;
    unsigned from = (unsigned)(node - model->nodes);
    unsigned to = index_of(peer);

    (void)kind;
    (void)name;
    count_bytes(model, from, to, FETCH_BYTES + model->options.document_size);
    /* Connection and call: two round trips. */
    new_packet(model, to, from, 4)->fetch = true;
}

static void
in_force(struct spreadmodel *model, struct spread_node *node,
         uint64_t revision)
{
    if (revision <= node->revision) {
        return;
    }
    node->revision = revision;
    spread_set_revision(node->spread, revision);
    if (revision == model->accepted &&
        ++model->in_force == model->options.members) {
        model->all_us = model->now_us - model->accepted_us;
    }
}

static void
on_deliver(void *ctx, const struct spread_item *item)
{
    struct spread_node *node = ctx;

    if (item->kind == SPREAD_CONFIG) {
        in_force(node->model, node, item->version);
    }
}

static void
on_acknowledged(void *ctx, const char *peer, uint64_t revision)
{
    struct spread_node *node = ctx;
    unsigned index = index_of(peer);

    if (revision == node->model->accepted) {
        node->known[index / 8] |= (uint8_t)(1u << (index % 8));
    }
}

static const struct spread_ops spreadmodel_ops = {
    .send = on_send,
    .fetch = on_fetch,
    .deliver = on_deliver,
    .acknowledged = on_acknowledged,
};

static void
create_node(struct spreadmodel *model, unsigned index)
{
    const struct spreadmodel_options *options = &model->options;
    struct spread_node *node = &model->nodes[index];
    struct spread_spec spec = {
        .instance = node->name,
        .zone = node->zone,
        .region = node->region,
        .choice = options->choice,
        .bytes_per_second = options->bytes_per_second,
        .ops = &spreadmodel_ops,
        .ctx = node,
        .seed = random_u64(&model->random),
    };

    node->spread = spread_create(&spec, model->now_us);
    node->known = calloc(options->members / 8 + 1, 1);
    if (node->spread == NULL || node->known == NULL) {
        abort();
    }
    for (unsigned i = 0; i < options->members; i++) {
        const struct spread_node *peer = &model->nodes[i];
        if (i != index) {
            spreadpeers_add(spread_peers(node->spread), peer->name, peer->zone,
                            peer->region);
        }
    }
}

static void
name_node(struct spreadmodel *model, unsigned index)
{
    const struct spreadmodel_options *options = &model->options;
    struct spread_node *node = &model->nodes[index];

    node->model = model;
    node->zone_index = index % options->zones;
    node->region_index = node->zone_index % options->regions;
    node->polls = index / options->zones < options->pollers;
    node->poll_us =
        model->now_us + (int64_t)random_below(&model->random, POLL_US);
    (void)snprintf(node->name, sizeof(node->name), "m%u", index);
    (void)snprintf(node->zone, sizeof(node->zone), "z%u", node->zone_index);
    (void)snprintf(node->region, sizeof(node->region), "r%u",
                   node->region_index);
}

struct spreadmodel *
spreadmodel_create(const struct spreadmodel_options *options)
{
    struct spreadmodel *model = calloc(1, sizeof(*model));

    if (model == NULL) {
        return NULL;
    }
    model->options = *options;
    model->now_us = US_PER_SECOND;
    random_seed(&model->random, options->seed);
    model->nodes = calloc(options->members, sizeof(*model->nodes));
    model->cut = calloc(options->regions, sizeof(*model->cut));
    model->document = calloc(1, options->document_size + 1);
    if (model->nodes == NULL || model->cut == NULL ||
        model->document == NULL) {
        abort();
    }
    for (unsigned i = 0; i < options->members; i++) {
        name_node(model, i);
    }
    for (unsigned i = 0; i < options->members; i++) {
        create_node(model, i);
    }
    return model;
}

void
spreadmodel_destroy(struct spreadmodel *model)
{
    if (model == NULL) {
        return;
    }
    for (unsigned i = 0; i < model->options.members; i++) {
        spread_destroy(model->nodes[i].spread);
        free(model->nodes[i].known);
    }
    for (size_t i = 0; i < EVENT_SLOTS; i++) {
        while (model->slots[i] != NULL) {
            struct spread_packet *packet = model->slots[i];
            model->slots[i] = packet->next;
            free(packet->data);
            free(packet);
        }
    }
    free(model->nodes);
    free(model->cut);
    free(model->document);
    free(model);
}

static void
receive_message(struct spreadmodel *model, const struct spread_packet *packet)
{
    struct spread_message message = {0};
    const struct spread_reply *reply;
    XDR xdrs;

    xdrmem_create(&xdrs, packet->data, packet->size, XDR_DECODE);
    if (!xdr_spread_message(&xdrs, &message)) {
        abort();
    }
    reply = spread_received(model->nodes[packet->to].spread, &message,
                            model->now_us);
    count_bytes(model, packet->to, packet->from, spread_reply_bytes(reply));
    if (!is_lost(model, packet->to, packet->from)) {
        struct spread_packet *back =
            new_packet(model, packet->to, packet->from, 1);
        back->reply = true;
        encode(back, (xdrproc_t)xdr_spread_reply, reply);
    }
    xdr_free((xdrproc_t)xdr_spread_message, &message);
}

static void
receive_reply(struct spreadmodel *model, const struct spread_packet *packet)
{
    struct spread_reply reply = {0};
    XDR xdrs;

    xdrmem_create(&xdrs, packet->data, packet->size, XDR_DECODE);
    if (!xdr_spread_reply(&xdrs, &reply)) {
        abort();
    }
    spread_answered(model->nodes[packet->to].spread,
                    model->nodes[packet->from].name, &reply, model->now_us);
    xdr_free((xdrproc_t)xdr_spread_reply, &reply);
}

static void
receive_fetch(struct spreadmodel *model, const struct spread_packet *packet)
{
    struct spread_item item;
    bool found = !is_cut(model, packet->from, packet->to) &&
                 spread_find(model->nodes[packet->from].spread, SPREAD_CONFIG,
                             SPREAD_CONFIG_NAME, &item);

    spread_arrived(model->nodes[packet->to].spread,
                   model->nodes[packet->from].name, SPREAD_CONFIG,
                   SPREAD_CONFIG_NAME, found ? &item : NULL, model->now_us);
}

static void
receive(struct spreadmodel *model, const struct spread_packet *packet)
{
    if (packet->fetch) {
        receive_fetch(model, packet);
    }
    else if (packet->reply) {
        receive_reply(model, packet);
    }
    else {
        receive_message(model, packet);
    }
}

static void
poll_store(struct spreadmodel *model, struct spread_node *node)
{
    struct spread_item item = {
        .kind = SPREAD_CONFIG,
        .name = SPREAD_CONFIG_NAME,
        .version = model->accepted,
        .payload = model->document,
        .size = model->options.document_size,
    };

    if (!node->polls || model->now_us < node->poll_us) {
        return;
    }
    node->poll_us = model->now_us + POLL_US;
    if (model->accepted > node->revision &&
        model->now_us - model->accepted_us >= STORE_US) {
        (void)spread_put(node->spread, &item, model->now_us);
        in_force(model, node, model->accepted);
    }
}

static void
step(struct spreadmodel *model)
{
    struct spread_packet *packet;
    size_t slot;

    model->step++;
    model->now_us += STEP_US;
    slot = model->step % EVENT_SLOTS;
    packet = model->slots[slot];
    model->slots[slot] = NULL;
    while (packet != NULL) {
        struct spread_packet *next = packet->next;
        receive(model, packet);
        free(packet->data);
        free(packet);
        packet = next;
    }
    for (unsigned i = 0; i < model->options.members; i++) {
        struct spread_node *node = &model->nodes[i];
        poll_store(model, node);
        if (model->now_us >= spread_due_us(node->spread)) {
            spread_run(node->spread, model->now_us);
        }
    }
}

void
spreadmodel_run(struct spreadmodel *model, int64_t duration_us)
{
    int64_t end_us = model->now_us + duration_us;

    while (model->now_us < end_us) {
        step(model);
    }
}

void
spreadmodel_accept(struct spreadmodel *model, uint64_t revision)
{
    model->accepted = revision;
    model->accepted_us = model->now_us;
    model->in_force = 0;
    model->all_us = -1;
    for (unsigned i = 0; i < model->options.members; i++) {
        memset(model->nodes[i].known, 0, model->options.members / 8 + 1);
    }
}

void
spreadmodel_cut_region(struct spreadmodel *model, unsigned region, bool cut)
{
    model->cut[region] = cut;
}

unsigned
spreadmodel_in_force(const struct spreadmodel *model)
{
    return model->in_force;
}

int64_t
spreadmodel_all_us(const struct spreadmodel *model)
{
    return model->all_us;
}

unsigned
spreadmodel_known_by(const struct spreadmodel *model, unsigned member)
{
    unsigned count = 0;

    for (unsigned i = 0; i < model->options.members; i++) {
        count += (model->nodes[member].known[i / 8] >> (i % 8)) & 1u;
    }
    return count;
}

void
spreadmodel_reset_counts(struct spreadmodel *model)
{
    memset(&model->counts, 0, sizeof(model->counts));
}

struct spreadmodel_counts
spreadmodel_counts(const struct spreadmodel *model)
{
    struct spreadmodel_counts counts = model->counts;

    for (unsigned i = 0; i < model->options.members; i++) {
        counts.throttled += spread_counts(model->nodes[i].spread).throttled;
    }
    return counts;
}

size_t
spreadmodel_memory(const struct spreadmodel *model)
{
    return spread_memory(model->nodes[0].spread);
}
