#include "fleet/keymap.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "base/jsontext.h"
#include "base/memory.h"
#include "fleet/declared.h"
#include "fleet/jsonfield.h"

#define LAST_KEY (DECLARED_KEY_COUNT - 1)

void
keymap_init(struct keymap *map)
{
    *map = (struct keymap){.count = 1};
    for (unsigned page = 0; page < KEYMAP_PAGES; page++) {
        map->pages[page].next_fence = 1;
        map->pages[page].write_fence = 1;
    }
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
parse_segment(const json_t *item, uint32_t page_last,
              struct keymap_segment *segment)
{
    const json_t *last = json_object_get(item, "last");
    const json_t *fence = json_object_get(item, "fence");
    if (!json_is_integer(last) || !json_is_integer(fence) ||
        json_integer_value(last) < segment->first ||
        json_integer_value(last) > page_last ||
        json_integer_value(fence) < 0) {
        return false;
    }
    segment->last = (uint32_t)json_integer_value(last);
    segment->fence = (uint64_t)json_integer_value(fence);
    return jsonfield_copy_text(item, "instance", segment->holder.instance,
                               sizeof(segment->holder.instance)) &&
           jsonfield_copy_text(item, "token", segment->token,
                               sizeof(segment->token));
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

/** Makes the range one segment; its holder is that of the first key. */
static void
isolate_range(struct keymap *map, uint32_t first, uint32_t last)
{
    split_before(map, first);
    if (last < LAST_KEY) {
        split_before(map, last + 1);
    }
    merge_range(map, find_index(map, first), find_index(map, last) + 1);
}

/** The lowest fence that is above all that the keys of the range ever had. */
static uint64_t
lowest_fence(const struct keymap *map, uint32_t first, uint32_t last)
{
    uint64_t fence = 0;
    for (unsigned page = keymap_page_of(first); page <= keymap_page_of(last);
         page++) {
        if (map->pages[page].write_fence > fence) {
            fence = map->pages[page].write_fence;
        }
    }
    for (size_t i = find_index(map, first); i <= find_index(map, last); i++) {
        if (map->segments[i].fence >= fence) {
            fence = map->segments[i].fence + 1;
        }
    }
    return fence;
}

/** A fence above all that the keys of the range ever had. */
static uint64_t
reserve_fence(struct keymap *map, uint32_t first, uint32_t last)
{
    const uint64_t fence = lowest_fence(map, first, last);
    for (unsigned page = keymap_page_of(first); page <= keymap_page_of(last);
         page++) {
        if (map->pages[page].next_fence <= fence) {
            map->pages[page].next_fence = fence + 1;
        }
    }
    return fence;
}

void
keymap_raise_fence(struct keymap *map, uint32_t first, uint32_t last,
                   uint64_t fence)
{
    for (unsigned page = keymap_page_of(first); page <= keymap_page_of(last);
         page++) {
        struct keymap_page *raised = &map->pages[page];
        if (raised->next_fence <= fence) {
            raised->next_fence = fence + 1;
        }
        if (raised->write_fence <= fence) {
            raised->write_fence = fence + 1;
        }
    }
}

void
keymap_assign(struct keymap *map, uint32_t first, uint32_t last,
              const struct keymap_holder *holder, const char *token)
{
    const uint64_t fence = reserve_fence(map, first, last);
    isolate_range(map, first, last);
    struct keymap_segment *segment = &map->segments[find_index(map, first)];
    segment->holder = *holder;
    segment->fence = fence;
    /* Without a token the keys only start slower. */
    if (token == NULL || !jsontext_copy(segment->token, sizeof(segment->token),
                                        token, "token", NULL)) {
        segment->token[0] = '\0';
    }
}

unsigned
keymap_page_of(uint32_t key)
{
    return key / KEYMAP_PAGE_KEYS;
}

/** Finds the first keys from first on that the handover applies to.
 * @return false if there are none */
static bool
next_given_up(const struct keymap *map, const struct keymap_handover *handover,
              uint32_t first, struct keymap_segment *found)
{
    bool any = false;
    uint32_t key = first;
    while (key <= handover->last) {
        const struct keymap_segment *segment = keymap_find(map, key);
        const bool applies =
            segment->fence <= handover->fence_max &&
            strcmp(segment->holder.instance, handover->from) == 0;
        if (any && !applies) {
            return true;
        }
        if (applies) {
            found->first = any ? found->first : key;
            found->last = segment->last < handover->last ? segment->last
                                                         : handover->last;
            any = true;
        }
        key = segment->last + 1;
    }
    return any;
}

bool
keymap_apply_handover(struct keymap *map,
                      const struct keymap_handover *handover)
{
    struct keymap_segment keys = {.last = 0};
    uint32_t from = handover->first;
    bool applied = false;
    while (from <= handover->last &&
           next_given_up(map, handover, from, &keys)) {
        keymap_assign(map, keys.first, keys.last, handover->to,
                      handover->token);
        applied = true;
        from = keys.last + 1;
    }
    return applied;
}

bool
keymap_handover_pending(const struct keymap *map,
                        const struct keymap_handover *handover)
{
    struct keymap_segment keys;
    return next_given_up(map, handover, handover->first, &keys);
}

static uint32_t
page_first(unsigned page)
{
    return page * KEYMAP_PAGE_KEYS;
}

static uint32_t
page_last(unsigned page)
{
    return page_first(page) + KEYMAP_PAGE_KEYS - 1;
}

/** Parses the segments of a page, which must cover its keys in order. */
static bool
parse_segments(const json_t *list, unsigned page, uint64_t next_fence,
               struct keymap_segment *segments)
{
    const size_t count = json_array_size(list);
    uint32_t first = page_first(page);
    for (size_t i = 0; i < count; i++) {
        struct keymap_segment *segment = &segments[i];
        segment->first = first;
        if (first > page_last(page) ||
            !parse_segment(json_array_get(list, i), page_last(page),
                           segment) ||
            segment->fence >= next_fence) {
            return false;
        }
        first = segment->last + 1;
    }
    return first == page_last(page) + 1;
}

static bool
segment_same_assignment(const struct keymap_segment *a,
                        const struct keymap_segment *b)
{
    return a->fence == b->fence && strcmp(a->token, b->token) == 0 &&
           keymap_holder_equal(&a->holder, &b->holder);
}

/** Merges the segment that ends before the key with the one that begins there,
 * if both were assigned as one: a page's row cut them. */
static void
join_at(struct keymap *map, uint32_t key)
{
    if (key == 0 || key > LAST_KEY) {
        return;
    }
    const size_t index = find_index(map, key);
    if (map->segments[index].first == key &&
        segment_same_assignment(&map->segments[index - 1],
                                &map->segments[index])) {
        merge_range(map, index - 1, index + 1);
    }
}

static void
replace_page(struct keymap *map, unsigned page,
             const struct keymap_segment *segments, size_t count)
{
    isolate_range(map, page_first(page), page_last(page));
    const size_t index = find_index(map, page_first(page));
    map->segments = memory_reallocarray(map->segments, map->count + count,
                                        sizeof(*map->segments));
    memmove(&map->segments[index + count], &map->segments[index + 1],
            (map->count - index - 1) * sizeof(*map->segments));
    memcpy(&map->segments[index], segments, count * sizeof(*segments));
    map->count += count - 1;
    join_at(map, page_last(page) + 1);
    join_at(map, page_first(page));
}

bool
keymap_parse_page(struct keymap *map, unsigned page, const char *text,
                  size_t size, uint64_t version, struct error *err)
{
    json_t *document = json_loadb(text, size, 0, NULL);
    const json_t *next = json_object_get(document, "next_fence");
    const json_t *list = json_object_get(document, "segments");
    const size_t count = json_array_size(list);
    const bool plausible = json_is_integer(next) &&
                           json_integer_value(next) > 0 && count > 0 &&
                           count <= KEYMAP_PAGE_KEYS && page < KEYMAP_PAGES;
    struct keymap_segment *segments =
        memory_calloc(plausible ? count : 1, sizeof(*segments));
    const bool ok =
        plausible &&
        parse_segments(list, page, (uint64_t)json_integer_value(next),
                       segments);
    if (ok) {
        replace_page(map, page, segments, count);
        map->pages[page].next_fence = (uint64_t)json_integer_value(next);
        map->pages[page].write_fence = map->pages[page].next_fence;
        map->pages[page].version = version;
    }
    free(segments);
    json_decref(document);
    return ok || error_set(err, ERROR_DOCUMENT_SYNTAX, "key map");
}

void
keymap_forget_page(struct keymap *map, unsigned page)
{
    const struct keymap_segment unowned = {
        .first = page_first(page),
        .last = page_last(page),
    };
    replace_page(map, page, &unowned, 1);
    map->pages[page].write_fence = map->pages[page].next_fence;
    map->pages[page].version = 0;
}

/** The last key of the segment within the page. */
static uint32_t
last_in_page(const struct keymap_segment *segment, unsigned page)
{
    return segment->last < page_last(page) ? segment->last : page_last(page);
}

static json_t *
segment_json(const struct keymap_segment *segment, unsigned page)
{
    return json_pack("{s:i, s:s, s:I, s:s}", "last",
                     (int)last_in_page(segment, page), "instance",
                     segment->holder.instance, "fence",
                     (json_int_t)segment->fence, "token", segment->token);
}

char *
keymap_print_page(const struct keymap *map, unsigned page)
{
    json_t *list = json_array();
    bool complete = true;
    for (size_t i = find_index(map, page_first(page));
         i < map->count && map->segments[i].first <= page_last(page); i++) {
        complete = json_array_append_new(
                       list, segment_json(&map->segments[i], page)) == 0 &&
                   complete;
    }
    json_t *document =
        json_pack("{s:I, s:o}", "next_fence",
                  (json_int_t)map->pages[page].next_fence, "segments", list);
    char *text = jsontext_print(document, JSON_COMPACT, NULL);
    /* All names and tokens were checked before they came into the map. A page
     * that lacks a segment would give its keys to a neighbour. */
    if (text == NULL || !complete) {
        abort();
    }
    return text;
}

bool
keymap_page_equal(const struct keymap *a, const struct keymap *b,
                  unsigned page)
{
    uint32_t key = page_first(page);
    while (key <= page_last(page)) {
        const struct keymap_segment *in_a = keymap_find(a, key);
        const struct keymap_segment *in_b = keymap_find(b, key);
        if (last_in_page(in_a, page) != last_in_page(in_b, page) ||
            !segment_same_assignment(in_a, in_b)) {
            return false;
        }
        key = last_in_page(in_a, page) + 1;
    }
    return true;
}

bool
keymap_holder_equal(const struct keymap_holder *a,
                    const struct keymap_holder *b)
{
    return strcmp(a->instance, b->instance) == 0;
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
