#include "fleet/keyload.h"

#include <stdbool.h>
#include <stdlib.h>

#include "base/memory.h"
#include "fleet/declared.h"

#define COUNT_MAX UINT16_MAX
#define HOT_SHARE 64         /* a key with 1/64 of the load has its own step */
#define STEPS_PER_HOT_KEY 2  /* its own and the one after it */
#define BASE_LOAD_SHARE 0.05 /* of the load, added evenly over all keys */
#define BASE_LOAD_MIN (20 * KEYLOAD_UNITS_PER_REQUEST) /* added likewise */

struct keyload {
    uint16_t counts[DECLARED_KEY_COUNT]; /* KEYLOAD_UNITS_PER_REQUEST each */
};

struct keyload_curve {
    double loads[DECLARED_KEY_COUNT];
    double prefix_sums[DECLARED_KEY_COUNT + 1]; /* load of all lower keys */
    double total;
    bool sums_valid;
};

struct keyload *
keyload_create(void)
{
    return memory_calloc(1, sizeof(struct keyload));
}

void
keyload_destroy(struct keyload *load)
{
    free(load);
}

void
keyload_record_request(struct keyload *load, uint32_t key)
{
    if (load->counts[key] <= COUNT_MAX - KEYLOAD_UNITS_PER_REQUEST) {
        load->counts[key] += KEYLOAD_UNITS_PER_REQUEST;
    }
}

void
keyload_decay(struct keyload *load)
{
    for (size_t key = 0; key < DECLARED_KEY_COUNT; key++) {
        load->counts[key] /= 2;
    }
}

struct steps {
    struct keyload_step *items;
    size_t count;
    bool open; /* the last step has load; the next one must end it */
};

static void
steps_add(struct steps *steps, uint32_t first, uint32_t load)
{
    if ((load == 0 && !steps->open) || steps->count == KEYLOAD_STEPS_MAX) {
        return;
    }
    steps->items[steps->count++] =
        (struct keyload_step){.first = first, .load = load};
    steps->open = load > 0;
}

/** Writes a step for each hot key of a bucket, and for the keys between. */
static void
add_bucket(const struct keyload *load, uint32_t bucket, uint32_t hot_min,
           struct steps *steps)
{
    uint32_t first = bucket;
    uint32_t sum = 0;
    const uint32_t end = bucket + KEYLOAD_BUCKET_KEYS;
    for (uint32_t key = bucket; key < end; key++) {
        const uint32_t count = load->counts[key];
        const bool room =
            steps->count + STEPS_PER_HOT_KEY +
                (DECLARED_KEY_COUNT - key) / KEYLOAD_BUCKET_KEYS <
            KEYLOAD_STEPS_MAX;
        if (count < hot_min || !room) {
            sum += count;
            continue;
        }
        if (key > first) {
            steps_add(steps, first, sum);
        }
        steps_add(steps, key, count);
        first = key + 1;
        sum = 0;
    }
    if (first < end) {
        steps_add(steps, first, sum);
    }
}

size_t
keyload_steps(const struct keyload *load,
              struct keyload_step steps[KEYLOAD_STEPS_MAX])
{
    struct steps written = {.items = steps};
    uint32_t total = 0;
    for (size_t key = 0; key < DECLARED_KEY_COUNT; key++) {
        total += load->counts[key];
    }
    const uint32_t hot_min = total / HOT_SHARE + 2 * KEYLOAD_UNITS_PER_REQUEST;
    for (uint32_t bucket = 0; bucket < DECLARED_KEY_COUNT;
         bucket += KEYLOAD_BUCKET_KEYS) {
        add_bucket(load, bucket, hot_min, &written);
    }
    return written.count;
}

void
keyload_scale(struct keyload_step *steps, size_t count, int64_t since_decay_us,
              int64_t half_life_us)
{
    if (since_decay_us > half_life_us) {
        since_decay_us = half_life_us;
    }
    const double factor =
        2.0 * (double)half_life_us / (double)(half_life_us + since_decay_us);
    for (size_t i = 0; i < count; i++) {
        steps[i].load = (uint32_t)((double)steps[i].load * factor + 0.5);
    }
}

struct keyload_curve *
keyload_curve_create(void)
{
    return memory_calloc(1, sizeof(struct keyload_curve));
}

void
keyload_curve_destroy(struct keyload_curve *curve)
{
    free(curve);
}

void
keyload_curve_add(struct keyload_curve *curve,
                  const struct keyload_step *steps, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        const uint32_t first = steps[i].first;
        const uint32_t end =
            i + 1 < count ? steps[i + 1].first : DECLARED_KEY_COUNT;
        if (first >= end || end > DECLARED_KEY_COUNT) {
            continue;
        }
        const double key_load = (double)steps[i].load / (end - first);
        for (uint32_t key = first; key < end; key++) {
            curve->loads[key] += key_load;
        }
        curve->total += steps[i].load;
    }
    curve->sums_valid = false;
}

static void
compute_prefix_sums(struct keyload_curve *curve)
{
    const double base_load =
        (curve->total * BASE_LOAD_SHARE + BASE_LOAD_MIN) / DECLARED_KEY_COUNT;
    for (size_t key = 0; key < DECLARED_KEY_COUNT; key++) {
        curve->prefix_sums[key + 1] =
            curve->prefix_sums[key] + curve->loads[key] + base_load;
    }
    curve->sums_valid = true;
}

double
keyload_curve_load(struct keyload_curve *curve, uint32_t first, uint32_t last)
{
    if (!curve->sums_valid) {
        compute_prefix_sums(curve);
    }
    return curve->prefix_sums[last + 1] - curve->prefix_sums[first];
}

bool
keyload_curve_next_above(struct keyload_curve *curve, double min,
                         uint32_t *key)
{
    while (*key < DECLARED_KEY_COUNT && curve->loads[*key] < min) {
        (*key)++;
    }
    return *key < DECLARED_KEY_COUNT;
}

uint32_t
keyload_curve_last_within(struct keyload_curve *curve, uint32_t first,
                          uint32_t last, double wanted)
{
    uint32_t low = first;
    uint32_t high = last;
    while (low < high) {
        const uint32_t middle = low + (high - low + 1) / 2;
        if (keyload_curve_load(curve, first, middle) <= wanted) {
            low = middle;
        }
        else {
            high = middle - 1;
        }
    }
    return low;
}
