#include "standin/loadresult.h"

#include <stdlib.h>

#define INITIAL_CAPACITY 4096

struct load_result {
    int64_t *latencies_us;
    size_t count;
    size_t capacity;
    json_t *groups;
};

struct load_result *
load_result_create(void)
{
    struct load_result *result = calloc(1, sizeof(*result));
    if (result == NULL) {
        abort();
    }
    result->groups = json_object();
    return result;
}

void
load_result_destroy(struct load_result *result)
{
    if (result == NULL) {
        return;
    }
    json_decref(result->groups);
    free(result->latencies_us);
    free(result);
}

void
load_result_add_latency(struct load_result *result, int64_t latency_us)
{
    if (result->count == result->capacity) {
        result->capacity =
            result->capacity > 0 ? result->capacity * 2 : INITIAL_CAPACITY;
        result->latencies_us =
            realloc(result->latencies_us,
                    result->capacity * sizeof(*result->latencies_us));
        if (result->latencies_us == NULL) {
            abort();
        }
    }
    result->latencies_us[result->count++] = latency_us;
}

void
load_result_count(struct load_result *result, const char *group,
                  const char *name)
{
    json_t *counts = json_object_get(result->groups, group);
    if (counts == NULL) {
        counts = json_object();
        json_object_set_new(result->groups, group, counts);
    }
    json_t *number = json_object_get(counts, name);
    if (number == NULL) {
        json_object_set_new(counts, name, json_integer(1));
        return;
    }
    json_integer_set(number, json_integer_value(number) + 1);
}

static int
compare_latencies(const void *a, const void *b)
{
    const int64_t left = *(const int64_t *)a;
    const int64_t right = *(const int64_t *)b;
    return (left > right) - (left < right);
}

static json_int_t
latency_at(const struct load_result *result, double quantile)
{
    if (result->count == 0) {
        return 0;
    }
    const size_t index = (size_t)(quantile * (double)(result->count - 1));
    return result->latencies_us[index];
}

json_t *
load_result_to_json(struct load_result *result, double seconds)
{
    if (result->count > 0) {
        qsort(result->latencies_us, result->count,
              sizeof(*result->latencies_us), compare_latencies);
    }
    json_t *object = json_pack(
        "{sI sf sf sI sI sI sI}", "requests", (json_int_t)result->count,
        "seconds", seconds, "rate",
        seconds > 0 ? (double)result->count / seconds : 0.0, "p50_us",
        latency_at(result, 0.5), "p99_us", latency_at(result, 0.99), "p999_us",
        latency_at(result, 0.999), "max_us", latency_at(result, 1.0));
    json_object_update(object, result->groups);
    return object;
}
