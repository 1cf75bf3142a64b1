#include "entry/choice.h"

#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "entry/choice_internal.h"

#define LIMIT_UNKNOWN 1

struct choice *
choice_create(const char *zone, struct random_state *random)
{
    struct choice *choice = calloc(1, sizeof(*choice));
    if (choice == NULL) {
        return NULL;
    }
    strncpy(choice->zone, zone, sizeof(choice->zone) - 1);
    choice->random = random;
    choice->reference_us = CHOICE_LATENCY_DEFAULT_US;
    choice->reference_at_us = INT64_MIN / 2;
    return choice;
}

void
choice_destroy(struct choice *choice)
{
    if (choice != NULL) {
        free(choice->members);
        free(choice->local.members);
        free(choice->remote.members);
        free(choice);
    }
}

struct choice_member *
choice_member(const struct choice *choice, uint32_t number)
{
    if (number >= choice->count || !choice->members[number].used) {
        return NULL;
    }
    return &choice->members[number];
}

uint32_t
choice_find(const struct choice *choice, const char *name)
{
    for (uint32_t i = 0; i < choice->count; i++) {
        const struct choice_member *member = &choice->members[i];
        if (member->used && !member->removed &&
            strcmp(member->name, name) == 0) {
            return i;
        }
    }
    return CHOICE_NONE;
}

const char *
choice_name(const struct choice *choice, uint32_t number)
{
    const struct choice_member *member = choice_member(choice, number);
    return member == NULL ? NULL : member->name;
}

uint32_t
choice_end_of_members(const struct choice *choice)
{
    return choice->count;
}

static void
choice_rebuild_sets(struct choice *choice)
{
    choice->local.count = 0;
    choice->remote.count = 0;
    for (uint32_t i = 0; i < choice->count; i++) {
        const struct choice_member *member = &choice->members[i];
        if (!member->used || member->removed || member->out) {
            continue;
        }
        struct choice_set *set =
            member->local ? &choice->local : &choice->remote;
        set->members[set->count++] = i;
    }
}

/* The lists of tries point into the array, so they are moved with it. */
static bool
choice_grow(struct choice *choice)
{
    const uint32_t capacity = choice->capacity > 0 ? choice->capacity * 2 : 8;
    struct choice_member *members = calloc(capacity, sizeof(members[0]));
    uint32_t *local = calloc(capacity, sizeof(local[0]));
    uint32_t *remote = calloc(capacity, sizeof(remote[0]));
    if (members == NULL || local == NULL || remote == NULL) {
        free(members);
        free(local);
        free(remote);
        return false;
    }
    for (uint32_t i = 0; i < choice->count; i++) {
        members[i] = choice->members[i];
        TAILQ_INIT(&members[i].tries);
        TAILQ_CONCAT(&members[i].tries, &choice->members[i].tries, link);
    }
    free(choice->members);
    free(choice->local.members);
    free(choice->remote.members);
    choice->members = members;
    choice->local.members = local;
    choice->remote.members = remote;
    choice->capacity = capacity;
    return true;
}

static uint32_t
choice_free_number(struct choice *choice)
{
    for (uint32_t i = 0; i < choice->count; i++) {
        if (!choice->members[i].used) {
            return i;
        }
    }
    if (choice->count == choice->capacity && !choice_grow(choice)) {
        return CHOICE_NONE;
    }
    return choice->count++;
}

uint32_t
choice_add(struct choice *choice, const char *name, const char *zone)
{
    uint32_t number = choice_find(choice, name);
    if (number == CHOICE_NONE) {
        number = choice_free_number(choice);
        if (number == CHOICE_NONE) {
            return CHOICE_NONE;
        }
        struct choice_member *member = &choice->members[number];
        *member = (struct choice_member){
            .used = true,
            .name_hash = hash_string(name),
            .limit = LIMIT_UNKNOWN,
            .cold = true,
            .test_delay_us = CHOICE_TEST_DELAY_MIN_US,
            .allowance = CHOICE_ALLOWANCE_NONE,
        };
        strncpy(member->name, name, sizeof(member->name) - 1);
        TAILQ_INIT(&member->tries);
    }
    choice->members[number].local = strcmp(zone, choice->zone) == 0;
    choice_rebuild_sets(choice);
    return number;
}

void
choice_set_suspended(struct choice *choice, struct choice_member *member,
                     bool suspended)
{
    if (member->suspended != suspended) {
        member->suspended = suspended;
        choice->suspended_count += suspended ? 1 : SIZE_MAX;
    }
}

void
choice_free_member(struct choice *choice, struct choice_member *member)
{
    choice_set_suspended(choice, member, false);
    member->used = false;
}

void
choice_remove(struct choice *choice, const char *name)
{
    const uint32_t number = choice_find(choice, name);
    if (number == CHOICE_NONE) {
        return;
    }
    struct choice_member *member = &choice->members[number];
    member->removed = true;
    if (member->outstanding == 0) {
        choice_free_member(choice, member);
    }
    choice_rebuild_sets(choice);
}

void
choice_set_out(struct choice *choice, uint32_t number, bool out)
{
    struct choice_member *member = choice_member(choice, number);
    if (member != NULL && member->out != out) {
        member->out = out;
        member->draining_until_us = 0;
        choice_rebuild_sets(choice);
    }
}

bool
choice_look(const struct choice *choice, uint32_t number, int64_t now_us,
            struct choice_view *view)
{
    const struct choice_member *member = choice_member(choice, number);
    if (member == NULL) {
        return false;
    }
    *view = (struct choice_view){
        .name = member->name,
        .outstanding = member->outstanding,
        .latency_us = (int64_t)member->latency_us,
        .limit = member->limit,
        .suspended = member->suspended,
        .cold = member->cold,
        .draining = now_us < member->draining_until_us,
    };
    return true;
}
