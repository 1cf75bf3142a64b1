/**
 * @file
 * Numbers for names of which there are few, such as those of zones.
 */
#ifndef CHESTNUTGAP_MEMBERSHIP_NAMES_H
#define CHESTNUTGAP_MEMBERSHIP_NAMES_H

#include <stddef.h>
#include <stdint.h>

struct names {
    char **texts;
    size_t count;
};

void names_clear(struct names *names);

/** Number of the text, which is added if it is new. */
uint16_t names_number(struct names *names, const char *text);

size_t names_memory(const struct names *names);

#endif
