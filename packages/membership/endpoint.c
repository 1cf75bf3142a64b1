#include "membership/endpoint.h"

#include <netinet/in.h>
#include <string.h>

struct endpoint
endpoint_from_address(const struct address *address)
{
    struct endpoint endpoint = {.family = address->storage.ss_family};
    if (endpoint.family == AF_INET) {
        const struct sockaddr_in *in = (const void *)&address->storage;
        memcpy(endpoint.ip, &in->sin_addr, sizeof(in->sin_addr));
    }
    else if (endpoint.family == AF_INET6) {
        const struct sockaddr_in6 *in6 = (const void *)&address->storage;
        memcpy(endpoint.ip, &in6->sin6_addr, sizeof(in6->sin6_addr));
    }
    endpoint.port = endpoint.family == 0 ? 0 : address_port(address);
    return endpoint;
}

struct address
endpoint_to_address(const struct endpoint *endpoint)
{
    struct address address;
    memset(&address, 0, sizeof(address));
    address.storage.ss_family = endpoint->family;
    if (endpoint->family == AF_INET) {
        struct sockaddr_in *in = (void *)&address.storage;
        memcpy(&in->sin_addr, endpoint->ip, sizeof(in->sin_addr));
        in->sin_port = htons(endpoint->port);
        address.length = sizeof(*in);
    }
    else if (endpoint->family == AF_INET6) {
        struct sockaddr_in6 *in6 = (void *)&address.storage;
        memcpy(&in6->sin6_addr, endpoint->ip, sizeof(in6->sin6_addr));
        in6->sin6_port = htons(endpoint->port);
        address.length = sizeof(*in6);
    }
    return address;
}
