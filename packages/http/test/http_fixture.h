/**
 * @file
 * An HTTP server and a client on loopback, for tests.
 */
#ifndef CHESTNUTGAP_HTTP_TEST_HTTP_FIXTURE_H
#define CHESTNUTGAP_HTTP_TEST_HTTP_FIXTURE_H

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <string>
#include <vector>

extern "C" {
#include "base/counter.h"
#include "base/runtime.h"
#include "http/httpclient.h"
#include "http/httpserver.h"
}

/* More than any test opens at once: the kernel repeats an attempt to connect
 * that does not fit only after 1 s, when it may have timed out. */
constexpr int CONNECTIONS_WAITING_MAX = 128;

inline std::string
Pattern(size_t size)
{
    std::string text(size, '\0');
    for (size_t i = 0; i < size; i++) {
        text[i] = static_cast<char>(i * 2654435761U >> 23);
    }
    return text;
}

class HttpTest : public ::testing::Test {
  protected:
    void SetUp() override
    {
        runtime = runtime_create(nullptr);
        counters = counter_registry_create();
        StartServer({});
    }

    void TearDown() override
    {
        http_client_destroy(client);
        http_server_destroy(server);
        for (const int fd : sockets) {
            close(fd);
        }
        counter_registry_destroy(counters);
        runtime_destroy(runtime);
    }

    void StartServer(struct http_server_config config)
    {
        http_client_destroy(client);
        client = nullptr;
        http_server_destroy(server);
        address_parse("127.0.0.1:0", &config.address, nullptr);
        config.handle = OnRequest;
        config.cancelled = OnCancelled;
        config.ctx = this;
        server = http_server_create(runtime, &config, counters, nullptr);
        ASSERT_NE(nullptr, server);
        StartClient(*http_server_address(server), 4);
    }

    void StartClient(const struct address &address, unsigned connections)
    {
        http_client_destroy(client);
        struct http_client_config config = {};
        config.address = address;
        config.connections_max = connections;
        client = http_client_create(runtime, &config, counters);
    }

    /** A listening socket; the test acts as the server. */
    struct address Listen()
    {
        struct address address;
        address_parse("127.0.0.1:0", &address, nullptr);
        const int fd = socket(AF_INET, SOCK_STREAM, 0);
        auto *sa = reinterpret_cast<struct sockaddr *>(&address.storage);
        EXPECT_EQ(0, bind(fd, sa, address.length));
        EXPECT_EQ(0, listen(fd, CONNECTIONS_WAITING_MAX));
        getsockname(fd, sa, &address.length);
        sockets.push_back(fd);
        return address;
    }

    /** Accepts a connection and reads until the data ends with `end`. */
    int AcceptRequest(const std::string &end = "\r\n\r\n")
    {
        Until([&] { return false; }, 20);
        const int fd = accept(sockets[0], nullptr, nullptr);
        sockets.push_back(fd);
        std::string received;
        char buffer[65536];
        while (received.size() < end.size() ||
               received.substr(received.size() - end.size()) != end) {
            const ssize_t size = recv(fd, buffer, sizeof(buffer), 0);
            if (size <= 0) {
                break;
            }
            received.append(buffer, static_cast<size_t>(size));
        }
        return fd;
    }

    int ConnectRaw(const std::string &text)
    {
        const struct address *address = http_server_address(server);
        const int fd = socket(AF_INET, SOCK_STREAM, 0);
        sockets.push_back(fd);
        EXPECT_EQ(0, connect(fd,
                             reinterpret_cast<const struct sockaddr *>(
                                 &address->storage),
                             address->length));
        EXPECT_EQ(static_cast<ssize_t>(text.size()),
                  send(fd, text.data(), text.size(), MSG_NOSIGNAL));
        return fd;
    }

    /** Data from the server until it contains `want` or the server closes. */
    std::string ReadRaw(int fd, const std::string &want)
    {
        std::string received;
        Until([&] {
            char buffer[65536];
            const ssize_t size =
                recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT);
            if (size > 0) {
                received.append(buffer, static_cast<size_t>(size));
            }
            return size == 0 || received.find(want) != std::string::npos;
        });
        return received;
    }

    static void OnRequest(void *ctx, struct http_request *request)
    {
        auto *test = static_cast<HttpTest *>(ctx);
        const std::string path = http_request_path(request);
        if (path == "/hold") {
            test->held.push_back(request);
            return;
        }
        Echo(request);
    }

    static void Echo(struct http_request *request)
    {
        size_t size;
        struct http_reply reply = {};
        reply.status = 200;
        reply.body = http_request_body(request, &size);
        reply.body_size = size;
        const struct http_header header = {"X-Path",
                                           http_request_path(request)};
        reply.headers = &header;
        reply.header_count = 1;
        http_request_reply(request, &reply);
    }

    static void OnCancelled(void *ctx, struct http_request *request)
    {
        static_cast<HttpTest *>(ctx)->cancelled++;
        (void)request;
    }

    struct Result {
        enum http_outcome outcome;
        unsigned status;
        std::string body;
        std::string path;
    };

    static void OnDone(void *ctx, const struct http_result *result)
    {
        auto *test = static_cast<HttpTest *>(ctx);
        Result r = {result->outcome, result->status, "", ""};
        if (result->outcome == HTTP_ANSWERED) {
            r.body.assign(static_cast<const char *>(result->body),
                          result->body_size);
            const char *path = http_headers_find(result->headers, "X-Path");
            r.path = path != nullptr ? path : "";
        }
        test->results.push_back(r);
    }

    struct http_call *Call(const char *method, const std::string &target,
                           const std::string &body = "",
                           int64_t timeout_us = 5 * US_PER_SECOND)
    {
        struct http_call_spec spec = {};
        spec.method = method;
        spec.target = target.c_str();
        spec.body = body.data();
        spec.body_size = body.size();
        spec.deadline_us = runtime_now_us(runtime) + timeout_us;
        spec.may_send = MaySend;
        spec.done = OnDone;
        spec.ctx = this;
        return http_call_start(client, &spec);
    }

    static bool MaySend(void *ctx)
    {
        auto *test = static_cast<HttpTest *>(ctx);
        test->may_send_calls++;
        return !test->refuse_send;
    }

    /** Runs the loop until the condition holds or the time is over. */
    bool Until(const std::function<bool()> &condition, int64_t ms = 10000)
    {
        const int64_t end_us = runtime_now_us(runtime) + ms * US_PER_MS;
        while (!condition() && runtime_now_us(runtime) < end_us) {
            struct timer wake;
            timer_init(
                &wake, runtime,
                [](void *ctx) {
                    runtime_stop(static_cast<struct runtime *>(ctx));
                },
                runtime);
            timer_start(&wake, US_PER_MS);
            runtime_run(runtime);
            timer_stop(&wake);
        }
        return condition();
    }

    bool Results(size_t count)
    {
        return Until([&] { return results.size() >= count; });
    }

    int64_t Count(const char *name)
    {
        return counter_add(counters, name, "")->value;
    }

    struct runtime *runtime = nullptr;
    struct counter_registry *counters = nullptr;
    struct http_server *server = nullptr;
    struct http_client *client = nullptr;
    std::vector<struct http_request *> held;
    std::vector<Result> results;
    std::vector<int> sockets;
    int cancelled = 0;
    int may_send_calls = 0;
    bool refuse_send = false;
};

#endif
