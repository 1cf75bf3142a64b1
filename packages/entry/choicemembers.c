#include "entry/choice.h"

#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "entry/choice_internal.h"

#define LIMIT_DEFAULT 1

struct choice *
choice_create(const char *zone, struct random_state *random)
{
    struct choice *choice = calloc(1, sizeof(*choice));
    if (choice == NULL) {
        return NULL;
    }
    strncpy(choice->zone, zone, sizeof(choice->zone) - 1);
    choice->random = random;
    choice->baseline_us = CHOICE_LATENCY_DEFAULT_US;
    choice->baseline_computed_us = INT64_MIN / 2;
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
choice_find_member(const struct choice *choice, const char *name)
{
    for (uint32_t i = 0; i < choice->count; i++) {
        const struct choice_member *member = &choice->members[i];
        if (member->used && !member->removed &&
            strcmp(member->name, name) == 0) {
            return i;
        }
    }
    return CHOICE_NO_MEMBER;
}

const char *
choice_member_name(const struct choice *choice, uint32_t number)
{
    const struct choice_member *member = choice_member(choice, number);
    return member == NULL ? NULL : member->name;
}

uint32_t
choice_member_end(const struct choice *choice)
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
        if (!member->used || member->removed || member->excluded) {
            continue;
        }
        struct choice_candidates *set =
            member->local ? &choice->local : &choice->remote;
        set->members[set->count++] = i;
    }
}

/* Links of attempts point into the array, so the lists move with it. */
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
        TAILQ_INIT(&members[i].attempts);
        TAILQ_CONCAT(&members[i].attempts, &choice->members[i].attempts, link);
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
choice_allocate_number(struct choice *choice)
{
    for (uint32_t i = 0; i < choice->count; i++) {
        if (!choice->members[i].used) {
            return i;
        }
    }
    if (choice->count == choice->capacity && !choice_grow(choice)) {
        return CHOICE_NO_MEMBER;
    }
    return choice->count++;
}

uint32_t
choice_add(struct choice *choice, const char *name, const char *zone)
{
    uint32_t number = choice_find_member(choice, name);
    if (number == CHOICE_NO_MEMBER) {
        number = choice_allocate_number(choice);
        if (number == CHOICE_NO_MEMBER) {
            return CHOICE_NO_MEMBER;
        }
        struct choice_member *member = &choice->members[number];
        *member = (struct choice_member){
            .used = true,
            .name_hash = hash_string(name),
            .limit = LIMIT_DEFAULT,
            .cold = true,
            .probe_delay_us = CHOICE_PROBE_DELAY_MIN_US,
            .attempt_limit = CHOICE_ATTEMPTS_UNLIMITED,
        };
        strncpy(member->name, name, sizeof(member->name) - 1);
        TAILQ_INIT(&member->attempts);
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
    const uint32_t number = choice_find_member(choice, name);
    if (number == CHOICE_NO_MEMBER) {
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
choice_set_excluded(struct choice *choice, uint32_t number, bool excluded)
{
    struct choice_member *member = choice_member(choice, number);
    if (member != NULL && member->excluded != excluded) {
        member->excluded = excluded;
        member->draining_until_us = 0;
        choice_rebuild_sets(choice);
    }
}

bool
choice_get_member_info(const struct choice *choice, uint32_t number,
                       int64_t now_us, struct choice_member_info *info)
{
    const struct choice_member *member = choice_member(choice, number);
    if (member == NULL) {
        return false;
    }
    *info = (struct choice_member_info){
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
