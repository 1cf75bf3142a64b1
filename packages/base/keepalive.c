#include "base/keepalive.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

void
keepalive_set(int fd, const struct keepalive *keepalive)
{
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &keepalive->probe_interval_s,
               sizeof(keepalive->probe_interval_s));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &keepalive->probe_interval_s,
               sizeof(keepalive->probe_interval_s));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &keepalive->probes,
               sizeof(keepalive->probes));
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &keepalive->user_timeout_ms,
               sizeof(keepalive->user_timeout_ms));
}
