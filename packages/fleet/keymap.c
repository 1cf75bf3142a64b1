#include "fleet/keymap.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "base/memory.h"
#include "fleet/declared.h"
#include "fleet/jsonfield.h"

#define LAST_KEY (DECLARED_KEY_COUNT - 1)

void
keymap_init(struct keymap *map)
{
    *map = (struct keymap){.next_fence = 1, .count = 1};
    map->segments = memory_calloc(1, sizeof(*map->segments));
    map->segments[0].last = LAST_KEY;
}

void
keymap_clear(struct keymap *map)
{
    free(map->segments);
    *map = (struct keymap){.segments = NULL};
}

void
keymap_copy(struct keymap *to, const struct keymap *from)
{
    *to = *from;
    to->segments =
        memory_copy(from->segments, from->count * sizeof(*from->segments));
}

static bool
parse_segment(const json_t *item, struct keymap_segment *segment)
{
    const json_t *last = json_object_get(item, "last");
    const json_t *fence = json_object_get(item, "fence");
    const json_t *started = json_object_get(item, "born_ms");
    if (!json_is_integer(last) || !json_is_integer(fence) ||
        !json_is_integer(started) ||
        json_integer_value(last) < segment->first ||
        json_integer_value(last) > LAST_KEY || json_integer_value(fence) < 0) {
        return false;
    }
    segment->last = (uint32_t)json_integer_value(last);
    segment->fence = (uint64_t)json_integer_value(fence);
    segment->holder.target_started_ms = json_integer_value(started);
    return jsonfield_copy_text(item, "instance", segment->holder.instance,
                               sizeof(segment->holder.instance)) &&
           jsonfield_copy_text(item, "target", segment->holder.target,
                               sizeof(segment->holder.target)) &&
           jsonfield_copy_text(item, "token", segment->token,
                               sizeof(segment->token));
}

static bool
parse_segments(const json_t *list, struct keymap *map)
{
    map->count = json_array_size(list);
    if (map->count == 0 || map->count > DECLARED_KEY_COUNT) {
        return false;
    }
    map->segments = memory_calloc(map->count, sizeof(*map->segments));
    uint32_t first = 0;
    for (size_t i = 0; i < map->count; i++) {
        struct keymap_segment *segment = &map->segments[i];
        segment->first = first;
        if (first > LAST_KEY ||
            !parse_segment(json_array_get(list, i), segment) ||
            segment->fence >= map->next_fence) {
            return false;
        }
        first = segment->last + 1;
    }
    return first == DECLARED_KEY_COUNT;
}

bool
keymap_parse(struct keymap *map, const char *text, size_t size,
             uint64_t version, struct error *err)
{
    json_t *document = json_loadb(text, size, 0, NULL);
    struct keymap read = {.version = version};
    const json_t *next = json_object_get(document, "next_fence");
    bool ok = json_is_integer(next) && json_integer_value(next) > 0;
    if (ok) {
        read.next_fence = (uint64_t)json_integer_value(next);
        ok = parse_segments(json_object_get(document, "segments"), &read);
    }
    json_decref(document);
    if (!ok) {
        keymap_clear(&read);
        return error_set(err, ERROR_DOCUMENT_SYNTAX, "key map");
    }
    keymap_clear(map);
    *map = read;
    return true;
}

char *
keymap_print(const struct keymap *map)
{
    json_t *list = json_array();
    for (size_t i = 0; i < map->count; i++) {
        const struct keymap_segment *segment = &map->segments[i];
        json_array_append_new(
            list,
            json_pack("{s:i, s:s, s:s, s:I, s:I, s:s}", "last",
                      (int)segment->last, "instance", segment->holder.instance,
                      "target", segment->holder.target, "born_ms",
                      (json_int_t)segment->holder.target_started_ms, "fence",
                      (json_int_t)segment->fence, "token", segment->token));
    }
    json_t *document =
        json_pack("{s:I, s:o}", "next_fence", (json_int_t)map->next_fence,
                  "segments", list);
    char *text = json_dumps(document, JSON_COMPACT);
    json_decref(document);
    if (text == NULL) {
        abort();
    }
    return text;
}

static size_t
find_index(const struct keymap *map, uint32_t key)
{
    size_t low = 0;
    size_t high = map->count - 1;
    while (low < high) {
        const size_t middle = (low + high) / 2;
        if (key <= map->segments[middle].last) {
            high = middle;
        }
        else {
            low = middle + 1;
        }
    }
    return low;
}

const struct keymap_segment *
keymap_find(const struct keymap *map, uint32_t key)
{
    return &map->segments[find_index(map, key)];
}

/** Splits the segment of a key, if needed, so that one begins there. */
static void
split_before(struct keymap *map, uint32_t key)
{
    const size_t index = find_index(map, key);
    if (map->segments[index].first == key) {
        return;
    }
    map->segments = memory_reallocarray(map->segments, map->count + 1,
                                        sizeof(*map->segments));
    memmove(&map->segments[index + 1], &map->segments[index],
            (map->count - index) * sizeof(*map->segments));
    map->count++;
    map->segments[index].last = key - 1;
    map->segments[index + 1].first = key;
}

/** Merges the segments from index to end (exclusive) into the first. */
static void
merge_range(struct keymap *map, size_t index, size_t end)
{
    map->segments[index].last = map->segments[end - 1].last;
    memmove(&map->segments[index + 1], &map->segments[end],
            (map->count - end) * sizeof(*map->segments));
    map->count -= end - index - 1;
}

void
keymap_assign(struct keymap *map, uint32_t first, uint32_t last,
              const struct keymap_holder *holder, const char *token)
{
    split_before(map, first);
    if (last < LAST_KEY) {
        split_before(map, last + 1);
    }
    const size_t index = find_index(map, first);
    merge_range(map, index, find_index(map, last) + 1);
    struct keymap_segment *segment = &map->segments[index];
    segment->holder = *holder;
    segment->fence = map->next_fence++;
    snprintf(segment->token, sizeof(segment->token), "%s",
             token != NULL ? token : "");
}

bool
keymap_merge(struct keymap *map, const struct keymap_holder *holder)
{
    bool merged = false;
    for (size_t i = 0; i + 1 < map->count; i++) {
        size_t end = i;
        while (end < map->count &&
               keymap_holder_equal(&map->segments[end].holder, holder)) {
            end++;
        }
        if (end <= i + 1) {
            continue;
        }
        merge_range(map, i, end);
        map->segments[i].fence = map->next_fence++;
        map->segments[i].token[0] = '\0';
        merged = true;
    }
    return merged;
}

bool
keymap_holder_equal(const struct keymap_holder *a,
                    const struct keymap_holder *b)
{
    return strcmp(a->instance, b->instance) == 0 &&
           strcmp(a->target, b->target) == 0 &&
           a->target_started_ms == b->target_started_ms;
}

double
keymap_share(const struct keymap *map, const char *instance)
{
    uint32_t keys = 0;
    for (size_t i = 0; i < map->count; i++) {
        const struct keymap_segment *segment = &map->segments[i];
        if (strcmp(segment->holder.instance, instance) == 0) {
            keys += segment->last - segment->first + 1;
        }
    }
    return (double)keys / DECLARED_KEY_COUNT;
}
