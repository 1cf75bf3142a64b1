/**
 * @file
 * A socket address in 20 bytes, for large tables.
 */
#ifndef CHESTNUTGAP_MEMBERSHIP_ENDPOINT_H
#define CHESTNUTGAP_MEMBERSHIP_ENDPOINT_H

#include <stdint.h>

#include "base/address.h"

#define ENDPOINT_IP_SIZE 16

struct endpoint {
    uint8_t ip[ENDPOINT_IP_SIZE];
    uint16_t port;   /**< in host byte order */
    uint16_t family; /**< AF_INET, AF_INET6, or 0 for none */
};

struct endpoint endpoint_from_address(const struct address *address);

struct address endpoint_to_address(const struct endpoint *endpoint);

#endif
