#include "state/statediff.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "base/memory.h"
#include "state/statejson.h"

/** Converts an array of names or of named objects to an object by name. */
static json_t *
index_by_name(const json_t *value)
{
    json_t *indexed = json_object();
    for (size_t i = 0; i < json_array_size(value); i++) {
        json_t *item = json_array_get(value, i);
        if (json_is_string(item)) {
            json_object_set_new(indexed, json_string_value(item), json_true());
            continue;
        }
        json_t *fields = json_copy(item);
        const char *name = json_string_value(json_object_get(item, "name"));
        json_object_del(fields, "name");
        json_object_set_new(indexed, name, fields);
    }
    return indexed;
}

/** The state as nested objects without arrays of named items. */
static json_t *
state_tree(const struct state *state)
{
    if (state == NULL) {
        return json_pack("{s:{}, s:{}, s:{}, s:{}}", "zones", "services",
                         "lost_instances", "limits");
    }
    json_t *tree = state_to_json(state);
    static const char *const lists[] = {"zones", "services", "lost_instances"};
    for (size_t i = 0; i < sizeof(lists) / sizeof(lists[0]); i++) {
        json_object_set_new(tree, lists[i],
                            index_by_name(json_object_get(tree, lists[i])));
    }
    return tree;
}

static void
add_change(struct state_diff *diff, const char *path, json_t *before,
           json_t *after)
{
    diff->changes = memory_reallocarray(diff->changes, diff->count + 1,
                                        sizeof(diff->changes[0]));
    struct state_change *change = &diff->changes[diff->count++];
    snprintf(change->path, sizeof(change->path), "%s", path);
    change->before = json_incref(before);
    change->after = json_incref(after);
}

struct tree_pair {
    json_t *before;
    json_t *after;
    char path[STATE_DIFF_PATH_SIZE];
};

/** The tree needs 4: list, name, field and field of "key". */
#define TREE_DEPTH_MAX 8

static int
compare_names(const void *a, const void *b)
{
    return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/** Sorted union of the field names of both objects. */
static size_t
union_of_names(const struct tree_pair *pair, const char ***names)
{
    json_t *all = json_object();
    json_object_update(all, pair->before);
    json_object_update(all, pair->after);
    *names = memory_calloc(json_object_size(all) + 1, sizeof((*names)[0]));
    size_t count = 0;
    const char *name;
    json_t *value;
    json_object_foreach (all, name, value) {
        /* Borrowed from before or after, as all is freed below. */
        void *owner = json_object_iter_at(pair->before, name);
        if (owner == NULL) {
            owner = json_object_iter_at(pair->after, name);
        }
        (*names)[count++] = json_object_iter_key(owner);
    }
    json_decref(all);
    qsort(*names, count, sizeof((*names)[0]), compare_names);
    return count;
}

/* The recursion ends at TREE_DEPTH_MAX. NOLINTNEXTLINE(misc-no-recursion) */
static void
compare_trees(struct state_diff *diff, const struct tree_pair *pair,
              size_t depth)
{
    if (json_equal(pair->before, pair->after)) {
        return;
    }
    const bool objects =
        json_is_object(pair->before) && json_is_object(pair->after);
    if (!objects || depth == TREE_DEPTH_MAX) {
        add_change(diff, pair->path, pair->before, pair->after);
        return;
    }
    const char **names;
    const size_t count = union_of_names(pair, &names);
    for (size_t i = 0; i < count; i++) {
        struct tree_pair field = {
            .before = json_object_get(pair->before, names[i]),
            .after = json_object_get(pair->after, names[i]),
        };
        snprintf(field.path, sizeof(field.path), "%.127s/%.127s", pair->path,
                 names[i]);
        compare_trees(diff, &field, depth + 1);
    }
    free(names);
}

struct state_diff *
state_diff_create(const struct state *before, const struct state *after)
{
    struct state_diff *diff = memory_calloc(1, sizeof(*diff));
    const struct tree_pair top = {
        .before = state_tree(before),
        .after = state_tree(after),
    };
    compare_trees(diff, &top, 0);
    json_decref(top.before);
    json_decref(top.after);
    return diff;
}

void
state_diff_destroy(struct state_diff *diff)
{
    if (diff == NULL) {
        return;
    }
    for (size_t i = 0; i < diff->count; i++) {
        json_decref(diff->changes[i].before);
        json_decref(diff->changes[i].after);
    }
    free(diff->changes);
    free(diff);
}

json_t *
state_diff_to_json(const struct state_diff *diff)
{
    json_t *array = json_array();
    for (size_t i = 0; i < diff->count; i++) {
        const struct state_change *change = &diff->changes[i];
        json_array_append_new(array,
                              json_pack("{s:s, s:O?, s:O?}", "path",
                                        change->path, "before", change->before,
                                        "after", change->after));
    }
    return array;
}

static void
print_value(const json_t *value, FILE *stream)
{
    char *text = value != NULL
                     ? json_dumps(value, JSON_ENCODE_ANY | JSON_SORT_KEYS)
                     : strdup("none");
    if (text == NULL) {
        abort();
    }
    fputs(text, stream);
    free(text);
}

void
state_diff_print(const struct state_diff *diff, FILE *stream)
{
    for (size_t i = 0; i < diff->count; i++) {
        const struct state_change *change = &diff->changes[i];
        if (change->before == NULL && json_is_object(change->after)) {
            fprintf(stream, "%s: added\n", change->path);
            continue;
        }
        if (change->after == NULL && json_is_object(change->before)) {
            fprintf(stream, "%s: removed\n", change->path);
            continue;
        }
        fprintf(stream, "%s: ", change->path);
        print_value(change->before, stream);
        fputs(" -> ", stream);
        print_value(change->after, stream);
        fputc('\n', stream);
    }
}
