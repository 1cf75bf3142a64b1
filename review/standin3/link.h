/*
 * A proxy in front of a server. It can have the server drop idle connections
 * without notice: what is sent next on one of them is reset.
 */
#ifndef CHESTNUTGAP_REVIEW_LINK_H
#define CHESTNUTGAP_REVIEW_LINK_H

#include <sys/socket.h>

#include <memory>
#include <vector>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include "standin.h"

namespace scene {

class Link {
  public:
    Link(standin::TestLoop &loop, const struct address &to)
        : address(standin::FreeAddress()), loop_(loop), to_(to)
    {
        Open();
    }

    ~Link()
    {
        Close();
        for (const auto &pair : pairs_) {
            Free(*pair);
        }
    }

    void Open()
    {
        if (listener_ == nullptr) {
            listener_ = evconnlistener_new_bind(
                runtime_event_base(loop_.runtime), OnAccept, this,
                LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 128,
                reinterpret_cast<struct sockaddr *>(&address.storage),
                static_cast<int>(address.length));
        }
    }

    /** New connections are refused, as by a host on which nobody listens. */
    void Close()
    {
        if (listener_ != nullptr) {
            evconnlistener_free(listener_);
            listener_ = nullptr;
        }
    }

    /** Drops the connections that were idle for so long, without notice.
     * @return their number */
    size_t Forget(int64_t idle_ms)
    {
        const int64_t before_us =
            runtime_now_us(loop_.runtime) - idle_ms * standin::MS;
        size_t count = 0;
        for (const auto &pair : pairs_) {
            if (pair->ends[0] != nullptr && pair->ends[1] != nullptr &&
                pair->used_us < before_us && !pair->waits) {
                bufferevent_free(pair->ends[1]);
                pair->ends[1] = nullptr;
                pair->forgotten = true;
                count++;
            }
        }
        return count;
    }

    struct address address;

  private:
    struct Pair {
        Link *link;
        struct bufferevent *ends[2]; /* 0: of the caller, 1: of the server */
        bool forgotten = false;      /* by the server */
        bool waits = false;          /* for an answer of the server */
        int64_t used_us = 0;
    };

    static void Free(Pair &pair)
    {
        for (struct bufferevent *&end : pair.ends) {
            if (end != nullptr) {
                bufferevent_free(end);
                end = nullptr;
            }
        }
    }

    static void OnAccept(struct evconnlistener *, evutil_socket_t fd,
                         struct sockaddr *, int, void *ctx)
    {
        auto *link = static_cast<Link *>(ctx);
        struct event_base *base = runtime_event_base(link->loop_.runtime);
        auto pair = std::make_unique<Pair>();
        pair->link = link;
        pair->ends[0] =
            bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE);
        pair->ends[1] =
            bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
        for (struct bufferevent *end : pair->ends) {
            bufferevent_setcb(end, OnRead, nullptr, OnEvent, pair.get());
            bufferevent_enable(end, EV_READ | EV_WRITE);
        }
        bufferevent_socket_connect(
            pair->ends[1],
            reinterpret_cast<struct sockaddr *>(&link->to_.storage),
            static_cast<int>(link->to_.length));
        link->pairs_.push_back(std::move(pair));
    }

    static void Reset(Pair &pair)
    {
        const struct linger at_once = {1, 0};
        setsockopt(bufferevent_getfd(pair.ends[0]), SOL_SOCKET, SO_LINGER,
                   &at_once, sizeof(at_once));
        Free(pair);
    }

    static void OnRead(struct bufferevent *from, void *ctx)
    {
        auto *pair = static_cast<Pair *>(ctx);
        const bool by_caller = from == pair->ends[0];
        struct bufferevent *to = pair->ends[by_caller ? 1 : 0];
        if (evbuffer_get_length(bufferevent_get_input(from)) == 0) {
            return;
        }
        if (pair->forgotten) {
            Reset(*pair);
            return;
        }
        pair->waits = by_caller;
        pair->used_us = runtime_now_us(pair->link->loop_.runtime);
        if (to != nullptr) {
            bufferevent_write_buffer(to, bufferevent_get_input(from));
        }
    }

    /** One end has closed: the other does so once it has sent the rest. */
    static void OnEvent(struct bufferevent *from, short what, void *ctx)
    {
        auto *pair = static_cast<Pair *>(ctx);
        if ((what & BEV_EVENT_CONNECTED) != 0) {
            return;
        }
        if (pair->forgotten) {
            Free(*pair);
            return;
        }
        OnRead(from, ctx);
        struct bufferevent *&ended =
            from == pair->ends[0] ? pair->ends[0] : pair->ends[1];
        struct bufferevent *other =
            from == pair->ends[0] ? pair->ends[1] : pair->ends[0];
        bufferevent_free(ended);
        ended = nullptr;
        if (other == nullptr ||
            evbuffer_get_length(bufferevent_get_output(other)) == 0) {
            Free(*pair);
            return;
        }
        bufferevent_disable(other, EV_READ);
        bufferevent_setcb(other, nullptr, OnSent, OnEvent, ctx);
    }

    static void OnSent(struct bufferevent *, void *ctx)
    {
        Free(*static_cast<Pair *>(ctx));
    }

    standin::TestLoop &loop_;
    struct address to_;
    struct evconnlistener *listener_ = nullptr;
    std::vector<std::unique_ptr<Pair>> pairs_;
};

} // namespace scene

#endif
