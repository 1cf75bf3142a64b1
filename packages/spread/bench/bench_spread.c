/**
 * @file
 * Measures how fast a revision of the configuration is in force on all
 * members, and what that costs, at four sizes with 5% of datagrams lost, and
 * the choice of peers by distance against the even choice.
 */
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#define LOG_MODULE "bench"
#include "base/log.h"
#include "base/runtime.h"
#include "spread/spreadmodel.h"

#define LOSS 0.05
#define DOCUMENT 4096 /* bytes */
#define SETTLE_US (6 * US_PER_SECOND)

struct size {
    unsigned members;
    unsigned zones;
    unsigned regions;
    unsigned revisions;
};

struct outcome {
    double all_s;        /* longest of the revisions */
    double mean_s;       /* mean of the revisions */
    double bytes;        /* a member and revision, without the idle part */
    double idle;         /* bytes/s of a member */
    double across_zones; /* bytes a member and revision */
    double across_regions;
    double cpu_us; /* of the model, a member and revision */
    unsigned missing;
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
seconds_used(void)
{
    return (double)clock() / CLOCKS_PER_SEC;
}

static void
measure_revision(struct spreadmodel *model, const struct size *size,
                 uint64_t revision, struct outcome *outcome)
{
    double before = seconds_used();
    struct spreadmodel_counts counts;
    double per = size->members * (double)size->revisions;
    int64_t all_us;

    spreadmodel_reset_counts(model);
    spreadmodel_accept(model, revision);
    spreadmodel_run(model, SETTLE_US);
    counts = spreadmodel_counts(model);
    all_us = spreadmodel_convergence_us(model);
    if (all_us < 0) {
        outcome->missing += size->members - spreadmodel_in_force_count(model);
        all_us = SETTLE_US;
    }
    outcome->mean_s += (double)all_us / 1e6 / size->revisions;
    if ((double)all_us / 1e6 > outcome->all_s) {
        outcome->all_s = (double)all_us / 1e6;
    }
    outcome->bytes += (double)counts.bytes / per;
    outcome->across_zones += (double)counts.zone_bytes / per;
    outcome->across_regions += (double)counts.region_bytes / per;
    outcome->cpu_us += (seconds_used() - before) * 1e6 / per;
}

static struct outcome
measure(const struct size *size, enum spread_peer_policy choice)
{
    struct spreadmodel_options options = {
        .members = size->members,
        .zones = size->zones,
        .regions = size->regions,
        .pollers = 3,
        .loss = LOSS,
        .choice = choice,
        .bytes_per_second = SPREAD_BYTES_PER_SECOND,
        .document_size = DOCUMENT,
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
report(const struct size *size)
{
    struct outcome even = measure(size, SPREAD_PEERS_UNIFORM);
    struct outcome nearer = measure(size, SPREAD_PEERS_BY_LATENCY);
    struct outcome shares = measure(size, SPREAD_PEERS_BY_SHARE);
    unsigned members = size->members;

    print_against("spread_in_force_longest", members, shares.all_s, "s", 4,
                  even.all_s);
    print_against("spread_in_force_mean", members, shares.mean_s, "s", 4,
                  even.mean_s);
    print_figure("spread_missing_after_6s", members, shares.missing, "members",
                 0);
    print_against("spread_bytes_per_revision", members, shares.bytes, "B",
                  15000, even.bytes);
    print_against("spread_across_zones_per_revision", members,
                  shares.across_zones, "B", 15000, even.across_zones);
    print_against("spread_across_regions_per_revision", members,
                  shares.across_regions, "B", 15000, even.across_regions);
    print_figure("spread_idle", members, shares.idle, "B/s", 500);
    print_figure("spread_cpu_per_revision", members, shares.cpu_us, "us",
                 5000);
    print_against("spread_nearer_in_force_longest", members, nearer.all_s, "s",
                  4, even.all_s);
    print_against("spread_nearer_across_zones", members, nearer.across_zones,
                  "B", 15000, even.across_zones);
    print_against("spread_nearer_across_regions", members,
                  nearer.across_regions, "B", 15000, even.across_regions);
}

int
main(void)
{
    static const struct size sizes[] = {
        {12, 3, 1, 50}, {100, 3, 1, 40}, {1000, 6, 2, 15}, {4600, 12, 4, 6}};

    log_init(stderr, LOG_LEVEL_ERROR);
    for (size_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
        report(&sizes[i]);
    }
    return 0;
}
