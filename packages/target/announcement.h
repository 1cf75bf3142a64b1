/**
 * @file
 * The announcement of a target, as JSON.
 */
#ifndef CHESTNUTGAP_TARGET_ANNOUNCEMENT_H
#define CHESTNUTGAP_TARGET_ANNOUNCEMENT_H

#include <stdbool.h>
#include <stddef.h>

#include "base/address.h"
#include "base/error.h"

#define TARGET_NAME_MAX 63     /* bytes of a service or incarnation */
#define TARGET_SLOTS_MAX 65536 /* concurrent requests */
#define TARGET_CONNECTIONS_MAX 65536

/** Registration and capacity that a target reports about itself. */
struct announcement {
    char service[TARGET_NAME_MAX + 1];
    struct address address;                /**< of its HTTP server */
    char incarnation[TARGET_NAME_MAX + 1]; /**< new at each start */
    unsigned slots;       /**< maximum of concurrent requests */
    unsigned connections; /**< maximum of connections to it */
    bool checks_grants;   /**< itself refuses requests of a former owner */
    bool cold;            /**< capacity is reduced at present */
};

/** Parses {"service", "address", "incarnation", "slots", "connections",
 * "checks_grants", "cold"}. All but the last two are required. */
bool announcement_parse(const void *text, size_t size,
                        struct announcement *announcement, struct error *err);

/** True if all fields are the same. */
bool announcement_equal(const struct announcement *a,
                        const struct announcement *b);

#endif
