/**
 * @file
 * Numbers for table of which there are few, such as those of zones.
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

/** Number of the text, which is added if it is new. */
uint16_t stringtable_intern(struct stringtable *table, const char *text);

size_t stringtable_memory(const struct stringtable *table);

#endif
