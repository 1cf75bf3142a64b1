#include "membership/membertable.h"

#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "base/timeunits.h"
#include "membership/endpoint.h"
#include "membership/stringtable.h"

#define ENTRIES_INITIAL 16
#define INDEX_INITIAL 32
#define INDEX_LOAD_PERCENT 75 /* highest load factor of the hash index */
#define GROWTH_DIVISOR 8      /* the table grows by an eighth */
#define PERCENT 100

/** Guardians as positions in the table. Packed to avoid padding. */
struct packed_guardians {
    uint64_t incarnations[MEMBER_GUARDIANS_MAX];
    uint32_t positions[MEMBER_GUARDIANS_MAX];
} __attribute__((packed, aligned(4)));

struct entry {
    char *instance;
    uint64_t incarnation;
    uint64_t version; /* 0 if only named as a guardian by other rows */
    int64_t first_seen_us;
    struct packed_guardians *outgoing; /* NULL if there are none */
    struct packed_guardians guardians;
    uint32_t lease_us;
    struct endpoint rpc;
    struct endpoint http;
    uint32_t renewal_max_ms;
    uint32_t longest_request_ms;
    uint32_t serve_after_ms;
    uint16_t zone;
    uint16_t region;
    uint16_t service;
    uint16_t slots;
    uint16_t guarded_count;
    uint8_t state;
    uint8_t guardian_count;
    uint8_t outgoing_count;
    bool checks_grants;
};

struct membertable {
    struct entry *entries;
    size_t size;
    size_t capacity;
    uint32_t *index; /* position + 1 by hash of the name; 0 if free */
    size_t index_size;
    struct stringtable zones;
    struct stringtable regions;
    struct stringtable services;
    size_t known_count; /* entries with a version */
    size_t live_count;
    uint64_t version;
};

struct membertable *
membertable_create(void)
{
    return calloc(1, sizeof(struct membertable));
}

void
membertable_destroy(struct membertable *table)
{
    if (table == NULL) {
        return;
    }
    for (size_t i = 0; i < table->size; i++) {
        free(table->entries[i].instance);
        free(table->entries[i].outgoing);
    }
    free(table->entries);
    free(table->index);
    stringtable_clear(&table->zones);
    stringtable_clear(&table->regions);
    stringtable_clear(&table->services);
    free(table);
}

static size_t
index_slot(const struct membertable *table, const char *instance)
{
    size_t slot = hash_string(instance) % table->index_size;
    while (table->index[slot] != 0 &&
           strcmp(table->entries[table->index[slot] - 1].instance, instance) !=
               0) {
        slot = (slot + 1) % table->index_size;
    }
    return slot;
}

static struct entry *
find_entry(const struct membertable *table, const char *instance)
{
    if (table->index_size == 0) {
        return NULL;
    }
    uint32_t position = table->index[index_slot(table, instance)];
    return position == 0 ? NULL : &table->entries[position - 1];
}

static void
grow_index(struct membertable *table)
{
    if (table->index_size * INDEX_LOAD_PERCENT > (table->size + 1) * PERCENT) {
        return;
    }
    table->index_size =
        table->index_size == 0 ? INDEX_INITIAL : table->index_size * 2;
    free(table->index);
    table->index = calloc(table->index_size, sizeof(*table->index));
    if (table->index == NULL) {
        abort();
    }
    for (size_t i = 0; table->entries != NULL && i < table->size; i++) {
        size_t slot = index_slot(table, table->entries[i].instance);
        table->index[slot] = (uint32_t)i + 1;
    }
}

static void
grow_entries(struct membertable *table)
{
    if (table->entries != NULL && table->size < table->capacity) {
        return;
    }
    table->capacity += ENTRIES_INITIAL + table->capacity / GROWTH_DIVISOR;
    table->entries =
        realloc(table->entries, table->capacity * sizeof(*table->entries));
    if (table->entries == NULL) {
        abort();
    }
}

/** Position of the instance, which is added if it is missing. */
static uint32_t
position_of(struct membertable *table, const char *instance)
{
    struct entry *entry = find_entry(table, instance);
    if (entry != NULL) {
        return (uint32_t)(entry - table->entries);
    }
    grow_index(table);
    grow_entries(table);
    entry = &table->entries[table->size];
    memset(entry, 0, sizeof(*entry));
    entry->instance = strdup(instance);
    if (entry->instance == NULL) {
        abort();
    }
    size_t slot = index_slot(table, instance);
    table->index[slot] = (uint32_t)++table->size;
    return table->index[slot] - 1;
}

static struct packed_guardians
pack_guardians(struct membertable *table, const struct guardian_set *set)
{
    struct packed_guardians guardians = {0};
    for (size_t i = 0; i < set->count; i++) {
        guardians.positions[i] = position_of(table, set->refs[i].instance);
        guardians.incarnations[i] = set->refs[i].incarnation;
    }
    return guardians;
}

static void
unpack_guardians(const struct membertable *table,
                 const struct packed_guardians *guardians, size_t count,
                 struct guardian_set *set)
{
    set->count = count;
    for (size_t i = 0; i < count; i++) {
        const struct entry *entry = &table->entries[guardians->positions[i]];
        member_copy_name(set->refs[i].instance, entry->instance);
        set->refs[i].incarnation = guardians->incarnations[i];
    }
}

static bool
entry_is_live(const struct entry *entry)
{
    return entry->state == MEMBER_JOINING || entry->state == MEMBER_ACTIVE ||
           entry->state == MEMBER_LEAVING;
}

/** Adds delta to the guarded_count of the entry's guardians if it is
 * live_count. */
static void
adjust_guarded_counts(struct membertable *table, const struct entry *entry,
                      int delta)
{
    if (!entry_is_live(entry)) {
        return;
    }
    for (size_t i = 0; i < entry->guardian_count; i++) {
        struct entry *guardian =
            &table->entries[entry->guardians.positions[i]];
        guardian->guarded_count = (uint16_t)(guardian->guarded_count + delta);
    }
}

static void
set_outgoing(struct entry *entry, const struct guardian_set *set,
             const struct packed_guardians *outgoing)
{
    entry->outgoing_count = (uint8_t)set->count;
    if (set->count == 0) {
        free(entry->outgoing);
        entry->outgoing = NULL;
        return;
    }
    if (entry->outgoing == NULL) {
        entry->outgoing = malloc(sizeof(*entry->outgoing));
        if (entry->outgoing == NULL) {
            abort();
        }
    }
    *entry->outgoing = *outgoing;
}

static void
set_numbers(struct entry *entry, const struct member *row)
{
    entry->incarnation = row->self.incarnation;
    entry->lease_us = (uint32_t)row->lease_us;
    entry->renewal_max_ms = (uint32_t)(row->renewal_max_us / US_PER_MS);
    entry->longest_request_ms =
        (uint32_t)(row->longest_request_us / US_PER_MS);
    entry->serve_after_ms = (uint32_t)(row->serve_after_us / US_PER_MS);
    entry->slots = row->slots > UINT16_MAX ? UINT16_MAX : (uint16_t)row->slots;
    entry->checks_grants = row->checks_grants;
    entry->rpc = endpoint_from_address(&row->rpc);
    entry->http = endpoint_from_address(&row->http);
}

bool
membertable_apply(struct membertable *table, const struct member *row,
                  int64_t now_us)
{
    struct packed_guardians guardians = pack_guardians(table, &row->guardians);
    struct packed_guardians outgoing = pack_guardians(table, &row->outgoing);
    uint32_t position = position_of(table, row->self.instance);
    struct entry *entry = &table->entries[position];
    if (row->version <= entry->version) {
        return false;
    }
    table->known_count += entry->version == 0;
    table->live_count -= entry_is_live(entry);
    adjust_guarded_counts(table, entry, -1);
    set_numbers(entry, row);
    set_outgoing(entry, &row->outgoing, &outgoing);
    entry->guardians = guardians;
    entry->guardian_count = (uint8_t)row->guardians.count;
    entry->state = (uint8_t)row->state;
    entry->zone = stringtable_intern(&table->zones, row->zone);
    entry->region = stringtable_intern(&table->regions, row->region);
    entry->service = stringtable_intern(&table->services, row->service);
    entry->version = row->version;
    entry->first_seen_us = now_us;
    adjust_guarded_counts(table, entry, 1);
    table->live_count += entry_is_live(entry);
    if (row->version > table->version) {
        table->version = row->version;
    }
    return true;
}

size_t
membertable_count(const struct membertable *table)
{
    return table->known_count;
}

size_t
membertable_live_count(const struct membertable *table)
{
    return table->live_count;
}

uint64_t
membertable_version(const struct membertable *table)
{
    return table->version;
}

static struct membertable_view
view_of(const struct membertable *table, const struct entry *entry)
{
    return (struct membertable_view){
        .instance = entry->instance,
        .zone = table->zones.texts[entry->zone],
        .region = table->regions.texts[entry->region],
        .service = table->services.texts[entry->service],
        .incarnation = entry->incarnation,
        .version = entry->version,
        .first_seen_us = entry->first_seen_us,
        .longest_request_us = (int64_t)entry->longest_request_ms * US_PER_MS,
        .serve_after_us = (int64_t)entry->serve_after_ms * US_PER_MS,
        .lease_us = entry->lease_us,
        .renewal_max_us = (int64_t)entry->renewal_max_ms * US_PER_MS,
        .state = (enum member_state)entry->state,
        .slots = entry->slots,
        .guarded_count = entry->guarded_count,
        .checks_grants = entry->checks_grants,
    };
}

static void
copy_row(const struct membertable *table, const struct entry *entry,
         struct member *row)
{
    struct membertable_view view = view_of(table, entry);
    memset(row, 0, sizeof(*row));
    member_copy_name(row->self.instance, view.instance);
    row->self.incarnation = view.incarnation;
    member_copy_name(row->zone, view.zone);
    member_copy_name(row->region, view.region);
    member_copy_name(row->service, view.service);
    row->rpc = endpoint_to_address(&entry->rpc);
    row->http = endpoint_to_address(&entry->http);
    row->state = view.state;
    row->slots = view.slots;
    row->checks_grants = view.checks_grants;
    row->longest_request_us = view.longest_request_us;
    row->lease_us = view.lease_us;
    row->renewal_max_us = view.renewal_max_us;
    row->serve_after_us = view.serve_after_us;
    row->version = view.version;
    unpack_guardians(table, &entry->guardians, entry->guardian_count,
                     &row->guardians);
    if (entry->outgoing != NULL) {
        unpack_guardians(table, entry->outgoing, entry->outgoing_count,
                         &row->outgoing);
    }
}

bool
membertable_find(const struct membertable *table, const char *instance,
                 struct membertable_view *view)
{
    const struct entry *entry = find_entry(table, instance);
    if (entry == NULL || entry->version == 0) {
        return false;
    }
    *view = view_of(table, entry);
    return true;
}

bool
membertable_row(const struct membertable *table, const char *instance,
                struct member *row)
{
    const struct entry *entry = find_entry(table, instance);
    if (entry == NULL || entry->version == 0) {
        return false;
    }
    copy_row(table, entry, row);
    return true;
}

bool
membertable_row_by_incarnation(const struct membertable *table,
                               uint64_t incarnation, struct member *row)
{
    for (size_t i = 0; i < table->size; i++) {
        const struct entry *entry = &table->entries[i];
        if (entry->version != 0 && entry->incarnation == incarnation) {
            copy_row(table, entry, row);
            return true;
        }
    }
    return false;
}

static bool
endpoint_equal(const struct endpoint *a, const struct endpoint *b)
{
    return a->family == b->family && a->port == b->port &&
           memcmp(a->ip, b->ip, sizeof(a->ip)) == 0;
}

bool
membertable_row_by_address(const struct membertable *table,
                           const struct address *address, struct member *row)
{
    struct endpoint endpoint = endpoint_from_address(address);
    for (size_t i = 0; i < table->size; i++) {
        const struct entry *entry = &table->entries[i];
        if (entry_is_live(entry) &&
            (endpoint_equal(&entry->rpc, &endpoint) ||
             endpoint_equal(&entry->http, &endpoint))) {
            copy_row(table, entry, row);
            return true;
        }
    }
    return false;
}

bool
membertable_rpc_address(const struct membertable *table,
                        const struct member_ref *ref, struct address *address)
{
    const struct entry *entry = find_entry(table, ref->instance);
    if (entry == NULL || entry->version == 0 ||
        entry->incarnation != ref->incarnation) {
        return false;
    }
    *address = endpoint_to_address(&entry->rpc);
    return true;
}

static bool
filter_fits(const struct membertable_filter *filter,
            const struct membertable_view *view, bool live)
{
    return (filter->zone == NULL || strcmp(filter->zone, view->zone) == 0) &&
           (filter->service == NULL ||
            strcmp(filter->service, view->service) == 0) &&
           (!filter->live_only || live);
}

void
membertable_visit(const struct membertable *table,
                  const struct membertable_filter *filter,
                  membertable_visitor visit, void *ctx)
{
    for (size_t i = 0; i < table->size; i++) {
        const struct entry *entry = &table->entries[i];
        if (entry->version == 0) {
            continue;
        }
        struct membertable_view view = view_of(table, entry);
        if (filter_fits(filter, &view, entry_is_live(entry))) {
            visit(ctx, &view);
        }
    }
}

bool
membertable_at(const struct membertable *table, size_t position,
               struct membertable_view *view)
{
    if (position >= table->size || table->entries[position].version == 0) {
        return false;
    }
    *view = view_of(table, &table->entries[position]);
    return true;
}

size_t
membertable_size(const struct membertable *table)
{
    return table->size;
}

size_t
membertable_memory(const struct membertable *table)
{
    size_t bytes = sizeof(*table) + table->capacity * sizeof(*table->entries) +
                   table->index_size * sizeof(*table->index) +
                   stringtable_memory(&table->zones) +
                   stringtable_memory(&table->regions) +
                   stringtable_memory(&table->services);
    for (size_t i = 0; i < table->size; i++) {
        const struct entry *entry = &table->entries[i];
        bytes += strlen(entry->instance) + 1;
        bytes += entry->outgoing == NULL ? 0 : sizeof(*entry->outgoing);
    }
    return bytes;
}
