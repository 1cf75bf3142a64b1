#include "base/histogram.h"

#include <inttypes.h>
#include <stdlib.h>

#include "base/memory.h"

#define US_PER_S 1e6

STAILQ_HEAD(histogram_list, histogram);

struct histogram_registry {
    struct histogram_list histograms;
};

static const int64_t printed_bounds_us[] = {
    1000,   2000,   5000,   10000,   20000,   50000,   100000,
    200000, 400000, 800000, 1600000, 3200000, 6400000, 12800000,
};

struct histogram_registry *
histogram_registry_create(void)
{
    struct histogram_registry *registry = memory_calloc(1, sizeof(*registry));
    STAILQ_INIT(&registry->histograms);
    return registry;
}

void
histogram_registry_destroy(struct histogram_registry *registry)
{
    if (registry == NULL) {
        return;
    }
    struct histogram *histogram;
    while ((histogram = STAILQ_FIRST(&registry->histograms)) != NULL) {
        STAILQ_REMOVE_HEAD(&registry->histograms, link);
        free(histogram);
    }
    free(registry);
}

struct histogram *
histogram_add(struct histogram_registry *registry, const char *name,
              const char *labels, const char *help)
{
    struct histogram *histogram = memory_calloc(1, sizeof(*histogram));
    histogram->name = name;
    histogram->labels = labels;
    histogram->help = help;
    STAILQ_INSERT_TAIL(&registry->histograms, histogram, link);
    return histogram;
}

static size_t
bucket_of(uint64_t duration_us)
{
    if (duration_us < HISTOGRAM_SUB_BUCKETS) {
        return duration_us;
    }
    const unsigned octave = 63U - (unsigned)__builtin_clzll(duration_us);
    const unsigned shift = octave - 4;
    const size_t bucket = (size_t)(octave - 3) * HISTOGRAM_SUB_BUCKETS +
                          ((duration_us >> shift) - HISTOGRAM_SUB_BUCKETS);
    return bucket < HISTOGRAM_BUCKETS ? bucket : HISTOGRAM_BUCKETS - 1;
}

/** Exclusive upper bound of a bucket. */
static int64_t
bucket_end_us(size_t bucket)
{
    if (bucket < HISTOGRAM_SUB_BUCKETS) {
        return (int64_t)bucket + 1;
    }
    const size_t shift = bucket / HISTOGRAM_SUB_BUCKETS - 1;
    const size_t sub_bucket = bucket % HISTOGRAM_SUB_BUCKETS;
    return (int64_t)(HISTOGRAM_SUB_BUCKETS + sub_bucket + 1) << shift;
}

void
histogram_record(struct histogram *histogram, int64_t duration_us)
{
    const uint64_t value_us = duration_us > 0 ? (uint64_t)duration_us : 0;
    histogram->count++;
    histogram->sum_us += value_us;
    histogram->buckets[bucket_of(value_us)]++;
}

int64_t
histogram_quantile_us(const struct histogram *histogram, double quantile)
{
    const double rank = quantile * (double)histogram->count;
    uint64_t cumulative = 0;
    for (size_t i = 0; i < HISTOGRAM_BUCKETS; i++) {
        cumulative += histogram->buckets[i];
        if (cumulative > 0 && (double)cumulative >= rank) {
            return bucket_end_us(i);
        }
    }
    return 0;
}

/** Durations in buckets that lie wholly at or below the bound. */
static uint64_t
count_up_to(const struct histogram *histogram, int64_t bound_us)
{
    uint64_t cumulative = 0;
    for (size_t i = 0;
         i < HISTOGRAM_BUCKETS && bucket_end_us(i) <= bound_us + 1; i++) {
        cumulative += histogram->buckets[i];
    }
    return cumulative;
}

static void
print_one(const struct histogram *histogram, FILE *stream)
{
    const char *comma = histogram->labels[0] != '\0' ? "," : "";
    for (size_t i = 0;
         i < sizeof(printed_bounds_us) / sizeof(printed_bounds_us[0]); i++) {
        fprintf(stream, "%s_bucket{%s%sle=\"%g\"} %" PRIu64 "\n",
                histogram->name, histogram->labels, comma,
                (double)printed_bounds_us[i] / US_PER_S,
                count_up_to(histogram, printed_bounds_us[i]));
    }
    fprintf(stream, "%s_bucket{%s%sle=\"+Inf\"} %" PRIu64 "\n",
            histogram->name, histogram->labels, comma, histogram->count);
    fprintf(stream, "%s_sum{%s} %.6f\n", histogram->name, histogram->labels,
            (double)histogram->sum_us / US_PER_S);
    fprintf(stream, "%s_count{%s} %" PRIu64 "\n", histogram->name,
            histogram->labels, histogram->count);
}

void
histogram_print(const struct histogram_registry *registry, FILE *stream)
{
    const struct histogram *histogram;
    const char *previous_name = NULL;
    STAILQ_FOREACH (histogram, &registry->histograms, link) {
        if (histogram->name != previous_name) {
            fprintf(stream, "# HELP %s %s\n# TYPE %s histogram\n",
                    histogram->name, histogram->help, histogram->name);
        }
        previous_name = histogram->name;
        print_one(histogram, stream);
    }
}
