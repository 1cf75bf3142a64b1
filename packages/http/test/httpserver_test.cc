#include "http_fixture.h"

extern "C" {
#include "base/random.h"
}

namespace {

TEST_F(HttpTest, DisconnectedCallerIsReported)
{
    const int fd = ConnectRaw("GET /hold HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_TRUE(Until([&] { return held.size() == 1; }));
    close(fd);
    sockets.pop_back();
    ASSERT_TRUE(Until([&] { return cancelled == 1; }));
    EXPECT_STREQ("/hold", http_request_path(held[0]));
    Echo(held[0]);
}

TEST_F(HttpTest, PipelinedRequestsAreAnsweredInOrder)
{
    const int fd = ConnectRaw("GET /hold HTTP/1.1\r\n\r\n"
                              "GET /2 HTTP/1.1\r\n\r\n");
    ASSERT_TRUE(Until([&] { return held.size() == 1; }));
    Echo(held[0]);
    const std::string received = ReadRaw(fd, "X-Path: /2");
    EXPECT_LT(received.find("X-Path: /hold"), received.find("X-Path: /2"));
}

TEST_F(HttpTest, MalformedAndOversizeRequestsGetAnErrorAnswer)
{
    EXPECT_NE(std::string::npos,
              ReadRaw(ConnectRaw("\x01\x02 nonsense\r\n\r\n"), "\"status\"")
                  .find("400"));
    EXPECT_NE(std::string::npos,
              ReadRaw(ConnectRaw("POST / HTTP/1.1\r\nContent-Length: "
                                 "99999999999\r\n\r\nxxxx"),
                      "\"status\"")
                  .find("413"));
    EXPECT_NE(
        std::string::npos,
        ReadRaw(ConnectRaw("GET /" + std::string(70000, 'a')), "\"status\"")
            .find("431"));
}

TEST_F(HttpTest, ContinueIsSentToACallerThatExpectsIt)
{
    const int fd = ConnectRaw("POST /c HTTP/1.1\r\nExpect: 100-continue\r\n"
                              "Content-Length: 2\r\n\r\n");
    EXPECT_EQ("HTTP/1.1 100 Continue\r\n\r\n",
              ReadRaw(fd, "Continue\r\n\r\n"));
    send(fd, "ok", 2, MSG_NOSIGNAL);
    EXPECT_NE(std::string::npos, ReadRaw(fd, "\r\n\r\nok").find("200 OK"));
}

TEST_F(HttpTest, StopAnswersOpenRequestsAndThenCloses)
{
    const int fd = ConnectRaw("GET /hold HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_TRUE(Until([&] { return held.size() == 1; }));
    bool stopped = false;
    http_server_stop(
        server, [](void *ctx) { *static_cast<bool *>(ctx) = true; }, &stopped);
    Until([] { return false; }, 20);
    EXPECT_FALSE(stopped);
    Echo(held[0]);
    const std::string received = ReadRaw(fd, "\r\n\r\n");
    EXPECT_NE(std::string::npos, received.find("Connection: close"));
    close(fd);
    sockets.pop_back();
    EXPECT_TRUE(Until([&] { return stopped; }));
}

TEST_F(HttpTest, StopStillAnswersARequestInTransit)
{
    const int fd = ConnectRaw("GET /1 HTTP/1.1\r\n\r\n");
    EXPECT_NE(std::string::npos, ReadRaw(fd, "\r\n\r\n").find("X-Path: /1"));
    bool stopped = false;
    http_server_stop(
        server, [](void *ctx) { *static_cast<bool *>(ctx) = true; }, &stopped);
    Until([] { return false; }, 20);
    const std::string late = "GET /2 HTTP/1.1\r\n\r\n";
    send(fd, late.data(), late.size(), MSG_NOSIGNAL);
    const std::string received = ReadRaw(fd, "\r\n\r\n");
    EXPECT_NE(std::string::npos, received.find("X-Path: /2"));
    EXPECT_NE(std::string::npos, received.find("Connection: close"));
    close(fd);
    sockets.pop_back();
    EXPECT_TRUE(Until([&] { return stopped; }));
}

TEST_F(HttpTest, SlowCallersAreDisconnectedByTimeouts)
{
    struct http_server_config config = {};
    config.receive_timeout_us = 100 * US_PER_MS;
    config.send_timeout_us = 100 * US_PER_MS;
    StartServer(config);
    const int slow_sender = ConnectRaw("GET /slow HTTP/1.1\r\n");
    EXPECT_EQ("", ReadRaw(slow_sender, "never"));
    EXPECT_EQ(1, Count("http_server_receive_timeouts"));
    const std::string body = Pattern(8U << 20);
    ConnectRaw("GET /hold HTTP/1.1\r\n\r\n");
    ASSERT_TRUE(Until([&] { return held.size() == 1; }));
    struct http_reply reply = {};
    reply.status = 200;
    reply.body = body.data();
    reply.body_size = body.size();
    http_request_reply(held[0], &reply);
    EXPECT_TRUE(
        Until([&] { return Count("http_server_send_timeouts") == 1; }));
}

/** Changes up to three bytes and, with probability 0.3, truncates. */
std::string
Mutate(std::string text, struct random_state *random)
{
    const uint64_t changes = random_below(random, 4);
    for (uint64_t i = 0; i < changes; i++) {
        text[random_below(random, text.size())] =
            static_cast<char>(random_u64(random));
    }
    if (random_chance(random, 0.3)) {
        text.resize(random_below(random, text.size()));
    }
    return text;
}

TEST_F(HttpTest, ServerSurvivesDamagedRequests)
{
    struct random_state random;
    random_seed(&random, 3);
    const std::string plain = "POST /a?b=c HTTP/1.1\r\nHost: h\r\n"
                              "Content-Length: 5\r\n\r\nhello";
    const std::string chunked = "PUT /a HTTP/1.1\r\nTransfer-Encoding: "
                                "chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
    for (int i = 0; i < 500; i++) {
        const int fd =
            ConnectRaw(Mutate(i % 2 == 0 ? plain : chunked, &random) + plain);
        runtime_poll(runtime);
        runtime_poll(runtime);
        close(fd);
        sockets.pop_back();
    }
    Call("POST", "/alive", "body");
    ASSERT_TRUE(Results(1));
    EXPECT_EQ("body", results[0].body);
}

TEST_F(HttpTest, DamagedAnswersEndEachCallOnce)
{
    struct random_state random;
    random_seed(&random, 5);
    const std::string answer =
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-A: b\r\n\r\nhello";
    const struct address address = Listen();
    StartClient(address, 1);
    size_t answered = 0;
    for (size_t i = 1; i <= 100; i++) {
        results.clear();
        Call("GET", "/x");
        Until([] { return false; }, 2);
        const int fd = accept(sockets[0], nullptr, nullptr);
        const std::string damaged = Mutate(answer, &random);
        send(fd, damaged.data(), damaged.size(), MSG_NOSIGNAL);
        close(fd);
        ASSERT_TRUE(Results(1)) << i;
        if (results[0].outcome == HTTP_ANSWERED && results[0].status == 200) {
            EXPECT_EQ(5U, results[0].body.size());
            answered++;
        }
    }
    EXPECT_LT(0U, answered);
}

} // namespace
