#include "placement/ownertable.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "state/state.h"

#define BUCKETS 1024

struct owner {
    char name[STATE_NAME_MAX + 1];
    uint32_t shards;
    uint16_t next; /* in the bucket or in the free list */
};

struct ownertable {
    struct owner *owners; /* owners[0]: no owner */
    size_t count;
    size_t capacity;
    uint16_t free;
    uint16_t buckets[BUCKETS];
};

struct ownertable *
ownertable_create(void)
{
    struct ownertable *table = calloc(1, sizeof(*table));

    if (table == NULL) {
        return NULL;
    }
    table->capacity = 16;
    table->owners = calloc(table->capacity, sizeof(*table->owners));
    table->count = 1;
    if (table->owners == NULL) {
        free(table);
        return NULL;
    }
    return table;
}

void
ownertable_destroy(struct ownertable *table)
{
    if (table != NULL) {
        free(table->owners);
        free(table);
    }
}

static uint16_t *
bucket_of(struct ownertable *table, const char *name)
{
    return &table->buckets[hash_string(name) % BUCKETS];
}

static uint16_t
ownertable_find(const struct ownertable *table, const char *name)
{
    uint16_t number = table->buckets[hash_string(name) % BUCKETS];

    while (number != 0 && strcmp(table->owners[number].name, name) != 0) {
        number = table->owners[number].next;
    }
    return number;
}

static uint16_t
allocate_number(struct ownertable *table)
{
    uint16_t number = table->free;

    if (number != 0) {
        table->free = table->owners[number].next;
        return number;
    }
    if (table->count > OWNERTABLE_MAX) {
        abort();
    }
    if (table->count == table->capacity) {
        table->capacity *= 2;
        table->owners =
            realloc(table->owners, table->capacity * sizeof(*table->owners));
        if (table->owners == NULL) {
            abort();
        }
    }
    return (uint16_t)table->count++;
}

uint16_t
ownertable_acquire(struct ownertable *table, const char *name)
{
    uint16_t number;

    if (name[0] == '\0') {
        return 0;
    }
    number = ownertable_find(table, name);
    if (number == 0) {
        uint16_t *bucket = bucket_of(table, name);
        number = allocate_number(table);
        struct owner *owner = &table->owners[number];
        memset(owner, 0, sizeof(*owner));
        (void)snprintf(owner->name, sizeof(owner->name), "%s", name);
        owner->next = *bucket;
        *bucket = number;
    }
    table->owners[number].shards++;
    return number;
}

void
ownertable_release(struct ownertable *table, uint16_t number)
{
    struct owner *owner = &table->owners[number];
    uint16_t *link;

    if (number == 0 || --owner->shards > 0) {
        return;
    }
    link = bucket_of(table, owner->name);
    while (*link != number) {
        link = &table->owners[*link].next;
    }
    *link = owner->next;
    owner->next = table->free;
    table->free = number;
}

const char *
ownertable_name(const struct ownertable *table, uint16_t number)
{
    return table->owners[number].name;
}

uint32_t
ownertable_shard_count(const struct ownertable *table, const char *name)
{
    uint16_t number = ownertable_find(table, name);

    return number == 0 ? 0 : table->owners[number].shards;
}

size_t
ownertable_memory(const struct ownertable *table)
{
    return sizeof(*table) + table->capacity * sizeof(*table->owners);
}
