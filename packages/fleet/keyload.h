/**
 * @file
 * How busy the keys of a service are: a decaying count for each key, and its
 * summary as a curve of steps, which is what instances tell each other.
 */
#ifndef CHESTNUTGAP_FLEET_KEYLOAD_H
#define CHESTNUTGAP_FLEET_KEYLOAD_H

#include <stddef.h>
#include <stdint.h>

#define KEYLOAD_BUCKET_KEYS                                                   \
    256 /* keys that share a step unless they are busy */
#define KEYLOAD_STEPS_MAX 1024

/** Load of the keys from first up to the next step's first. */
struct keyload_step {
    uint32_t first;
    uint32_t load;
};

/** Counts of one target's requests by key. */
struct keyload;

/** Aborts when memory is short. */
struct keyload *keyload_create(void);
void keyload_destroy(struct keyload *load);

void keyload_record_request(struct keyload *load, uint32_t key);

/** Halves all counts; call it once in each half-life. */
void keyload_decay(struct keyload *load);

/** Writes steps in the order of keys, and returns how many. Steps without
 * load are left out but for one after each step with load. */
size_t keyload_steps(const struct keyload *load,
                     struct keyload_step steps[KEYLOAD_STEPS_MAX]);

/** Load by key, added up from the steps of several instances. */
struct keyload_curve;

struct keyload_curve *keyload_curve_create(void);
void keyload_curve_destroy(struct keyload_curve *curve);
void keyload_curve_add(struct keyload_curve *curve,
                       const struct keyload_step *steps, size_t count);

/** Load of the keys from first to last. Keys without requests count too, a
 * little, so that they are spread as well. */
double keyload_curve_load(struct keyload_curve *curve, uint32_t first,
                          uint32_t last);

/** The last key, within first to last, up to which the load is at most
 * wanted; first at least. */
uint32_t keyload_curve_last_within(struct keyload_curve *curve, uint32_t first,
                                   uint32_t last, double wanted);

#endif
