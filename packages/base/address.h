/**
 * @file
 * IPv4 and IPv6 socket addresses as text "IP:PORT" or "[IP6]:PORT".
 */
#ifndef CHESTNUTGAP_BASE_ADDRESS_H
#define CHESTNUTGAP_BASE_ADDRESS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/socket.h>

#include "base/error.h"

#define ADDRESS_TEXT_SIZE 64 /* bytes, including the terminator */

/** A numeric IP socket address. */
struct address {
    struct sockaddr_storage storage;
    socklen_t length;
};

/** Accepts port 0. Fails with ERROR_ADDRESS and text as the subject. */
bool address_parse(const char *text, struct address *address,
                   struct error *err);

/** @return buffer */
const char *address_format(const struct address *address,
                           char buffer[ADDRESS_TEXT_SIZE]);

uint16_t address_port(const struct address *address);

bool address_equal(const struct address *a, const struct address *b);

#endif
