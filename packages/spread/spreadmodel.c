#include "spread/spreadmodel.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/timeunits.h"
#include "protocol/rpc.h"

#define STEP_US (5 * US_PER_MS)
#define POLL_INTERVAL_US US_PER_SECOND
#define STORE_LATENCY_US (5 * US_PER_MS)
#define FETCH_BYTES 400 /* overhead of a TCP fetch */
#define EVENT_SLOTS 512 /* ring of steps, longer than any latency */

static const int64_t latencies_us[SPREAD_DISTANCE_COUNT] = {
    [SPREAD_SAME_ZONE] = 300,
    [SPREAD_SAME_REGION] = 1500,
    [SPREAD_OTHER_REGION] = 30000,
};

struct model_node {
    struct spreadmodel *model;
    char name[STATE_NAME_MAX + 1];
    char zone[STATE_NAME_MAX + 1];
    char region[STATE_NAME_MAX + 1];
    unsigned zone_index;
    unsigned region_index;
    bool polls;
    int64_t next_poll_us;
    struct spread *spread;
    uint64_t revision;
    uint8_t *acknowledged; /* one bit per member, newest revision */
};

/* A datagram, or the end of a fetch, in flight. */
struct model_packet {
    struct model_packet *next;
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
    struct model_node *nodes;
    bool *partitioned;                         /* by region */
    struct model_packet *packets[EVENT_SLOTS]; /* ring by step of arrival */
    uint64_t accepted;
    int64_t accepted_us;
    int64_t convergence_us;
    unsigned in_force_count;
    char *document;
    struct spreadmodel_counts counts;
};

static unsigned
member_index(const char *name)
{
    return (unsigned)strtoul(name + 1, NULL, 10);
}

static enum spread_distance
distance(const struct spreadmodel *model, unsigned from, unsigned to)
{
    const struct model_node *a = &model->nodes[from];
    const struct model_node *b = &model->nodes[to];

    if (a->region_index != b->region_index) {
        return SPREAD_OTHER_REGION;
    }
    return a->zone_index == b->zone_index ? SPREAD_SAME_ZONE
                                          : SPREAD_SAME_REGION;
}

static void
count_bytes(struct spreadmodel *model, unsigned from, unsigned to,
            size_t bytes)
{
    enum spread_distance apart = distance(model, from, to);

    model->counts.bytes += (int64_t)bytes;
    model->counts.cross_zone_bytes +=
        apart != SPREAD_SAME_ZONE ? (int64_t)bytes : 0;
    model->counts.cross_region_bytes +=
        apart == SPREAD_OTHER_REGION ? (int64_t)bytes : 0;
}

static bool
is_partitioned(const struct spreadmodel *model, unsigned from, unsigned to)
{
    unsigned a = model->nodes[from].region_index;
    unsigned b = model->nodes[to].region_index;

    return a != b && (model->partitioned[a] || model->partitioned[b]);
}

static struct model_packet *
new_packet(struct spreadmodel *model, unsigned from, unsigned to,
           int one_way_trips)
{
    struct model_packet *packet = calloc(1, sizeof(*packet));
    int64_t delay_us = one_way_trips * latencies_us[distance(model, from, to)];
    uint64_t slot = model->step + 1 + (uint64_t)(delay_us / STEP_US);

    if (packet == NULL) {
        abort();
    }
    packet->from = from;
    packet->to = to;
    packet->next = model->packets[slot % EVENT_SLOTS];
    model->packets[slot % EVENT_SLOTS] = packet;
    return packet;
}

static void
encode(struct model_packet *packet, xdrproc_t proc, const void *value)
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
    return is_partitioned(model, from, to) ||
           random_chance(&model->random, model->options.loss_rate);
}

static void
on_send(void *ctx, const char *peer, const struct spread_message *message)
{
    struct model_node *node = ctx;
    struct spreadmodel *model = node->model;
    unsigned from = (unsigned)(node - model->nodes);
    unsigned to = member_index(peer);

    model->counts.messages++;
    count_bytes(model, from, to, spread_message_bytes(message));
    if (!is_lost(model, from, to)) {
        struct model_packet *packet = new_packet(model, from, to, 1);
        encode(packet, (xdrproc_t)xdr_spread_message, message);
    }
}

static void
on_fetch(void *ctx, const char *peer, enum spread_kind kind, const char *name)
{
    struct model_node *node = ctx;
    struct spreadmodel *model = node->model;
    unsigned from = (unsigned)(node - model->nodes);
    unsigned to = member_index(peer);

    (void)kind;
    (void)name;
    count_bytes(model, from, to, FETCH_BYTES + model->options.document_bytes);
    /* TCP connection and call: two round trips. */
    new_packet(model, to, from, 4)->fetch = true;
}

static void
put_in_force(struct spreadmodel *model, struct model_node *node,
             uint64_t revision)
{
    if (revision <= node->revision) {
        return;
    }
    node->revision = revision;
    spread_set_revision(node->spread, revision);
    if (revision == model->accepted &&
        ++model->in_force_count == model->options.members) {
        model->convergence_us = model->now_us - model->accepted_us;
    }
}

static void
on_deliver(void *ctx, const struct spread_item *item)
{
    struct model_node *node = ctx;

    if (item->kind == SPREAD_CONFIG) {
        put_in_force(node->model, node, item->version);
    }
}

static void
on_acknowledged(void *ctx, const char *peer, uint64_t revision)
{
    struct model_node *node = ctx;
    unsigned index = member_index(peer);

    if (revision == node->model->accepted) {
        node->acknowledged[index / 8] |= (uint8_t)(1u << (index % 8));
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
    struct model_node *node = &model->nodes[index];
    struct spread_options spread_options = {
        .instance = node->name,
        .zone = node->zone,
        .region = node->region,
        .policy = options->policy,
        .bytes_per_second = options->bytes_per_second,
        .ops = &spreadmodel_ops,
        .ctx = node,
        .seed = random_u64(&model->random),
    };

    node->spread = spread_create(&spread_options, model->now_us);
    node->acknowledged = calloc(options->members / 8 + 1, 1);
    if (node->spread == NULL || node->acknowledged == NULL) {
        abort();
    }
    for (unsigned i = 0; i < options->members; i++) {
        const struct model_node *peer = &model->nodes[i];
        if (i != index) {
            spreadpeers_add(spread_peers(node->spread), peer->name, peer->zone,
                            peer->region);
        }
    }
}

static void
init_node(struct spreadmodel *model, unsigned index)
{
    const struct spreadmodel_options *options = &model->options;
    struct model_node *node = &model->nodes[index];

    node->model = model;
    node->zone_index = index % options->zones;
    node->region_index = node->zone_index % options->regions;
    node->polls = index / options->zones < options->pollers_per_zone;
    node->next_poll_us = model->now_us + (int64_t)random_below(
                                             &model->random, POLL_INTERVAL_US);
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
    model->partitioned = calloc(options->regions, sizeof(*model->partitioned));
    model->document = calloc(1, options->document_bytes + 1);
    if (model->nodes == NULL || model->partitioned == NULL ||
        model->document == NULL) {
        abort();
    }
    for (unsigned i = 0; i < options->members; i++) {
        init_node(model, i);
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
        free(model->nodes[i].acknowledged);
    }
    for (size_t i = 0; i < EVENT_SLOTS; i++) {
        while (model->packets[i] != NULL) {
            struct model_packet *packet = model->packets[i];
            model->packets[i] = packet->next;
            free(packet->data);
            free(packet);
        }
    }
    free(model->nodes);
    free(model->partitioned);
    free(model->document);
    free(model);
}

static void
receive_message(struct spreadmodel *model, const struct model_packet *packet)
{
    struct spread_message message = {0};
    const struct spread_reply *reply;
    XDR xdrs;

    xdrmem_create(&xdrs, packet->data, packet->size, XDR_DECODE);
    if (!xdr_spread_message(&xdrs, &message)) {
        abort();
    }
    reply = spread_handle_message(model->nodes[packet->to].spread, &message,
                                  model->now_us);
    count_bytes(model, packet->to, packet->from, spread_reply_bytes(reply));
    if (!is_lost(model, packet->to, packet->from)) {
        struct model_packet *reply_packet =
            new_packet(model, packet->to, packet->from, 1);
        reply_packet->reply = true;
        encode(reply_packet, (xdrproc_t)xdr_spread_reply, reply);
    }
    xdr_free((xdrproc_t)xdr_spread_message, &message);
}

static void
receive_reply(struct spreadmodel *model, const struct model_packet *packet)
{
    struct spread_reply reply = {0};
    XDR xdrs;

    xdrmem_create(&xdrs, packet->data, packet->size, XDR_DECODE);
    if (!xdr_spread_reply(&xdrs, &reply)) {
        abort();
    }
    spread_handle_reply(model->nodes[packet->to].spread,
                        model->nodes[packet->from].name, &reply,
                        model->now_us);
    xdr_free((xdrproc_t)xdr_spread_reply, &reply);
}

static void
receive_fetch(struct spreadmodel *model, const struct model_packet *packet)
{
    struct spread_item item;
    bool found = !is_partitioned(model, packet->from, packet->to) &&
                 spread_find(model->nodes[packet->from].spread, SPREAD_CONFIG,
                             SPREAD_CONFIG_NAME, &item);

    spread_handle_fetched(model->nodes[packet->to].spread,
                          model->nodes[packet->from].name, SPREAD_CONFIG,
                          SPREAD_CONFIG_NAME, found ? &item : NULL,
                          model->now_us);
}

static void
deliver_packet(struct spreadmodel *model, const struct model_packet *packet)
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
poll_store(struct spreadmodel *model, struct model_node *node)
{
    struct spread_item item = {
        .kind = SPREAD_CONFIG,
        .name = SPREAD_CONFIG_NAME,
        .version = model->accepted,
        .payload = model->document,
        .size = model->options.document_bytes,
    };

    if (!node->polls || model->now_us < node->next_poll_us) {
        return;
    }
    node->next_poll_us = model->now_us + POLL_INTERVAL_US;
    if (model->accepted > node->revision &&
        model->now_us - model->accepted_us >= STORE_LATENCY_US) {
        (void)spread_put(node->spread, &item, model->now_us);
        put_in_force(model, node, model->accepted);
    }
}

static void
step(struct spreadmodel *model)
{
    struct model_packet *packet;
    size_t slot;

    model->step++;
    model->now_us += STEP_US;
    slot = model->step % EVENT_SLOTS;
    packet = model->packets[slot];
    model->packets[slot] = NULL;
    while (packet != NULL) {
        struct model_packet *next = packet->next;
        deliver_packet(model, packet);
        free(packet->data);
        free(packet);
        packet = next;
    }
    for (unsigned i = 0; i < model->options.members; i++) {
        struct model_node *node = &model->nodes[i];
        poll_store(model, node);
        if (model->now_us >= spread_next_run_us(node->spread)) {
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
    model->in_force_count = 0;
    model->convergence_us = -1;
    for (unsigned i = 0; i < model->options.members; i++) {
        memset(model->nodes[i].acknowledged, 0,
               model->options.members / 8 + 1);
    }
}

void
spreadmodel_partition_region(struct spreadmodel *model, unsigned region,
                             bool partitioned)
{
    model->partitioned[region] = partitioned;
}

unsigned
spreadmodel_in_force_count(const struct spreadmodel *model)
{
    return model->in_force_count;
}

int64_t
spreadmodel_convergence_us(const struct spreadmodel *model)
{
    return model->convergence_us;
}

unsigned
spreadmodel_acknowledged_count(const struct spreadmodel *model,
                               unsigned member)
{
    unsigned count = 0;

    for (unsigned i = 0; i < model->options.members; i++) {
        count += (model->nodes[member].acknowledged[i / 8] >> (i % 8)) & 1u;
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
