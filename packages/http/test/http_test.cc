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
#include "base/random.h"
#include "base/runtime.h"
#include "http/httpclient.h"
#include "http/httpproblem.h"
#include "http/httpserver.h"
}

namespace {

std::string
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

    /** A listening socket whose peer is played by the test. */
    struct address Listen()
    {
        struct address address;
        address_parse("127.0.0.1:0", &address, nullptr);
        const int fd = socket(AF_INET, SOCK_STREAM, 0);
        auto *sa = reinterpret_cast<struct sockaddr *>(&address.storage);
        EXPECT_EQ(0, bind(fd, sa, address.length));
        EXPECT_EQ(0, listen(fd, 16));
        getsockname(fd, sa, &address.length);
        sockets.push_back(fd);
        return address;
    }

    /** Accepts a connection and reads until the text's end has come. */
    int AcceptRequest(const std::string &end = "\r\n\r\n")
    {
        Until([&] { return false; }, 20);
        const int fd = accept(sockets[0], nullptr, nullptr);
        sockets.push_back(fd);
        std::string got;
        char buffer[65536];
        while (got.size() < end.size() ||
               got.substr(got.size() - end.size()) != end) {
            const ssize_t size = recv(fd, buffer, sizeof(buffer), 0);
            if (size <= 0) {
                break;
            }
            got.append(buffer, static_cast<size_t>(size));
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

    /** What the server sends until it has sent `want` or closed. */
    std::string ReadRaw(int fd, const std::string &want)
    {
        std::string got;
        Until([&] {
            char buffer[65536];
            const ssize_t size =
                recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT);
            if (size > 0) {
                got.append(buffer, static_cast<size_t>(size));
            }
            return size == 0 || got.find(want) != std::string::npos;
        });
        return got;
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
        test->asked++;
        return !test->hold_back;
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
    int asked = 0;
    bool hold_back = false;
};

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

TEST_F(HttpTest, NothingIsSentThatItsOwnerHoldsBack)
{
    hold_back = true;
    Call("POST", "/over-a-new-connection", "x");
    ASSERT_TRUE(Results(1));
    hold_back = false;
    Call("POST", "/sent", "x");
    ASSERT_TRUE(Results(2));
    hold_back = true;
    Call("POST", "/over-an-idle-connection", "x");
    EXPECT_EQ(2U, results.size());
    ASSERT_TRUE(Results(3));
    EXPECT_EQ(HTTP_NOT_SENT, results[0].outcome);
    EXPECT_EQ(HTTP_ANSWERED, results[1].outcome);
    EXPECT_EQ(HTTP_NOT_SENT, results[2].outcome);
    EXPECT_EQ(3, asked);
    EXPECT_EQ(1, Count("http_server_requests"));
    EXPECT_EQ(1, Count("http_client_connects"));
}

TEST_F(HttpTest, BigBodiesPassWholeInBothDirections)
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

TEST_F(HttpTest, CutAnswersAreNeverSuccess)
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
        EXPECT_TRUE(results[0].outcome == HTTP_CUT ||
                    results[0].outcome == HTTP_MALFORMED)
            << answer;
    }
}

TEST_F(HttpTest, TricklingAnswerArrivesWholeOrTimesOut)
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

TEST_F(HttpTest, DuplicatedAnswerIsNotGivenToTheNextRequest)
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

TEST_F(HttpTest, RefusedAndUnsentAreToldApartFromUnknown)
{
    const struct address gone = *http_server_address(server);
    http_server_destroy(server);
    server = nullptr;
    StartClient(gone, 1);
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

TEST_F(HttpTest, CallerThatGoesAwayIsReported)
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
    const std::string got = ReadRaw(fd, "X-Path: /2");
    EXPECT_LT(got.find("X-Path: /hold"), got.find("X-Path: /2"));
}

TEST_F(HttpTest, GarbageAndOversizeAreRefusedWithAnAnswer)
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

TEST_F(HttpTest, ContinueIsSentToACallerThatWaitsForIt)
{
    const int fd = ConnectRaw("POST /c HTTP/1.1\r\nExpect: 100-continue\r\n"
                              "Content-Length: 2\r\n\r\n");
    EXPECT_EQ("HTTP/1.1 100 Continue\r\n\r\n",
              ReadRaw(fd, "Continue\r\n\r\n"));
    send(fd, "ok", 2, MSG_NOSIGNAL);
    EXPECT_NE(std::string::npos, ReadRaw(fd, "\r\n\r\nok").find("200 OK"));
}

TEST_F(HttpTest, StopAnswersWhatRunsAndThenCloses)
{
    const int fd = ConnectRaw("GET /hold HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_TRUE(Until([&] { return held.size() == 1; }));
    bool stopped = false;
    http_server_stop(
        server, [](void *ctx) { *static_cast<bool *>(ctx) = true; }, &stopped);
    Until([] { return false; }, 20);
    EXPECT_FALSE(stopped);
    Echo(held[0]);
    const std::string got = ReadRaw(fd, "\r\n\r\n");
    EXPECT_NE(std::string::npos, got.find("Connection: close"));
    close(fd);
    sockets.pop_back();
    EXPECT_TRUE(Until([&] { return stopped; }));
}

TEST_F(HttpTest, SlowCallersAreClosedInTime)
{
    struct http_server_config config = {};
    config.receive_timeout_us = 100 * US_PER_MS;
    config.send_timeout_us = 100 * US_PER_MS;
    StartServer(config);
    const int sends = ConnectRaw("GET /slow HTTP/1.1\r\n");
    EXPECT_EQ("", ReadRaw(sends, "never"));
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

/** Changes a few bytes, or cuts the end off. */
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

TEST_F(HttpTest, DamagedRequestsDoNoHarm)
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
    size_t whole = 0;
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
            whole++;
        }
    }
    EXPECT_LT(0U, whole);
}

} // namespace
