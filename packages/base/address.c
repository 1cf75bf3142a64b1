#include "base/address.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>

#include <event2/util.h>

bool
address_parse(const char *text, struct address *address, struct error *err)
{
    memset(address, 0, sizeof(*address));
    int length = sizeof(address->storage);
    const bool has_port = strrchr(text, ':') != NULL;
    if (!has_port ||
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
    char a_text[ADDRESS_TEXT_SIZE];
    char b_text[ADDRESS_TEXT_SIZE];
    return strcmp(address_format(a, a_text), address_format(b, b_text)) == 0;
}
