/**
 * @file
 * Choice of the guardians of a lease: in the holder's region, two in other
 * zones and one in its own where there are such, and among members that
 * guard few.
 */
#ifndef CHESTNUTGAP_MEMBERSHIP_CHOICE_H
#define CHESTNUTGAP_MEMBERSHIP_CHOICE_H

#include <stddef.h>

#include "membership/directory.h"
#include "membership/member.h"

/**
 * Adds guardians to chosen until there are MEMBER_GUARDIANS_MAX or no more
 * members. The choice depends only on the arguments. Members to avoid are
 * taken last.
 */
void choice_add_guardians(const struct directory *directory,
                          const struct member *holder,
                          const struct member_ref *avoid, size_t avoid_count,
                          struct guardian_set *chosen);

#endif
