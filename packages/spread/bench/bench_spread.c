/**
 * @file
 * Measures how long it takes until a configuration revision is in force on
 * all members and what it costs, at four sizes and 5% datagram loss. Compares
 * the peer policies by distance with uniform choice.
 */
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#define LOG_MODULE "bench"
#include "base/log.h"
#include "base/runtime.h"
#include "spread/spreadmodel.h"

#define LOSS_RATE 0.05
#define DOCUMENT_BYTES 4096
#define SETTLE_US (6 * US_PER_SECOND)

struct system_size {
    unsigned members;
    unsigned zones;
    unsigned regions;
    unsigned revisions;
};

struct outcome {
    double longest_s;        /* time until in force on all members */
    double mean_s;           /* time until in force on all members */
    double bytes;            /* per member and revision, above idle traffic */
    double idle;             /* bytes/s per member */
    double cross_zone_bytes; /* per member and revision */
    double cross_region_bytes; /* per member and revision */
    double cpu_us;             /* of the simulation, per member and revision */
    unsigned missing; /* members without the revision after SETTLE_US */
};

static void
print_figure(const char *name, unsigned members, double value,
             const char *unit, double goal)
{
    printf("{\"figure\": \"%s_%u\", \"value\": %.3f, \"unit\": \"%s\", "
           "\"goal\": %.3f, \"better\": \"lower\"}\n",
           name, members, value, unit, goal);
}

static void
print_against(const char *name, unsigned members, double value,
              const char *unit, double goal, double baseline)
{
    printf("{\"figure\": \"%s_%u\", \"value\": %.3f, \"unit\": \"%s\", "
           "\"goal\": %.3f, \"better\": \"lower\", \"baseline\": %.3f, "
           "\"baseline_name\": \"peers chosen evenly\"}\n",
           name, members, value, unit, goal, baseline);
}

static double
cpu_seconds(void)
{
    return (double)clock() / CLOCKS_PER_SEC;
}

static void
measure_revision(struct spreadmodel *model, const struct system_size *size,
                 uint64_t revision, struct outcome *outcome)
{
    double before = cpu_seconds();
    struct spreadmodel_counts counts;
    double member_revisions = size->members * (double)size->revisions;
    int64_t convergence_us;

    spreadmodel_reset_counts(model);
    spreadmodel_accept(model, revision);
    spreadmodel_run(model, SETTLE_US);
    counts = spreadmodel_counts(model);
    convergence_us = spreadmodel_convergence_us(model);
    if (convergence_us < 0) {
        outcome->missing += size->members - spreadmodel_in_force_count(model);
        convergence_us = SETTLE_US;
    }
    outcome->mean_s += (double)convergence_us / 1e6 / size->revisions;
    if ((double)convergence_us / 1e6 > outcome->longest_s) {
        outcome->longest_s = (double)convergence_us / 1e6;
    }
    outcome->bytes += (double)counts.bytes / member_revisions;
    outcome->cross_zone_bytes +=
        (double)counts.cross_zone_bytes / member_revisions;
    outcome->cross_region_bytes +=
        (double)counts.cross_region_bytes / member_revisions;
    outcome->cpu_us += (cpu_seconds() - before) * 1e6 / member_revisions;
}

static struct outcome
measure(const struct system_size *size, enum spread_peer_policy policy)
{
    struct spreadmodel_options options = {
        .members = size->members,
        .zones = size->zones,
        .regions = size->regions,
        .pollers_per_zone = 3,
        .loss_rate = LOSS_RATE,
        .policy = policy,
        .bytes_per_second = SPREAD_BYTES_PER_SECOND,
        .document_bytes = DOCUMENT_BYTES,
        .seed = 7,
    };
    struct spreadmodel *model = spreadmodel_create(&options);
    struct outcome outcome = {0};
    double settle_s = (double)SETTLE_US / 1e6;

    spreadmodel_run(model, SETTLE_US);
    spreadmodel_reset_counts(model);
    spreadmodel_run(model, SETTLE_US);
    outcome.idle =
        (double)spreadmodel_counts(model).bytes / size->members / settle_s;
    for (unsigned i = 1; i <= size->revisions; i++) {
        measure_revision(model, size, i, &outcome);
    }
    outcome.bytes -= outcome.idle * settle_s;
    spreadmodel_destroy(model);
    return outcome;
}

static void
report(const struct system_size *size)
{
    struct outcome uniform = measure(size, SPREAD_PEERS_UNIFORM);
    struct outcome by_latency = measure(size, SPREAD_PEERS_BY_LATENCY);
    struct outcome by_share = measure(size, SPREAD_PEERS_BY_SHARE);
    unsigned members = size->members;

    print_against("spread_in_force_longest", members, by_share.longest_s, "s",
                  4, uniform.longest_s);
    print_against("spread_in_force_mean", members, by_share.mean_s, "s", 4,
                  uniform.mean_s);
    print_figure("spread_missing_after_6s", members, by_share.missing,
                 "members", 0);
    print_against("spread_bytes_per_revision", members, by_share.bytes, "B",
                  15000, uniform.bytes);
    print_against("spread_across_zones_per_revision", members,
                  by_share.cross_zone_bytes, "B", 15000,
                  uniform.cross_zone_bytes);
    print_against("spread_across_regions_per_revision", members,
                  by_share.cross_region_bytes, "B", 15000,
                  uniform.cross_region_bytes);
    print_figure("spread_idle", members, by_share.idle, "B/s", 500);
    print_figure("spread_cpu_per_revision", members, by_share.cpu_us, "us",
                 5000);
    print_against("spread_nearer_in_force_longest", members,
                  by_latency.longest_s, "s", 4, uniform.longest_s);
    print_against("spread_nearer_across_zones", members,
                  by_latency.cross_zone_bytes, "B", 15000,
                  uniform.cross_zone_bytes);
    print_against("spread_nearer_across_regions", members,
                  by_latency.cross_region_bytes, "B", 15000,
                  uniform.cross_region_bytes);
}

int
main(void)
{
    static const struct system_size sizes[] = {
        {12, 3, 1, 50}, {100, 3, 1, 40}, {1000, 6, 2, 15}, {4600, 12, 4, 6}};

    log_init(stderr, LOG_LEVEL_ERROR);
    for (size_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
        report(&sizes[i]);
    }
    return 0;
}
