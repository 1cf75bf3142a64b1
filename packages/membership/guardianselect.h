/**
 * @file
 * Selection of the guardians of a lease: in the holder's region, two in other
 * zones and one in its own if possible, preferring members that guard few
 * holders.
 */
#ifndef CHESTNUTGAP_MEMBERSHIP_GUARDIANSELECT_H
#define CHESTNUTGAP_MEMBERSHIP_GUARDIANSELECT_H

#include <stddef.h>

#include "membership/member.h"
#include "membership/membertable.h"

/**
 * Adds guardians to chosen until it has MEMBER_GUARDIANS_MAX or there are no
 * more members. The result depends only on the arguments. Members to avoid
 * are added last.
 */
void guardianselect_add(const struct membertable *table,
                        const struct member *holder,
                        const struct member_ref *avoid, size_t avoid_count,
                        struct guardian_set *chosen);

#endif
