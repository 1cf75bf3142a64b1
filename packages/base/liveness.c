#include "base/liveness.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

void
liveness_set(int fd, const struct liveness *liveness)
{
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &liveness->silence_s,
               sizeof(liveness->silence_s));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &liveness->silence_s,
               sizeof(liveness->silence_s));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &liveness->probes,
               sizeof(liveness->probes));
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &liveness->unacknowledged_ms,
               sizeof(liveness->unacknowledged_ms));
}
