#include "membership/directory.h"

#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "membership/endpoint.h"
#include "membership/names.h"

#define ENTRIES_INITIAL 16
#define INDEX_INITIAL 32
#define INDEX_LOAD_PERCENT 75 /* of the hash index in use */
#define GROWTH_DIVISOR 8      /* the table grows by this part of itself */
#define PERCENT 100
#define US_PER_MS 1000

/** Guardians as positions in the table. Unaligned, to save padding. */
struct compact_guardians {
    uint64_t incarnations[MEMBER_GUARDIANS_MAX];
    uint32_t positions[MEMBER_GUARDIANS_MAX];
} __attribute__((packed, aligned(4)));

struct entry {
    char *instance;
    uint64_t incarnation;
    uint64_t version; /* 0: only named by other rows */
    int64_t first_seen_us;
    struct compact_guardians *outgoing; /* NULL if there are none */
    struct compact_guardians guardians;
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
    uint16_t wards;
    uint8_t state;
    uint8_t guardian_count;
    uint8_t outgoing_count;
    bool checks_grants;
};

struct directory {
    struct entry *entries;
    size_t size;
    size_t capacity;
    uint32_t *index; /* position + 1 by hash of the name, 0: free */
    size_t index_size;
    struct names zones;
    struct names regions;
    struct names services;
    size_t known; /* entries with a version */
    size_t live;
    uint64_t version;
};

struct directory *
directory_create(void)
{
    return calloc(1, sizeof(struct directory));
}

void
directory_destroy(struct directory *directory)
{
    if (directory == NULL) {
        return;
    }
    for (size_t i = 0; i < directory->size; i++) {
        free(directory->entries[i].instance);
        free(directory->entries[i].outgoing);
    }
    free(directory->entries);
    free(directory->index);
    names_clear(&directory->zones);
    names_clear(&directory->regions);
    names_clear(&directory->services);
    free(directory);
}

static size_t
index_slot(const struct directory *directory, const char *instance)
{
    size_t slot = hash_string(instance) % directory->index_size;
    while (directory->index[slot] != 0 &&
           strcmp(directory->entries[directory->index[slot] - 1].instance,
                  instance) != 0) {
        slot = (slot + 1) % directory->index_size;
    }
    return slot;
}

static struct entry *
find_entry(const struct directory *directory, const char *instance)
{
    if (directory->index_size == 0) {
        return NULL;
    }
    uint32_t position = directory->index[index_slot(directory, instance)];
    return position == 0 ? NULL : &directory->entries[position - 1];
}

static void
grow_index(struct directory *directory)
{
    if (directory->index_size * INDEX_LOAD_PERCENT >
        (directory->size + 1) * PERCENT) {
        return;
    }
    directory->index_size =
        directory->index_size == 0 ? INDEX_INITIAL : directory->index_size * 2;
    free(directory->index);
    directory->index =
        calloc(directory->index_size, sizeof(*directory->index));
    if (directory->index == NULL) {
        abort();
    }
    for (size_t i = 0; directory->entries != NULL && i < directory->size;
         i++) {
        size_t slot = index_slot(directory, directory->entries[i].instance);
        directory->index[slot] = (uint32_t)i + 1;
    }
}

static void
grow_entries(struct directory *directory)
{
    if (directory->entries != NULL && directory->size < directory->capacity) {
        return;
    }
    directory->capacity +=
        ENTRIES_INITIAL + directory->capacity / GROWTH_DIVISOR;
    directory->entries = realloc(
        directory->entries, directory->capacity * sizeof(*directory->entries));
    if (directory->entries == NULL) {
        abort();
    }
}

/** Position of the instance, which is added if it is not there. */
static uint32_t
position_of(struct directory *directory, const char *instance)
{
    struct entry *entry = find_entry(directory, instance);
    if (entry != NULL) {
        return (uint32_t)(entry - directory->entries);
    }
    grow_index(directory);
    grow_entries(directory);
    entry = &directory->entries[directory->size];
    memset(entry, 0, sizeof(*entry));
    entry->instance = strdup(instance);
    if (entry->instance == NULL) {
        abort();
    }
    size_t slot = index_slot(directory, instance);
    directory->index[slot] = (uint32_t)++directory->size;
    return directory->index[slot] - 1;
}

static struct compact_guardians
compact(struct directory *directory, const struct guardian_set *set)
{
    struct compact_guardians guardians = {0};
    for (size_t i = 0; i < set->count; i++) {
        guardians.positions[i] = position_of(directory, set->refs[i].instance);
        guardians.incarnations[i] = set->refs[i].incarnation;
    }
    return guardians;
}

static void
expand(const struct directory *directory,
       const struct compact_guardians *guardians, size_t count,
       struct guardian_set *set)
{
    set->count = count;
    for (size_t i = 0; i < count; i++) {
        const struct entry *entry =
            &directory->entries[guardians->positions[i]];
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

/** Adds delta to the wards of the entry's guardians if it is live. */
static void
count_wards(struct directory *directory, const struct entry *entry, int delta)
{
    if (!entry_is_live(entry)) {
        return;
    }
    for (size_t i = 0; i < entry->guardian_count; i++) {
        struct entry *guardian =
            &directory->entries[entry->guardians.positions[i]];
        guardian->wards = (uint16_t)(guardian->wards + delta);
    }
}

static void
set_outgoing(struct entry *entry, const struct guardian_set *set,
             const struct compact_guardians *outgoing)
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
directory_apply(struct directory *directory, const struct member *row,
                int64_t now_us)
{
    struct compact_guardians guardians = compact(directory, &row->guardians);
    struct compact_guardians outgoing = compact(directory, &row->outgoing);
    uint32_t position = position_of(directory, row->self.instance);
    struct entry *entry = &directory->entries[position];
    if (row->version <= entry->version) {
        return false;
    }
    directory->known += entry->version == 0;
    directory->live -= entry_is_live(entry);
    count_wards(directory, entry, -1);
    set_numbers(entry, row);
    set_outgoing(entry, &row->outgoing, &outgoing);
    entry->guardians = guardians;
    entry->guardian_count = (uint8_t)row->guardians.count;
    entry->state = (uint8_t)row->state;
    entry->zone = names_number(&directory->zones, row->zone);
    entry->region = names_number(&directory->regions, row->region);
    entry->service = names_number(&directory->services, row->service);
    entry->version = row->version;
    entry->first_seen_us = now_us;
    count_wards(directory, entry, 1);
    directory->live += entry_is_live(entry);
    if (row->version > directory->version) {
        directory->version = row->version;
    }
    return true;
}

size_t
directory_count(const struct directory *directory)
{
    return directory->known;
}

size_t
directory_live_count(const struct directory *directory)
{
    return directory->live;
}

uint64_t
directory_version(const struct directory *directory)
{
    return directory->version;
}

static struct directory_view
view_of(const struct directory *directory, const struct entry *entry)
{
    return (struct directory_view){
        .instance = entry->instance,
        .zone = directory->zones.texts[entry->zone],
        .region = directory->regions.texts[entry->region],
        .service = directory->services.texts[entry->service],
        .incarnation = entry->incarnation,
        .version = entry->version,
        .first_seen_us = entry->first_seen_us,
        .longest_request_us = (int64_t)entry->longest_request_ms * US_PER_MS,
        .serve_after_us = (int64_t)entry->serve_after_ms * US_PER_MS,
        .lease_us = entry->lease_us,
        .renewal_max_us = (int64_t)entry->renewal_max_ms * US_PER_MS,
        .state = (enum member_state)entry->state,
        .slots = entry->slots,
        .wards = entry->wards,
        .checks_grants = entry->checks_grants,
    };
}

static void
copy_row(const struct directory *directory, const struct entry *entry,
         struct member *row)
{
    struct directory_view view = view_of(directory, entry);
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
    expand(directory, &entry->guardians, entry->guardian_count,
           &row->guardians);
    if (entry->outgoing != NULL) {
        expand(directory, entry->outgoing, entry->outgoing_count,
               &row->outgoing);
    }
}

bool
directory_find(const struct directory *directory, const char *instance,
               struct directory_view *view)
{
    const struct entry *entry = find_entry(directory, instance);
    if (entry == NULL || entry->version == 0) {
        return false;
    }
    *view = view_of(directory, entry);
    return true;
}

bool
directory_row(const struct directory *directory, const char *instance,
              struct member *row)
{
    const struct entry *entry = find_entry(directory, instance);
    if (entry == NULL || entry->version == 0) {
        return false;
    }
    copy_row(directory, entry, row);
    return true;
}

bool
directory_row_by_incarnation(const struct directory *directory,
                             uint64_t incarnation, struct member *row)
{
    for (size_t i = 0; i < directory->size; i++) {
        const struct entry *entry = &directory->entries[i];
        if (entry->version != 0 && entry->incarnation == incarnation) {
            copy_row(directory, entry, row);
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
directory_row_by_address(const struct directory *directory,
                         const struct address *address, struct member *row)
{
    struct endpoint endpoint = endpoint_from_address(address);
    for (size_t i = 0; i < directory->size; i++) {
        const struct entry *entry = &directory->entries[i];
        if (entry_is_live(entry) &&
            (endpoint_equal(&entry->rpc, &endpoint) ||
             endpoint_equal(&entry->http, &endpoint))) {
            copy_row(directory, entry, row);
            return true;
        }
    }
    return false;
}

bool
directory_rpc_address(const struct directory *directory,
                      const struct member_ref *ref, struct address *address)
{
    const struct entry *entry = find_entry(directory, ref->instance);
    if (entry == NULL || entry->version == 0 ||
        entry->incarnation != ref->incarnation) {
        return false;
    }
    *address = endpoint_to_address(&entry->rpc);
    return true;
}

static bool
filter_fits(const struct directory_filter *filter,
            const struct directory_view *view, bool live)
{
    return (filter->zone == NULL || strcmp(filter->zone, view->zone) == 0) &&
           (filter->service == NULL ||
            strcmp(filter->service, view->service) == 0) &&
           (!filter->live_only || live);
}

void
directory_visit(const struct directory *directory,
                const struct directory_filter *filter, directory_visitor visit,
                void *ctx)
{
    for (size_t i = 0; i < directory->size; i++) {
        const struct entry *entry = &directory->entries[i];
        if (entry->version == 0) {
            continue;
        }
        struct directory_view view = view_of(directory, entry);
        if (filter_fits(filter, &view, entry_is_live(entry))) {
            visit(ctx, &view);
        }
    }
}

bool
directory_at(const struct directory *directory, size_t position,
             struct directory_view *view)
{
    if (position >= directory->size ||
        directory->entries[position].version == 0) {
        return false;
    }
    *view = view_of(directory, &directory->entries[position]);
    return true;
}

size_t
directory_size(const struct directory *directory)
{
    return directory->size;
}

size_t
directory_memory(const struct directory *directory)
{
    size_t bytes = sizeof(*directory) +
                   directory->capacity * sizeof(*directory->entries) +
                   directory->index_size * sizeof(*directory->index) +
                   names_memory(&directory->zones) +
                   names_memory(&directory->regions) +
                   names_memory(&directory->services);
    for (size_t i = 0; i < directory->size; i++) {
        const struct entry *entry = &directory->entries[i];
        bytes += strlen(entry->instance) + 1;
        bytes += entry->outgoing == NULL ? 0 : sizeof(*entry->outgoing);
    }
    return bytes;
}
