#include "http_fixture.h"

namespace {

class Pipeline : public HttpTest {
  protected:
    void SetUp() override
    {
        HttpTest::SetUp();
        struct http_server_config config = {};
        config.pipeline_max = 4;
        StartServer(config);
    }

    void Reply(size_t index, const std::string &body)
    {
        struct http_reply reply = {};
        reply.status = 200;
        reply.body = body.data();
        reply.body_size = body.size();
        http_request_reply(held[index], &reply);
    }

    int Hold(int count)
    {
        std::string text;
        for (int i = 0; i < count; i++) {
            text += "GET /hold HTTP/1.1\r\nHost: a\r\n\r\n";
        }
        const size_t before = held.size();
        const int fd = ConnectRaw(text);
        Until([&] { return held.size() >= before + 4; }, 300);
        return fd;
    }
};

TEST_F(Pipeline, RequestsRunConcurrentlyAndAreAnsweredInOrder)
{
    const int fd = Hold(6);
    ASSERT_EQ(4U, held.size());
    Reply(2, "third");
    Reply(1, "second");
    char early;
    Until([] { return false; }, 20);
    EXPECT_EQ(-1, recv(fd, &early, 1, MSG_DONTWAIT));
    Reply(0, "first");
    ASSERT_TRUE(Until([&] { return held.size() == 6; }));
    Reply(5, "sixth");
    Reply(4, "fifth");
    Reply(3, "fourth");
    const std::string received = ReadRaw(fd, "sixth");
    size_t last = 0;
    for (const char *word :
         {"first", "second", "third", "fourth", "fifth", "sixth"}) {
        const size_t position = received.find(word);
        ASSERT_NE(std::string::npos, position) << word;
        EXPECT_GE(position, last) << word;
        last = position;
    }
}

TEST_F(Pipeline, DisconnectedCallerCancelsUnansweredRequests)
{
    const int fd = Hold(3);
    Until([&] { return held.size() == 3; });
    Reply(1, "second");
    close(fd);
    sockets.pop_back();
    ASSERT_TRUE(Until([&] { return cancelled == 2; }));
    Reply(0, "");
    Reply(2, "");
}

TEST_F(Pipeline, RetiringServerClosesAfterTheLastAnswerOnly)
{
    const int fd = Hold(2);
    Until([&] { return held.size() == 2; });
    http_server_retire(server);
    EXPECT_FALSE(http_server_is_flushed(server));
    Reply(0, "first");
    Reply(1, "second");
    const std::string received = ReadRaw(fd, "second");
    EXPECT_GT(received.find("Connection: close"), received.find("first"));
    EXPECT_NE(std::string::npos, received.find("Connection: close"));
    EXPECT_TRUE(Until([&] { return http_server_is_flushed(server); }));
    const int next = ConnectRaw("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
    EXPECT_NE(std::string::npos, ReadRaw(next, "X-Path").find("200"));
}

/* A refusal that overtakes the answers before it would be read as the answer
 * to a request that runs. */
TEST_F(Pipeline, RefusedRequestDoesNotOvertakeTheAnswersBeforeIt)
{
    const std::string proper = "GET /hold HTTP/1.1\r\nHost: a\r\n\r\n";
    const int fd = ConnectRaw(proper + proper + "no request\r\n\r\n" + proper);
    ASSERT_TRUE(Until([&] { return held.size() == 2; }));
    char early;
    Until([] { return false; }, 20);
    EXPECT_EQ(-1, recv(fd, &early, 1, MSG_DONTWAIT));
    Reply(1, "second");
    Until([] { return false; }, 20);
    EXPECT_EQ(-1, recv(fd, &early, 1, MSG_DONTWAIT));
    Reply(0, "first");
    const std::string received = ReadRaw(fd, "second");
    EXPECT_EQ(0U, received.find("HTTP/1.1 200"));
    EXPECT_LT(received.find("first"), received.find("second"));
    EXPECT_NE(std::string::npos, received.find("Connection: close"));
    EXPECT_EQ(std::string::npos, received.find("HTTP/1.1 4"));
    EXPECT_EQ(2U, held.size());
}

TEST_F(Pipeline, RefusalAfterTheLastAnswerIsReadyAlsoClosesTheConnection)
{
    const std::string proper = "GET /hold HTTP/1.1\r\nHost: a\r\n\r\n";
    const int fd = ConnectRaw(proper + proper);
    ASSERT_TRUE(Until([&] { return held.size() == 2; }));
    Reply(1, "second");
    send(fd, "no request\r\n\r\n", 14, MSG_NOSIGNAL);
    Until([] { return false; }, 20);
    Reply(0, "first");
    const std::string received = ReadRaw(fd, "second");
    EXPECT_LT(received.find("first"), received.find("second"));
    char more;
    ASSERT_TRUE(Until([&] { return recv(fd, &more, 1, MSG_DONTWAIT) == 0; }));
}

/* Guards against: a request that was sent ahead counts as sent after an
 * answer. */
TEST_F(Pipeline, OnlyARequestSentAfterAnAnswerFollowsIt)
{
    const int fd = Hold(2);
    Until([&] { return held.size() == 2; });
    EXPECT_FALSE(http_request_follows_answer(held[0]));
    EXPECT_FALSE(http_request_follows_answer(held[1]));
    Reply(0, "first");
    const std::string request = "GET /hold HTTP/1.1\r\nHost: a\r\n\r\n";
    send(fd, request.data(), request.size(), MSG_NOSIGNAL);
    ASSERT_TRUE(Until([&] { return held.size() == 3; }));
    EXPECT_FALSE(http_request_follows_answer(held[2]));
    Reply(1, "second");
    Reply(2, "third");
    ReadRaw(fd, "third");
    send(fd, request.data(), request.size(), MSG_NOSIGNAL);
    ASSERT_TRUE(Until([&] { return held.size() == 4; }));
    EXPECT_TRUE(http_request_follows_answer(held[3]));
    Reply(3, "fourth");
}

/* Guards against: a planned stop closes the connection after an answer that is
 * given at once, and cuts the requests that arrived with it. */
TEST_F(Pipeline, RetiringServerAnswersAllThatArrivedWithARequest)
{
    http_server_retire(server);
    std::string text;
    for (int i = 0; i < 3; i++) {
        text += "GET /x" + std::to_string(i) + " HTTP/1.1\r\nHost: a\r\n\r\n";
    }
    const int fd = ConnectRaw(text + "GET /par");
    Until([] { return false; }, 50);
    ASSERT_EQ(4, send(fd, "t HT", 4, MSG_NOSIGNAL));
    Until([] { return false; }, 20);
    const std::string rest = "TP/1.1\r\nHost: a\r\n\r\n";
    ASSERT_EQ(static_cast<ssize_t>(rest.size()),
              send(fd, rest.data(), rest.size(), MSG_NOSIGNAL));
    const std::string received = ReadRaw(fd, "/part");
    for (const char *path : {"/x0", "/x1", "/x2", "/part"}) {
        EXPECT_NE(std::string::npos, received.find(path)) << received;
    }
    EXPECT_GT(received.find("Connection: close"), received.find("/x2"));
}

/* Guards against: an answer that was last when it was given, but had to wait
 * for an earlier one, closes the connection before requests read since. */
TEST_F(Pipeline, RetiringServerAnswersRequestsReadBehindAnAnswerThatWaits)
{
    const int fd = Hold(2);
    Until([&] { return held.size() == 2; });
    http_server_retire(server);
    Reply(1, "second");
    const std::string third = "GET /hold HTTP/1.1\r\nHost: a\r\n\r\n";
    ASSERT_EQ(static_cast<ssize_t>(third.size()),
              send(fd, third.data(), third.size(), MSG_NOSIGNAL));
    ASSERT_TRUE(Until([&] { return held.size() == 3; }));
    Reply(0, "first");
    EXPECT_EQ(0, cancelled);
    Reply(2, "third");
    const std::string received = ReadRaw(fd, "third");
    EXPECT_NE(std::string::npos, received.find("third")) << received;
    EXPECT_GT(received.find("Connection: close"), received.find("second"));
}

/* Guards against: a stop waits for a connection that stayed open because its
 * answers came out of order, until it has been idle for long. */
TEST_F(Pipeline, StoppingServerSoonEndsConnectionsThatStayedOpen)
{
    Hold(2);
    Until([&] { return held.size() == 2; });
    bool stopped = false;
    http_server_stop(
        server, [](void *ctx) { *static_cast<bool *>(ctx) = true; }, &stopped);
    Reply(1, "second");
    Reply(0, "first");
    EXPECT_TRUE(Until([&] { return stopped; }, 4000));
}

class ToEnd : public HttpTest {
  protected:
    void Serve(const std::string &answer, bool reset)
    {
        const int fd = AcceptRequest();
        send(fd, answer.data(), answer.size(), MSG_NOSIGNAL);
        Until([] { return false; }, 30);
        if (reset) {
            const struct linger now = {1, 0};
            setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
        }
        close(fd);
        sockets.pop_back();
    }

    void StartToEnd(const struct address &address)
    {
        http_client_destroy(client);
        struct http_client_config config = {};
        config.address = address;
        config.connections_max = 1;
        config.body_may_end_at_close = true;
        client = http_client_create(runtime, &config, counters);
    }
};

TEST_F(ToEnd, AnswerWithoutLengthEndsAtOrderlyCloseOnly)
{
    const struct address address = Listen();
    StartToEnd(address);
    Call("GET", "/x");
    Serve("HTTP/1.1 200 OK\r\n\r\nno length", false);
    ASSERT_TRUE(Results(1));
    EXPECT_EQ(HTTP_ANSWERED, results[0].outcome);
    EXPECT_EQ("no length", results[0].body);
    Call("GET", "/x");
    Serve("HTTP/1.1 200 OK\r\n\r\nno len", true);
    ASSERT_TRUE(Results(2));
    EXPECT_EQ(HTTP_CONNECTION_LOST, results[1].outcome);
    Call("GET", "/x");
    Serve("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort", false);
    ASSERT_TRUE(Results(3));
    EXPECT_EQ(HTTP_CONNECTION_LOST, results[2].outcome);
}

TEST_F(ToEnd, AnswerToAnotherCallIsDroppedAndNextAwaited)
{
    const struct address address = Listen();
    StartToEnd(address);
    struct http_call_spec spec = {};
    spec.method = "GET";
    spec.target = "/x";
    spec.deadline_us = runtime_now_us(runtime) + 5 * US_PER_SECOND;
    spec.answer_matches = [](void *, const struct http_headers *headers) {
        return std::string(http_headers_find(headers, "X-Id")) == "mine";
    };
    spec.done = OnDone;
    spec.ctx = static_cast<HttpTest *>(this);
    http_call_start(client, &spec);
    const int fd = AcceptRequest();
    const std::string late =
        "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 4\r\n\r\nlate";
    const std::string own =
        "HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 3\r\n\r\nown";
    send(fd, late.data(), late.size(), MSG_NOSIGNAL);
    Until([] { return false; }, 20);
    EXPECT_TRUE(results.empty());
    send(fd, own.data(), own.size(), MSG_NOSIGNAL);
    ASSERT_TRUE(Results(1));
    EXPECT_EQ("own", results[0].body);
    EXPECT_EQ(1, Count("http_client_stray_answers"));
    /* A connection with such an answer is not reused. */
    Call("GET", "/y");
    Until([] { return false; }, 20);
    EXPECT_EQ(2, Count("http_client_connects"));
}

} // namespace
