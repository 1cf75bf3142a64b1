/**
 * @file
 * Load by key of a service: a decaying request count for each key, and its
 * summary as steps, which instances exchange.
 */
#ifndef CHESTNUTGAP_FLEET_KEYLOAD_H
#define CHESTNUTGAP_FLEET_KEYLOAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define KEYLOAD_BUCKET_KEYS 256 /* in one step; hot keys have their own */
#define KEYLOAD_STEPS_MAX 1024
/* Loads are counted in this unit, so that a single request of a key is not
 * forgotten when counts are halved. */
#define KEYLOAD_UNITS_PER_REQUEST 16

/** Load of the keys from first to before the next step's first. */
struct keyload_step {
    uint32_t first;
    uint32_t load;
};

/** Request counts of one target by key. */
struct keyload;

/** Aborts if out of memory. */
struct keyload *keyload_create(void);
void keyload_destroy(struct keyload *load);

void keyload_record_request(struct keyload *load, uint32_t key);

/** Halves all counts; call it once per half-life. */
void keyload_decay(struct keyload *load);

/**
 * Turns counts into loads that can be compared between instances, whose counts
 * are halved at different moments: just before they are halved, counts are
 * twice as high as just after.
 *
 * @param since_decay_us time since counts were halved
 */
void keyload_scale(struct keyload_step *steps, size_t count,
                   int64_t since_decay_us, int64_t half_life_us);

/** Writes steps in key order and returns their number. Of adjacent steps
 * without load only the first is written, and none at the start. */
size_t keyload_steps(const struct keyload *load,
                     struct keyload_step steps[KEYLOAD_STEPS_MAX]);

/** Load by key, summed over the scaled steps of several instances. */
struct keyload_curve;

struct keyload_curve *keyload_curve_create(void);
void keyload_curve_destroy(struct keyload_curve *curve);
void keyload_curve_add(struct keyload_curve *curve,
                       const struct keyload_step *steps, size_t count);

/** Load of the keys from first to last. Keys without requests have a small
 * load, so that they are spread as well. */
double keyload_curve_load(struct keyload_curve *curve, uint32_t first,
                          uint32_t last);

/** Finds the first key from *key on with a load of at least min.
 * @return false if there is none */
bool keyload_curve_next_above(struct keyload_curve *curve, double min,
                              uint32_t *key);

/** The last key in first to last up to which the load is at most wanted, but
 * at least first. */
uint32_t keyload_curve_last_within(struct keyload_curve *curve, uint32_t first,
                                   uint32_t last, double wanted);

#endif
