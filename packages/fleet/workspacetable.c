#include "fleet/workspacetable.h"

#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "base/memory.h"

#define INDEX_SIZE_MIN 16 /* buckets; always a power of two */
#define NO_ENTRY SIZE_MAX
#define KEYS_SEED 1 /* hashes of keys differ from those of names */

struct workspace_key {
    size_t workspace; /* index */
    size_t size;
    char *text;
};

/** Open addressing over the entries of an array. */
struct index {
    size_t *buckets;
    size_t size;
};

struct workspacetable {
    struct declared_workspace *workspaces;
    size_t count;
    size_t capacity;
    struct workspace_key *keys;
    size_t key_count;
    size_t key_capacity;
    struct index by_key;
    struct index by_name;
};

struct workspacetable *
workspacetable_create(void)
{
    return memory_calloc(1, sizeof(struct workspacetable));
}

void
workspacetable_destroy(struct workspacetable *table)
{
    if (table == NULL) {
        return;
    }
    for (size_t i = 0; i < table->count; i++) {
        free(table->workspaces[i].name);
    }
    for (size_t i = 0; i < table->key_count; i++) {
        free(table->keys[i].text);
    }
    free(table->workspaces);
    free(table->keys);
    free(table->by_key.buckets);
    free(table->by_name.buckets);
    free(table);
}

/** Capacity that has room for one more entry. */
static size_t
grown(size_t count, size_t capacity)
{
    if (count < capacity) {
        return capacity;
    }
    return capacity > 0 ? capacity * 2 : INDEX_SIZE_MIN;
}

struct declared_workspace *
workspacetable_add(struct workspacetable *table, const char *name)
{
    const size_t capacity = grown(table->count, table->capacity);
    if (capacity != table->capacity) {
        table->workspaces = memory_reallocarray(table->workspaces, capacity,
                                                sizeof(*table->workspaces));
        table->capacity = capacity;
    }
    struct declared_workspace *workspace = &table->workspaces[table->count++];
    *workspace = (struct declared_workspace){.name = memory_strdup(name)};
    return workspace;
}

void
workspacetable_add_key(struct workspacetable *table, const char *key)
{
    const size_t capacity = grown(table->key_count, table->key_capacity);
    if (capacity != table->key_capacity) {
        table->keys =
            memory_reallocarray(table->keys, capacity, sizeof(*table->keys));
        table->key_capacity = capacity;
    }
    table->keys[table->key_count++] = (struct workspace_key){
        .workspace = table->count - 1,
        .size = strlen(key),
        .text = memory_strdup(key),
    };
}

static void
index_create(struct index *index, size_t count)
{
    index->size = INDEX_SIZE_MIN;
    while (index->size < count * 2) {
        index->size *= 2;
    }
    index->buckets = memory_calloc(index->size, sizeof(*index->buckets));
    for (size_t i = 0; i < index->size; i++) {
        index->buckets[i] = NO_ENTRY;
    }
}

/** Compares all bytes whatever the first difference. */
static bool
is_key(const struct workspace_key *key, const char *text, size_t size)
{
    unsigned char difference = 0;
    if (key->size != size) {
        return false;
    }
    for (size_t i = 0; i < size; i++) {
        difference |= (unsigned char)(key->text[i] ^ text[i]);
    }
    return difference == 0;
}

/** Bucket of a key, or the first free one. */
static size_t *
find_key(const struct workspacetable *table, const char *key)
{
    const struct index *index = &table->by_key;
    const size_t size = strlen(key);
    size_t bucket = hash_bytes(key, size, KEYS_SEED) & (index->size - 1);
    while (index->buckets[bucket] != NO_ENTRY &&
           !is_key(&table->keys[index->buckets[bucket]], key, size)) {
        bucket = (bucket + 1) & (index->size - 1);
    }
    return &index->buckets[bucket];
}

/** Bucket of a name, or the first free one. */
static size_t *
find_name(const struct workspacetable *table, const char *name)
{
    const struct index *index = &table->by_name;
    size_t bucket = hash_string(name) & (index->size - 1);
    while (index->buckets[bucket] != NO_ENTRY &&
           strcmp(table->workspaces[index->buckets[bucket]].name, name) != 0) {
        bucket = (bucket + 1) & (index->size - 1);
    }
    return &index->buckets[bucket];
}

static bool
index_keys(struct workspacetable *table, struct error *err)
{
    index_create(&table->by_key, table->key_count);
    for (size_t i = 0; i < table->key_count; i++) {
        const struct workspace_key *key = &table->keys[i];
        size_t *bucket = find_key(table, key->text);
        if (*bucket == NO_ENTRY) {
            *bucket = i;
        }
        else if (table->keys[*bucket].workspace != key->workspace) {
            /* Names the workspace: errors are logged, and keys never are. */
            return error_set(err, ERROR_FIELD_DUPLICATE, "a key of %s",
                             table->workspaces[key->workspace].name);
        }
    }
    return true;
}

bool
workspacetable_build_index(struct workspacetable *table, struct error *err)
{
    index_create(&table->by_name, table->count);
    for (size_t i = 0; i < table->count; i++) {
        size_t *bucket = find_name(table, table->workspaces[i].name);
        if (*bucket != NO_ENTRY) {
            return error_set(err, ERROR_FIELD_DUPLICATE, "workspace %s",
                             table->workspaces[i].name);
        }
        *bucket = i;
    }
    return index_keys(table, err);
}

size_t
workspacetable_count(const struct workspacetable *table)
{
    return table->count;
}

const struct declared_workspace *
workspacetable_at(const struct workspacetable *table, size_t index)
{
    return &table->workspaces[index];
}

const struct declared_workspace *
workspacetable_by_key(const struct workspacetable *table, const char *key)
{
    const size_t entry = *find_key(table, key);
    return entry != NO_ENTRY ? &table->workspaces[table->keys[entry].workspace]
                             : NULL;
}

const struct declared_workspace *
workspacetable_by_name(const struct workspacetable *table, const char *name)
{
    const size_t entry = *find_name(table, name);
    return entry != NO_ENTRY ? &table->workspaces[entry] : NULL;
}
