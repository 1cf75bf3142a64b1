/**
 * @file
 * String interning for few distinct strings, such as names of zones.
 */
#ifndef CHESTNUTGAP_MEMBERSHIP_STRINGTABLE_H
#define CHESTNUTGAP_MEMBERSHIP_STRINGTABLE_H

#include <stddef.h>
#include <stdint.h>

struct stringtable {
    char **texts;
    size_t count;
};

void stringtable_clear(struct stringtable *table);

/** Index of the text in texts, to which it is added if it is new. */
uint16_t stringtable_intern(struct stringtable *table, const char *text);

size_t stringtable_memory(const struct stringtable *table);

#endif
