#include <gtest/gtest.h>

#include <string>

extern "C" {
#include <event2/buffer.h>

#include "http/httpheaders.h"
#include "http/httpmessage.h"
}

namespace {

constexpr size_t kBodyMax = 1000;

class Reader {
  public:
    explicit Reader(enum http_message_kind kind)
        : reader(http_reader_create(kind, kBodyMax))
    {
    }
    ~Reader()
    {
        http_reader_destroy(reader);
        evbuffer_free(input);
    }
    /** Feeds pieces of step bytes. @return the number of unread bytes */
    size_t Feed(const std::string &text, size_t step)
    {
        for (size_t i = 0; i < text.size(); i += step) {
            const std::string piece = text.substr(i, step);
            evbuffer_add(input, piece.data(), piece.size());
            http_reader_feed(reader, input);
        }
        return evbuffer_get_length(input);
    }
    enum http_progress Progress()
    {
        return http_reader_progress(reader);
    }
    std::string Body()
    {
        const struct http_message *message = http_reader_message(reader);
        return std::string(message->body != nullptr ? message->body : "",
                           message->body_size);
    }
    struct http_reader *reader;
    struct evbuffer *input = evbuffer_new();
};

TEST(HttpReader, ReadsSplitRequestsAndStopsAtTheEnd)
{
    const std::string first = "POST /a%20b/c?x=1&y=2 HTTP/1.1\r\nHost: h\r\n"
                              "X-Long:  spaced value \r\n"
                              "Content-Length: 5\r\n\r\nhello";
    const std::string second = "GET /next HTTP/1.0\r\n\r\n";
    for (const size_t step : {1, 3, 7, 1000}) {
        Reader r(HTTP_MESSAGE_REQUEST);
        EXPECT_EQ(second.size(), r.Feed(first + second, step));
        ASSERT_EQ(HTTP_PROGRESS_COMPLETE, r.Progress()) << step;
        const struct http_message *message = http_reader_message(r.reader);
        EXPECT_STREQ("POST", message->method);
        EXPECT_STREQ("/a%20b/c", message->path);
        EXPECT_STREQ("x=1&y=2", message->query);
        EXPECT_STREQ("spaced value",
                     http_headers_find(&message->headers, "x-long"));
        EXPECT_EQ("hello", r.Body());
        EXPECT_TRUE(message->keep_alive);
        http_reader_reset(r.reader);
        http_reader_feed(r.reader, r.input);
        EXPECT_EQ(0U, evbuffer_get_length(r.input));
        ASSERT_EQ(HTTP_PROGRESS_COMPLETE, r.Progress());
        EXPECT_STREQ("/next", message->path);
        EXPECT_EQ(nullptr, message->query);
        EXPECT_FALSE(message->keep_alive);
        EXPECT_TRUE(message->http_1_0);
    }
}

TEST(HttpReader, ReadsChunkedBodiesWithTrailers)
{
    const std::string text = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked"
                             "\r\n\r\n5\r\nhello\r\n6\r\n world\r\n0"
                             "\r\nX-Sum: 1\r\n\r\n";
    for (const size_t step : {1, 5, 1000}) {
        Reader r(HTTP_MESSAGE_REQUEST);
        EXPECT_GE(4U, r.Feed(text, step)) << step;
        ASSERT_EQ(HTTP_PROGRESS_COMPLETE, r.Progress());
        EXPECT_EQ("hello world", r.Body());
        EXPECT_FALSE(http_reader_message(r.reader)->keep_alive);
    }
}

TEST(HttpReader, RejectsAmbiguousAndInvalidRequests)
{
    const struct {
        const char *text;
        unsigned status;
    } cases[] = {
        {"POST / HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n",
         400},
        {"POST / HTTP/1.1\r\nContent-Length: +5\r\n\r\n", 400},
        {"POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: "
         "chunked\r\n\r\n",
         400},
        {"POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", 501},
        {"POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n", 413},
        {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3e9\r\n", 0},
        {"\x16\x03\x01 nonsense\r\n\r\n", 400},
        {"GET / HTTP/1.1\r\nBad Name: x\r\n\r\n", 400},
    };
    for (const auto &c : cases) {
        Reader r(HTTP_MESSAGE_REQUEST);
        r.Feed(c.text, 1000);
        if (c.status == 0) {
            r.Feed(std::string(1001, 'x'), 100);
        }
        ASSERT_EQ(HTTP_PROGRESS_FAILED, r.Progress()) << c.text;
        EXPECT_EQ(c.status == 0 ? 413 : c.status,
                  http_reader_failure(r.reader))
            << c.text;
    }
}

TEST(HttpReader, AnswersWithoutBodyEndAtTheHeaders)
{
    const std::string text = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n";
    for (const size_t step : {1, 1000}) {
        Reader r(HTTP_MESSAGE_ANSWER);
        http_reader_expect_no_body(r.reader);
        EXPECT_EQ(4U, r.Feed(text + "next", step));
        EXPECT_EQ(HTTP_PROGRESS_COMPLETE, r.Progress());
        Reader no_content(HTTP_MESSAGE_ANSWER);
        no_content.Feed("HTTP/1.1 204 No Content\r\n\r\n", step);
        EXPECT_EQ(HTTP_PROGRESS_COMPLETE, no_content.Progress());
    }
}

TEST(HttpReader, InterimAnswersAreSkipped)
{
    const std::string text = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 201 "
                             "Created\r\nContent-Length: 2\r\n\r\nok";
    for (const size_t step : {1, 4, 1000}) {
        Reader r(HTTP_MESSAGE_ANSWER);
        EXPECT_EQ(0U, r.Feed(text, step)) << step;
        ASSERT_EQ(HTTP_PROGRESS_COMPLETE, r.Progress());
        EXPECT_EQ(201U, http_reader_message(r.reader)->status);
        EXPECT_EQ("ok", r.Body());
    }
}

/* A server in trouble sends a status that isn't one. Passed on, it would look
 * like the server's answer. */
TEST(HttpReader, AnswerWithAnInvalidStatusIsMalformed)
{
    const char *const lines[] = {
        "HTTP/1.1 000 OK",  "HTTP/1.1 42 OK",   "HTTP/1.1 099 OK",
        "HTTP/1.1 1000 OK", "HTTP/1.1 2x0 OK",  "HTTP/1.1 600 OK",
        "HTTP/1.1 1x0 OK",  "HTTP/1.1 999 OK",  "HTTP/1.1 20 OK",
        "HTTP/1.1 2000 OK", "HTTP/1.1 -200 OK", "HTTP/1.1  200 OK",
        "HTTP/1.1 200OK",   "HTTP/2.0 200 OK",  "HTTP/1.1 ",
        "HTTP/1.1 0x2 OK",  "HTTP/1.1 20 0 OK", "HTTP/1.1",
    };
    const std::string rest = "\r\nContent-Length: 2\r\n\r\nok";
    const std::string interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
    const std::string proper = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    for (const std::string line : lines) {
        for (const size_t step : {1, 1000}) {
            Reader plain(HTTP_MESSAGE_ANSWER);
            plain.Feed(line + rest, step);
            EXPECT_EQ(HTTP_PROGRESS_FAILED, plain.Progress()) << line;
            Reader late(HTTP_MESSAGE_ANSWER);
            late.Feed(interim + line + rest, step);
            EXPECT_EQ(HTTP_PROGRESS_FAILED, late.Progress()) << line;
            Reader undelimited(HTTP_MESSAGE_ANSWER);
            http_reader_allow_body_until_close(undelimited.reader);
            undelimited.Feed(line + "\r\n\r\nbytes", step);
            EXPECT_EQ(HTTP_PROGRESS_FAILED, undelimited.Progress()) << line;
            /* Taken for an interim answer it would hide behind the next. */
            Reader hidden(HTTP_MESSAGE_ANSWER);
            hidden.Feed(line + "\r\n\r\n" + proper, step);
            EXPECT_EQ(HTTP_PROGRESS_FAILED, hidden.Progress()) << line;
        }
    }
}

TEST(HttpReader, AnswerMayLackAReasonPhrase)
{
    for (const std::string line :
         {"HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.0 404 Not Found",
          "HTTP/1.1 599 x"}) {
        Reader r(HTTP_MESSAGE_ANSWER);
        r.Feed(line + "\r\nContent-Length: 2\r\n\r\nok", 1000);
        EXPECT_EQ(HTTP_PROGRESS_COMPLETE, r.Progress()) << line;
        EXPECT_EQ("ok", r.Body());
    }
}

TEST(HttpReader, AnswerDelimitedByCloseIsRejectedByDefault)
{
    Reader r(HTTP_MESSAGE_ANSWER);
    r.Feed("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc", 1000);
    EXPECT_EQ(HTTP_PROGRESS_FAILED, r.Progress());
}

TEST(HttpHeaders, ProxyDropsHopByHopAndPrivateFields)
{
    struct http_headers received = {};
    const char *const fields[][2] = {
        {"Host", "shop"},
        {"Connection", "close, X-Hop"},
        {"X-Hop", "1"},
        {"Keep-Alive", "3"},
        {"TE", "trailers"},
        {"Content-Length", "5"},
        {"Transfer-Encoding", "chunked"},
        {"chestnutgap-epoch", "9"},
        {"Date", "Thu, 01 Jan 1970 00:00:00 GMT"},
        {"Via", "1.0 a"},
        {"X-End", "2"},
    };
    for (const auto &field : fields) {
        ASSERT_TRUE(http_headers_add(&received, field[0], field[1]));
    }
    struct http_headers forwarded = {};
    ASSERT_TRUE(
        http_headers_forward(&forwarded, &received, HTTP_FORWARD_REQUEST));
    std::string names;
    for (size_t i = 0; i < forwarded.count; i++) {
        names += std::string(forwarded.items[i].name) + " ";
    }
    EXPECT_EQ("Host Date Via X-End Via ", names);
    EXPECT_STREQ(HTTP_VIA, forwarded.items[4].value);
    http_headers_clear(&forwarded);
    ASSERT_TRUE(http_headers_forward(&forwarded, &received,
                                     HTTP_FORWARD_ANSWER_NO_BODY));
    EXPECT_STREQ("5", http_headers_find(&forwarded, "content-length"));
    http_headers_clear(&forwarded);
    http_headers_clear(&received);
}

TEST(HttpHeaders, RejectsFieldsThatAllowHeaderInjection)
{
    struct http_headers headers = {};
    EXPECT_FALSE(http_headers_add(&headers, "X", "a\r\nY: b"));
    EXPECT_FALSE(http_headers_add(&headers, "X:", "a"));
    EXPECT_FALSE(http_headers_add(&headers, "", "a"));
    EXPECT_TRUE(http_headers_add(&headers, "X", ""));
    http_headers_clear(&headers);
}

/* Guards against: fields that are set for the receiver are left out of a
 * message that has as many as are read. */
TEST(HttpHeaders, HoldsMoreFieldsThanAreRead)
{
    struct http_headers headers = {};
    for (int i = 0; i < HTTP_HEADERS_MAX + HTTP_HEADERS_ADDED_MAX; i++) {
        EXPECT_TRUE(http_headers_add(&headers, "X-Field", "v")) << i;
    }
    EXPECT_FALSE(http_headers_add(&headers, "X-Field", "v"));
    http_headers_clear(&headers);
}

} // namespace
