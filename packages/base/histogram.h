/**
 * @file
 * Fixed-size duration histograms with log-linear buckets: each power of two is
 * split into 16, so that a quantile is at most 1/16 too high.
 */
#ifndef CHESTNUTGAP_BASE_HISTOGRAM_H
#define CHESTNUTGAP_BASE_HISTOGRAM_H

#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/queue.h>

#define HISTOGRAM_SUB_BUCKETS ((size_t)16)
#define HISTOGRAM_OCTAVES ((size_t)36) /* up to 2^36 us, 19 hours */
#define HISTOGRAM_BUCKETS (HISTOGRAM_OCTAVES * HISTOGRAM_SUB_BUCKETS)

/** Durations in microseconds. */
struct histogram {
    STAILQ_ENTRY(histogram) link;
    const char *name;   /**< for example "gate_queue_seconds" */
    const char *labels; /**< Prometheus labels without the braces, or "" */
    const char *help;
    uint64_t count;
    uint64_t sum_us;
    uint32_t buckets[HISTOGRAM_BUCKETS];
};

/** A set of histograms. */
struct histogram_registry;

/** Aborts if out of memory. */
struct histogram_registry *histogram_registry_create(void);
void histogram_registry_destroy(struct histogram_registry *registry);

/** Adds a histogram. The strings must outlive the registry. */
struct histogram *histogram_add(struct histogram_registry *registry,
                                const char *name, const char *labels,
                                const char *help);

/** Records a duration; a negative one counts as 0. */
void histogram_record(struct histogram *histogram, int64_t duration_us);

/** Upper bound of a quantile (0 to 1); 0 if nothing was recorded. */
int64_t histogram_quantile_us(const struct histogram *histogram,
                              double quantile);

/** Writes all histograms in the Prometheus text format. */
void histogram_print(const struct histogram_registry *registry, FILE *stream);

#endif
