#include "protocol/rpc_internal.h"

#include <errno.h>
#include <sys/socket.h>
#include <unistd.h>

#define DATAGRAMS_PER_WAKEUP_MAX 128  /* then other sockets are served */
#define RECEIVE_BUFFER_SIZE (1 << 20) /* bytes, SO_RCVBUF */

static void
datagram_on_readable(evutil_socket_t fd, short what, void *ctx)
{
    struct rpc_node *node = ctx;
    (void)what;
    /* One byte more than allowed, to detect an oversize message. */
    _Alignas(8) char data[RPC_DATAGRAM_MAX_BYTES + 1];
    for (int i = 0; i < DATAGRAMS_PER_WAKEUP_MAX; i++) {
        struct address peer = {.length = sizeof(peer.storage)};
        const ssize_t size =
            recvfrom(fd, data, sizeof(data), MSG_DONTWAIT,
                     (struct sockaddr *)&peer.storage, &peer.length);
        if (size < 0) {
            return;
        }
        if (size > RPC_DATAGRAM_MAX_BYTES) {
            node->counters.oversize_messages->value++;
            continue;
        }
        rpc_node_receive(node, NULL, &peer, data, (size_t)size);
    }
}

bool
rpc_datagram_open(struct rpc_node *node, struct error *err)
{
    char text[ADDRESS_TEXT_SIZE];
    const int family = node->address.storage.ss_family;
    const evutil_socket_t fd =
        socket(family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return error_set_system(err, "UDP socket");
    }
    const int receive_size = RECEIVE_BUFFER_SIZE;
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_size, sizeof(receive_size));
    if (bind(fd, (const struct sockaddr *)&node->address.storage,
             node->address.length) < 0) {
        error_set_system(err, "bind UDP %s",
                         address_format(&node->address, text));
        close(fd);
        return false;
    }
    node->datagram_event =
        event_new(runtime_event_base(node->runtime), fd, EV_READ | EV_PERSIST,
                  datagram_on_readable, node);
    if (node->datagram_event == NULL ||
        event_add(node->datagram_event, NULL) < 0) {
        close(fd);
        return error_set(err, ERROR_EVENT_LOOP, "UDP socket");
    }
    return true;
}

bool
rpc_datagram_send(struct rpc_node *node, const struct address *peer,
                  const void *data, size_t size)
{
    const evutil_socket_t fd = event_get_fd(node->datagram_event);
    const ssize_t sent =
        sendto(fd, data, size, MSG_DONTWAIT | MSG_NOSIGNAL,
               (const struct sockaddr *)&peer->storage, peer->length);
    if (sent != (ssize_t)size) {
        return false;
    }
    node->counters.bytes_sent->value += sent;
    return true;
}
