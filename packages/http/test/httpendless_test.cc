/* Servers in trouble that send bytes without end. A call must end long before
 * its deadline, with bounded memory, and its connection must be gone. */
#include "http_fixture.h"

#include <fcntl.h>

#include <algorithm>

namespace {

constexpr size_t SENT_MAX = 8u << 20;   /* bytes that a client may take */
constexpr size_t BODY_MAX = 1u << 20;   /* of one answer */
constexpr size_t BODIES_MAX = 4u << 20; /* of all answers of a client */

struct Endless : HttpTest {
    std::vector<int> accepted;

    void Start(unsigned connections = 1)
    {
        struct http_client_config config = {};
        config.address = Listen();
        config.connections_max = connections;
        config.body_max_bytes = BODY_MAX;
        config.bodies_max_bytes = BODIES_MAX;
        config.body_may_end_at_close = true;
        http_client_destroy(client);
        client = http_client_create(runtime, &config, counters);
    }

    static bool BelongsNever(void *ctx, const struct http_headers *headers)
    {
        (void)ctx;
        (void)headers;
        return false;
    }

    void Send(bool other_ids)
    {
        struct http_call_spec spec = {};
        spec.method = "GET";
        spec.target = "/x";
        spec.deadline_us = runtime_now_us(runtime) + 60 * US_PER_SECOND;
        spec.answer_matches = other_ids ? BelongsNever : nullptr;
        spec.done = OnDone;
        spec.ctx = this;
        http_call_start(client, &spec);
    }

    /** Answers a call with head, then text again and again, until the client
     * closes. @return bytes sent */
    size_t Flood(const std::string &head, const std::string &text,
                 bool other_ids = false)
    {
        Start();
        Send(other_ids);
        const int fd = AcceptRequest();
        size_t sent = 0;
        std::string next = head;
        const std::string block = Repeat(text, 16384);
        while (results.empty() && sent < SENT_MAX) {
            const ssize_t size = send(fd, next.data(), next.size(),
                                      MSG_NOSIGNAL | MSG_DONTWAIT);
            if (size > 0) {
                sent += static_cast<size_t>(size);
                next = next.substr(static_cast<size_t>(size));
            }
            if (next.empty()) {
                next = block;
            }
            runtime_poll(runtime);
        }
        return sent;
    }

    static std::string Repeat(const std::string &text, size_t size)
    {
        std::string block;
        while (block.size() < size) {
            block += text;
        }
        return block;
    }

    void ExpectEnded(enum http_outcome outcome = HTTP_MALFORMED)
    {
        ASSERT_EQ(1U, results.size());
        EXPECT_EQ(outcome, results[0].outcome);
        Until([&] { return http_client_connections(client) == 0; }, 200);
        EXPECT_EQ(0U, http_client_connections(client));
    }
};

TEST_F(Endless, Head)
{
    Flood("HTTP/1.1 200 OK\r\n", "X-Field: value\r\n");
    ExpectEnded();
}

TEST_F(Endless, FieldOfTheHead)
{
    Flood("HTTP/1.1 200 OK\r\nX-Field: ", "value");
    ExpectEnded();
}

TEST_F(Endless, BytesThatAreNoAnswer)
{
    Flood("", "noise");
    ExpectEnded();
}

TEST_F(Endless, EmptyLines)
{
    Flood("", "\r\n");
    ExpectEnded();
}

TEST_F(Endless, InterimAnswers)
{
    Flood("", "HTTP/1.1 102 Processing\r\n\r\n");
    ExpectEnded();
}

TEST_F(Endless, AnswersToOtherRequests)
{
    Flood("", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true);
    ExpectEnded();
}

TEST_F(Endless, ChunkExtension)
{
    Flood("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;", "x");
    ExpectEnded();
}

TEST_F(Endless, ZerosOfAChunkSize)
{
    Flood("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0");
    ExpectEnded();
}

TEST_F(Endless, Trailers)
{
    Flood("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
          "2\r\nok\r\n0\r\n",
          "X-Field: value\r\n");
    /* The body is whole; trailers are not read. */
    ExpectEnded(HTTP_ANSWERED);
    EXPECT_EQ("ok", results[0].body);
}

TEST_F(Endless, Chunks)
{
    Flood("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
          "4\r\nbody\r\n");
    ExpectEnded();
}

TEST_F(Endless, BodyWithoutLength)
{
    Flood("HTTP/1.1 200 OK\r\n\r\n", "body");
    ExpectEnded();
}

/* The answer is whole; what follows belongs to no request. */
TEST_F(Endless, BytesAfterTheAnswer)
{
    Flood("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokmore", "more");
    ExpectEnded(HTTP_ANSWERED);
    EXPECT_EQ("ok", results[0].body);
}

/* Each body is within its limit; all of them together are not. */
TEST_F(Endless, TwentyBodiesAtOnceStayWithinTheLimitOfAll)
{
    constexpr unsigned count = 20;
    Start(count);
    for (unsigned i = 0; i < count; i++) {
        Send(false);
    }
    fcntl(sockets[0], F_SETFL, O_NONBLOCK);
    const std::string block = Repeat("body", 8192);
    std::vector<std::string> next(count, "HTTP/1.1 200 OK\r\n\r\n");
    size_t held_max = 0;
    const int64_t end_us = runtime_now_us(runtime) + 5 * US_PER_SECOND;
    while (results.size() < count && runtime_now_us(runtime) < end_us) {
        const int fd = accept4(sockets[0], nullptr, nullptr, SOCK_NONBLOCK);
        if (fd >= 0) {
            sockets.push_back(fd);
            accepted.push_back(fd);
        }
        for (size_t i = 0; i < accepted.size(); i++) {
            const ssize_t size =
                send(accepted[i], next[i].data(), next[i].size(),
                     MSG_NOSIGNAL | MSG_DONTWAIT);
            if (size > 0) {
                next[i] = next[i].substr(static_cast<size_t>(size));
            }
            if (next[i].empty()) {
                next[i] = block;
            }
        }
        runtime_poll(runtime);
        held_max = std::max(held_max, http_client_body_bytes(client));
    }
    EXPECT_EQ(count, results.size());
    for (const Result &result : results) {
        EXPECT_EQ(HTTP_MALFORMED, result.outcome);
    }
    EXPECT_LE(held_max, BODIES_MAX);
    EXPECT_EQ(0U, http_client_body_bytes(client));
    EXPECT_EQ(0U, http_client_connections(client));
}

} // namespace
