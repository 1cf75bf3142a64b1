#include "http_fixture.h"

namespace {

TEST_F(HttpTest, AnswersManyCallsOverFewConnections)
{
    for (int i = 0; i < 100; i++) {
        Call("POST", "/p" + std::to_string(i), Pattern(100));
    }
    ASSERT_TRUE(Results(100));
    for (const Result &result : results) {
        EXPECT_EQ(HTTP_ANSWERED, result.outcome);
        EXPECT_EQ(Pattern(100), result.body);
    }
    EXPECT_EQ(4, Count("http_client_connects"));
}

TEST_F(HttpTest, NothingIsSentIfMaySendRefuses)
{
    refuse_send = true;
    Call("POST", "/over-a-new-connection", "x");
    ASSERT_TRUE(Results(1));
    refuse_send = false;
    Call("POST", "/sent", "x");
    ASSERT_TRUE(Results(2));
    refuse_send = true;
    Call("POST", "/over-an-idle-connection", "x");
    EXPECT_EQ(2U, results.size());
    ASSERT_TRUE(Results(3));
    EXPECT_EQ(HTTP_NOT_SENT, results[0].outcome);
    EXPECT_EQ(HTTP_ANSWERED, results[1].outcome);
    EXPECT_EQ(HTTP_NOT_SENT, results[2].outcome);
    EXPECT_EQ(3, may_send_calls);
    EXPECT_EQ(1, Count("http_server_requests"));
    EXPECT_EQ(1, Count("http_client_connects"));
}

TEST_F(HttpTest, LargeBodiesArriveIntactInBothDirections)
{
    for (const size_t size : {8U << 20, 16U << 20}) {
        const std::string body = Pattern(size);
        results.clear();
        Call("PUT", "/big", body);
        ASSERT_TRUE(Results(1));
        EXPECT_EQ(HTTP_ANSWERED, results[0].outcome);
        EXPECT_TRUE(body == results[0].body);
    }
    results.clear();
    Call("PUT", "/big", Pattern((16U << 20) + 1));
    ASSERT_TRUE(Results(1));
    EXPECT_EQ(413U, results[0].status);
}

TEST_F(HttpTest, HeadAndEmptyAnswersKeepTheConnectionUsable)
{
    Call("HEAD", "/a");
    ASSERT_TRUE(Results(1));
    Call("GET", "/b");
    ASSERT_TRUE(Results(2));
    EXPECT_EQ("/b", results[1].path);
    EXPECT_EQ(1, Count("http_client_connects"));
}

TEST_F(HttpTest, TruncatedAnswersAreNeverSuccess)
{
    const std::vector<std::string> answers = {
        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
        "HTTP/1.1 200 OK\r\nContent-Le",
        "",
        "HTTP/1.1 200 OK\r\n\r\nno length",
        "nonsense\r\n\r\n",
    };
    const struct address address = Listen();
    StartClient(address, 1);
    for (const std::string &answer : answers) {
        results.clear();
        Call("GET", "/x");
        const int fd = AcceptRequest();
        send(fd, answer.data(), answer.size(), MSG_NOSIGNAL);
        close(fd);
        sockets.pop_back();
        ASSERT_TRUE(Results(1)) << answer;
        EXPECT_TRUE(results[0].outcome == HTTP_CONNECTION_LOST ||
                    results[0].outcome == HTTP_MALFORMED)
            << answer;
    }
}

TEST_F(HttpTest, AnswerSentByteByByteArrivesIntact)
{
    const struct address address = Listen();
    StartClient(address, 1);
    const std::string answer =
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
    Call("GET", "/x");
    const int fd = AcceptRequest();
    for (const char c : answer) {
        send(fd, &c, 1, MSG_NOSIGNAL);
        Until([] { return false; }, 1);
    }
    ASSERT_TRUE(Results(1));
    EXPECT_EQ("hello", results[0].body);
}

TEST_F(HttpTest, AbandonedConnectionIsNeverReused)
{
    const struct address address = Listen();
    StartClient(address, 1);
    Call("GET", "/slow", "", 30 * US_PER_MS);
    const int first = AcceptRequest();
    ASSERT_TRUE(Results(1));
    EXPECT_EQ(HTTP_TIMED_OUT, results[0].outcome);
    Call("GET", "/next");
    const int second = AcceptRequest();
    const std::string late =
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate";
    const std::string right =
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nright";
    send(first, late.data(), late.size(), MSG_NOSIGNAL);
    send(second, right.data(), right.size(), MSG_NOSIGNAL);
    ASSERT_TRUE(Results(2));
    EXPECT_EQ("right", results[1].body);
}

/** An answer that names its request; only the awaited one belongs. */
struct NamedAnswers : HttpTest {
    static std::string awaited;

    static bool IsAwaited(void *ctx, const struct http_headers *headers)
    {
        (void)ctx;
        const char *id = http_headers_find(headers, "X-Id");
        return id != nullptr && id == awaited;
    }

    void Send(const std::string &id)
    {
        struct http_call_spec spec = {};
        awaited = id;
        spec.method = "GET";
        spec.target = "/x";
        spec.deadline_us = runtime_now_us(runtime) + 5 * US_PER_SECOND;
        spec.answer_matches = IsAwaited;
        spec.done = OnDone;
        spec.ctx = this;
        http_call_start(client, &spec);
        Until([&] { return false; }, 20);
    }

    static void Answer(int fd, const std::string &id)
    {
        const std::string text = "HTTP/1.1 200 OK\r\nX-Id: " + id +
                                 "\r\nContent-Length: 1\r\n\r\n" + id;
        send(fd, text.data(), text.size(), MSG_NOSIGNAL);
    }
};

std::string NamedAnswers::awaited;

/* The copy arrives where the answer to the next request is due. */
TEST_F(NamedAnswers, LateCopyIsNotGivenToTheNextRequest)
{
    StartClient(Listen(), 1);
    Send("1");
    const int fd = AcceptRequest();
    Answer(fd, "1");
    ASSERT_TRUE(Results(1));
    Send("2");
    Answer(fd, "1");
    Answer(fd, "2");
    ASSERT_TRUE(Results(2));
    EXPECT_EQ("2", results[1].body);
    Until([&] { return http_client_connections(client) == 0; }, 200);
    EXPECT_EQ(0U, http_client_connections(client)); /* not used again */
}

/* Guards against: a late copy without a length, which ends with its
 * connection, is taken for the answer to the next request. */
TEST_F(NamedAnswers, LateCopyWithoutALengthIsNotGivenToTheNextRequest)
{
    struct http_client_config config = {};
    config.address = Listen();
    config.connections_max = 1;
    config.body_may_end_at_close = true;
    http_client_destroy(client);
    client = http_client_create(runtime, &config, counters);
    Send("1");
    const int fd = AcceptRequest();
    Answer(fd, "1");
    ASSERT_TRUE(Results(1));
    Send("2");
    const std::string copy = "HTTP/1.1 503 No\r\nX-Id: 1\r\n\r\ncopy";
    send(fd, copy.data(), copy.size(), MSG_NOSIGNAL);
    shutdown(fd, SHUT_RDWR);
    ASSERT_TRUE(Results(2));
    EXPECT_EQ(HTTP_CONNECTION_LOST, results[1].outcome);
    Send("3");
    const int next = AcceptRequest();
    const std::string own = "HTTP/1.1 200 OK\r\nX-Id: 3\r\n\r\nown";
    send(next, own.data(), own.size(), MSG_NOSIGNAL);
    shutdown(next, SHUT_RDWR);
    ASSERT_TRUE(Results(3));
    EXPECT_EQ("own", results[2].body);
}

/* Guards against: a late copy arrives on the connection of a call whose
 * answers bear no name, and of the call after it. */
TEST_F(HttpTest, CallWithItsOwnConnectionSharesItWithNoOther)
{
    StartClient(Listen(), 1);
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    Call("GET", "/1");
    send(AcceptRequest(), answer.data(), answer.size(), MSG_NOSIGNAL);
    ASSERT_TRUE(Results(1));
    EXPECT_EQ(1U, http_client_connections(client));
    struct http_call_spec spec = {};
    spec.method = "GET";
    spec.target = "/own";
    spec.deadline_us = runtime_now_us(runtime) + 5 * US_PER_SECOND;
    spec.needs_own_connection = true;
    spec.done = OnDone;
    spec.ctx = this;
    http_call_start(client, &spec);
    send(AcceptRequest(), answer.data(), answer.size(), MSG_NOSIGNAL);
    ASSERT_TRUE(Results(2));
    EXPECT_EQ(0U, http_client_connections(client));
    EXPECT_EQ(2, Count("http_client_connects"));
}

/* Guards against: the connection that shows which process listens is used for
 * another call, counts towards the limit, is closed by a late copy, or counts
 * before it has carried an answer; and against a peer that has ended counting
 * as open until the loop runs. */
TEST_F(HttpTest, ConnectionThatStaysOpenShowsThePeerUntilItEnds)
{
    StartClient(Listen(), 1);
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    struct http_call_spec spec = {};
    spec.method = "GET";
    spec.target = "/own";
    spec.deadline_us = runtime_now_us(runtime) + 5 * US_PER_SECOND;
    spec.needs_own_connection = true;
    spec.stays_open = true;
    spec.done = OnDone;
    spec.ctx = this;
    http_call_start(client, &spec);
    const int fd = AcceptRequest();
    EXPECT_FALSE(http_client_has_open_since(client, runtime_now_us(runtime)));
    send(fd, answer.data(), answer.size(), MSG_NOSIGNAL);
    ASSERT_TRUE(Results(1));
    const int64_t since_us = runtime_now_us(runtime);
    EXPECT_TRUE(http_client_has_open_since(client, since_us));
    EXPECT_FALSE(http_client_has_open_since(client, since_us - US_PER_SECOND));
    send(fd, answer.data(), answer.size(), MSG_NOSIGNAL);
    Call("GET", "/next");
    const int next = AcceptRequest();
    EXPECT_NE(fd, next);
    send(next, answer.data(), answer.size(), MSG_NOSIGNAL);
    ASSERT_TRUE(Results(2));
    EXPECT_EQ(2U, http_client_connections(client));
    close(next);
    Until([&] { return http_client_connections(client) == 1; }, 200);
    EXPECT_TRUE(http_client_has_open_since(client, since_us));
    close(fd);
    EXPECT_FALSE(http_client_has_open_since(client, since_us));
}

TEST_F(HttpTest, DuplicateAnswerIsNotGivenToTheNextRequest)
{
    const struct address address = Listen();
    StartClient(address, 1);
    const std::string answer =
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none";
    Call("GET", "/1");
    int fd = AcceptRequest();
    const std::string twice = answer + answer;
    send(fd, twice.data(), twice.size(), MSG_NOSIGNAL);
    ASSERT_TRUE(Results(1));
    Call("GET", "/2");
    fd = AcceptRequest();
    const std::string second =
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo";
    send(fd, second.data(), second.size(), MSG_NOSIGNAL);
    ASSERT_TRUE(Results(2));
    EXPECT_EQ("two", results[1].body);
    EXPECT_EQ(2, Count("http_client_connects"));
}

TEST_F(HttpTest, RefusedAndUnsentAreDistinguishedFromUnknown)
{
    const struct address closed = *http_server_address(server);
    http_server_destroy(server);
    server = nullptr;
    StartClient(closed, 1);
    Call("GET", "/x");
    EXPECT_TRUE(results.empty());
    ASSERT_TRUE(Results(1));
    EXPECT_EQ(HTTP_REFUSED, results[0].outcome);
    const struct address address = Listen();
    StartClient(address, 1);
    Call("GET", "/first");
    Call("GET", "/queued", "", 30 * US_PER_MS);
    ASSERT_TRUE(Results(2));
    EXPECT_EQ(HTTP_NOT_SENT, results[1].outcome);
}

} // namespace
