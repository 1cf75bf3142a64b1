#include "base/address.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>

#include <event2/util.h>

/** Works around evutil_parse_sockaddr_port(), which refuses port 0. */
static bool
parse_with_port_zero(const char *text, size_t text_length,
                     struct address *address)
{
    char ip[ADDRESS_TEXT_SIZE];
    if (text_length >= sizeof(ip)) {
        return false;
    }
    memcpy(ip, text, text_length);
    ip[text_length] = '\0';
    int length = sizeof(address->storage);
    if (evutil_parse_sockaddr_port(ip, (struct sockaddr *)&address->storage,
                                   &length) != 0) {
        return false;
    }
    address->length = (socklen_t)length;
    return true;
}

bool
address_parse(const char *text, struct address *address, struct error *err)
{
    memset(address, 0, sizeof(*address));
    int length = sizeof(address->storage);
    const char *colon = strrchr(text, ':');
    if (colon != NULL && strcmp(colon, ":0") == 0 &&
        parse_with_port_zero(text, (size_t)(colon - text), address)) {
        return true;
    }
    if (colon == NULL ||
        evutil_parse_sockaddr_port(text, (struct sockaddr *)&address->storage,
                                   &length) != 0) {
        return error_set(err, ERROR_ADDRESS, "%s", text);
    }
    address->length = (socklen_t)length;
    return true;
}

const char *
address_format(const struct address *address, char buffer[ADDRESS_TEXT_SIZE])
{
    char ip[INET6_ADDRSTRLEN] = "";
    if (address->storage.ss_family == AF_INET6) {
        const struct sockaddr_in6 *in6 = (const void *)&address->storage;
        inet_ntop(AF_INET6, &in6->sin6_addr, ip, sizeof(ip));
        snprintf(buffer, ADDRESS_TEXT_SIZE, "[%s]:%u", ip,
                 address_port(address));
        return buffer;
    }
    const struct sockaddr_in *in = (const void *)&address->storage;
    inet_ntop(AF_INET, &in->sin_addr, ip, sizeof(ip));
    snprintf(buffer, ADDRESS_TEXT_SIZE, "%s:%u", ip, address_port(address));
    return buffer;
}

uint16_t
address_port(const struct address *address)
{
    if (address->storage.ss_family == AF_INET6) {
        const struct sockaddr_in6 *in6 = (const void *)&address->storage;
        return ntohs(in6->sin6_port);
    }
    const struct sockaddr_in *in = (const void *)&address->storage;
    return ntohs(in->sin_port);
}

bool
address_equal(const struct address *a, const struct address *b)
{
    if (a->storage.ss_family != b->storage.ss_family ||
        address_port(a) != address_port(b)) {
        return false;
    }
    if (a->storage.ss_family == AF_INET6) {
        const struct sockaddr_in6 *a6 = (const void *)&a->storage;
        const struct sockaddr_in6 *b6 = (const void *)&b->storage;
        return memcmp(&a6->sin6_addr, &b6->sin6_addr, sizeof(a6->sin6_addr)) ==
               0;
    }
    const struct sockaddr_in *a4 = (const void *)&a->storage;
    const struct sockaddr_in *b4 = (const void *)&b->storage;
    return a4->sin_addr.s_addr == b4->sin_addr.s_addr;
}
