/**
 * @file
 * The announcement by which a target makes itself known, as JSON.
 */
#ifndef CHESTNUTGAP_TARGET_ANNOUNCEMENT_H
#define CHESTNUTGAP_TARGET_ANNOUNCEMENT_H

#include <stdbool.h>
#include <stddef.h>

#include "base/address.h"
#include "base/error.h"

#define TARGET_NAME_MAX 63     /* bytes of a service or incarnation */
#define TARGET_SLOTS_MAX 65536 /* requests at once */
#define TARGET_CONNECTIONS_MAX 65536

/** What a target says about itself. */
struct announcement {
    char service[TARGET_NAME_MAX + 1];
    struct address address;                /**< where it serves HTTP */
    char incarnation[TARGET_NAME_MAX + 1]; /**< new at each start */
    unsigned slots;                        /**< requests it runs at once */
    unsigned connections;                  /**< most connections to it */
    bool checks_grants; /**< refuses requests of a former owner itself */
    bool cold;          /**< bears only a little at present */
};

/** Parses {"service", "address", "incarnation", "slots", "connections",
 * "checks_grants", "cold"}. All but the last two are required. */
bool announcement_parse(const void *text, size_t size,
                        struct announcement *announcement, struct error *err);

/** True if all fields are the same. */
bool announcement_equal(const struct announcement *a,
                        const struct announcement *b);

#endif
