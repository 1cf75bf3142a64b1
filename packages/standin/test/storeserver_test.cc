#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <string>
#include <vector>

extern "C" {
#include "base/random.h"
#include "base/runtime.h"
#include "standin/faultsjson.h"
#include "standin/storeserver.h"
#include "store/storehttp.h"
#include "store/storememory.h"
}

namespace {

struct Answer {
    int count = 0;
    store_outcome outcome = STORE_COMMITTED;
    uint64_t version = 0;
    std::string text;
    bool absent = false;
    std::function<void()> on_delivery;
};

void
on_commit(void *ctx, const struct store_commit_result *result)
{
    auto *answer = static_cast<Answer *>(ctx);
    answer->count++;
    answer->outcome = result->outcome;
    answer->version = result->version;
    answer->text = result->row != nullptr ? result->row : "";
    if (answer->on_delivery) {
        answer->on_delivery();
    }
}

void
on_read(void *ctx, const struct store_read_result *result)
{
    auto *answer = static_cast<Answer *>(ctx);
    answer->count++;
    answer->outcome = result->outcome;
    answer->text.clear();
    for (size_t i = 0; i < result->row_count; i++) {
        answer->text += std::string(result->rows[i].name) + ";";
    }
}

void
on_object(void *ctx, enum store_outcome outcome, const void *data, size_t size)
{
    auto *answer = static_cast<Answer *>(ctx);
    answer->count++;
    answer->outcome = outcome;
    answer->absent = data == nullptr;
    answer->text.assign(static_cast<const char *>(data), size);
}

class StoreHttp : public ::testing::Test {
  protected:
    StoreHttp() : runtime(runtime_create(nullptr))
    {
        memory = store_memory_create(runtime, 1);
        struct address listen;
        address_parse("127.0.0.1:0", &listen, nullptr);
        server = store_server_create(runtime, memory, &listen, nullptr);
        connect(store_server_port(server));
    }

    ~StoreHttp() override
    {
        store_http_destroy(http);
        store_server_destroy(server);
        store_memory_destroy(memory);
        runtime_destroy(runtime);
    }

    void connect(uint16_t port, int64_t timeout_us = 10 * US_PER_SECOND)
    {
        store_http_destroy(http);
        struct store_http_options options = {};
        const std::string text = "127.0.0.1:" + std::to_string(port);
        address_parse(text.c_str(), &options.address, nullptr);
        options.timeout_us = timeout_us;
        options.connections = 3;
        http = store_http_create(runtime, &options, nullptr);
        store = store_http_store(http);
    }

    void commit(const char *row, uint64_t version, Answer *result)
    {
        struct store_txn *txn = store_txn_create(next_id++);
        store_txn_expect(txn, "t", row, version);
        store_txn_put(txn, "t", row, json_pack("{s:s}", "v", row));
        store_commit(&store, txn, on_commit, result);
        store_txn_destroy(txn);
    }

    /** Polls until result has been delivered count times. */
    void wait(const Answer &result, int count = 1)
    {
        const int64_t end_us = runtime_now_us(runtime) + 20 * US_PER_SECOND;
        while (result.count < count && runtime_now_us(runtime) < end_us) {
            runtime_poll(runtime);
        }
        ASSERT_EQ(count, result.count);
    }

    Answer commit_and_wait(const char *row, uint64_t version)
    {
        Answer result;
        commit(row, version, &result);
        EXPECT_EQ(0, result.count);
        wait(result);
        return result;
    }

    void set_faults(const std::function<void(struct store_faults *)> &change)
    {
        struct store_faults faults = {};
        change(&faults);
        store_memory_set_faults(memory, &faults);
    }

    struct runtime *runtime;
    struct store_memory *memory;
    struct store_server *server;
    struct store_http *http = nullptr;
    struct store store;
    uint64_t next_id = 1;
};

TEST_F(StoreHttp, CommitsReadsScansAndObjects)
{
    EXPECT_EQ(1U, commit_and_wait("a b/&=%?", 0).version);
    const Answer conflict = commit_and_wait("a b/&=%?", 0);
    EXPECT_EQ(STORE_CONFLICT, conflict.outcome);
    EXPECT_EQ("a b/&=%?", conflict.text);
    commit_and_wait("b", 0);
    Answer read;
    store_read(&store, "t", "a b/&=%?", on_read, &read);
    wait(read);
    EXPECT_EQ("a b/&=%?;", read.text);
    struct store_scan scan = {};
    scan.table = "t";
    Answer rows;
    store_scan(&store, &scan, on_read, &rows);
    wait(rows);
    EXPECT_EQ("a b/&=%?;b;", rows.text);
    const std::string bytes("x\0y", 3);
    Answer put;
    store_put_object(&store, "snap/1", bytes.data(), 3, on_commit, &put);
    wait(put);
    Answer object;
    store_get_object(&store, "snap/1", on_object, &object);
    wait(object);
    EXPECT_EQ(bytes, object.text);
    store_get_object(&store, "none", on_object, &object);
    wait(object, 2);
    EXPECT_EQ(STORE_COMMITTED, object.outcome);
    EXPECT_TRUE(object.absent);
}

TEST_F(StoreHttp, ParallelReadsGetMatchingAnswers)
{
    std::vector<Answer> answers(200);
    std::vector<std::string> names;
    for (size_t i = 0; i < answers.size(); i++) {
        names.push_back("row" + std::to_string(i));
    }
    for (size_t i = 0; i < answers.size(); i++) {
        store_read(&store, "t", names[i].c_str(), on_read, &answers[i]);
    }
    for (size_t i = 0; i < answers.size(); i++) {
        wait(answers[i]);
        EXPECT_EQ(names[i] + ";", answers[i].text);
    }
}

TEST_F(StoreHttp, LostCommitAnswerIsUnknownAndDownStoreIsUnavailable)
{
    set_faults([](auto *faults) { faults->lose_answers_percent = 100; });
    EXPECT_EQ(STORE_UNKNOWN, commit_and_wait("a", 0).outcome);
    EXPECT_EQ(1U, store_tables_version(store_memory_tables(memory)));
    set_faults([](auto *faults) { faults->down = true; });
    EXPECT_EQ(STORE_UNAVAILABLE, commit_and_wait("b", 0).outcome);
    set_faults([](auto *) {});
    EXPECT_EQ(STORE_COMMITTED, commit_and_wait("b", 0).outcome);
}

TEST_F(StoreHttp, RefusedConnectionIsUnavailableAndTimeoutUnknown)
{
    const uint16_t port = store_server_port(server);
    connect(port, 50 * US_PER_MS);
    set_faults([](auto *faults) { faults->latency_us = US_PER_SECOND; });
    EXPECT_EQ(STORE_UNKNOWN, commit_and_wait("a", 0).outcome);
    store_server_destroy(server);
    server = nullptr;
    connect(port);
    EXPECT_EQ(STORE_UNAVAILABLE, commit_and_wait("a", 0).outcome);
}

TEST_F(StoreHttp, ClientCanBeDestroyedInCallback)
{
    Answer first;
    Answer second;
    first.on_delivery = [this] {
        store_http_destroy(http);
        http = nullptr;
    };
    commit("a", 0, &first);
    commit("b", 0, &second);
    wait(first);
    for (int i = 0; i < 100; i++) {
        runtime_poll(runtime);
    }
    EXPECT_EQ(0, second.count);
}

/** A server that sends the same bytes on each connection. */
class RawServer {
  public:
    explicit RawServer(struct runtime *runtime, std::string answer)
        : runtime(runtime), answer(std::move(answer)),
          listener(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
    {
        struct sockaddr_in any = {};
        any.sin_family = AF_INET;
        any.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        bind(listener, reinterpret_cast<sockaddr *>(&any), sizeof(any));
        listen(listener, 8);
        socklen_t size = sizeof(any);
        getsockname(listener, reinterpret_cast<sockaddr *>(&any), &size);
        port = ntohs(any.sin_port);
    }

    ~RawServer()
    {
        close(listener);
    }

    void serve_until(const Answer &result)
    {
        const int64_t end_us = runtime_now_us(runtime) + 10 * US_PER_SECOND;
        while (result.count == 0 && runtime_now_us(runtime) < end_us) {
            const int fd = accept(listener, nullptr, nullptr);
            for (int i = 0; fd >= 0 && i < 10; i++) {
                runtime_poll(runtime);
            }
            if (fd >= 0) {
                char request[4096];
                EXPECT_GT(recv(fd, request, sizeof(request), 0), 0);
                EXPECT_GE(send(fd, answer.data(), answer.size(), 0), 0);
                close(fd);
            }
            runtime_poll(runtime);
        }
        EXPECT_EQ(1, result.count);
    }

    struct runtime *runtime;
    std::string answer;
    int listener;
    uint16_t port = 0;
};

std::string
http_answer(const std::string &body, size_t extra_length = 0)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " +
           std::to_string(body.size() + extra_length) + "\r\n\r\n" + body;
}

TEST_F(StoreHttp, MalformedAnswerIsUnknownForCommitsAndUnavailableForReads)
{
    const std::vector<std::string> answers = {
        "",
        "garbage\r\n\r\n",
        http_answer(""),
        http_answer("{}"),
        http_answer(R"({"outcome":"committed"})"),
        http_answer(R"({"outcome":"committed","version":-1})"),
        http_answer(R"({"outcome":"committed","version":1})", 5),
        http_answer(R"({"outcome":"conflict"})"),
        http_answer(R"({"version":1,"more":false,"rows":[]})"),
        http_answer(R"({"version":1,"more":false,"rows":[{"row":"z",)"
                    R"("version":1,"txn":"00","value":{}}]})"),
    };
    for (const std::string &bytes : answers) {
        RawServer raw(runtime, bytes);
        connect(raw.port);
        Answer written;
        commit("a", 0, &written);
        raw.serve_until(written);
        EXPECT_EQ(STORE_UNKNOWN, written.outcome) << bytes;
        connect(raw.port);
        Answer read;
        store_read(&store, "t", "a", on_read, &read);
        raw.serve_until(read);
        EXPECT_EQ(STORE_UNAVAILABLE, read.outcome) << bytes;
    }
}

/** Sends bytes to the stand-in and reads until it closes the connection. */
std::string
talk_raw(struct runtime *runtime, uint16_t port, const std::string &bytes)
{
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    struct sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(0, connect(fd, reinterpret_cast<struct sockaddr *>(&address),
                         sizeof(address)));
    EXPECT_EQ(static_cast<ssize_t>(bytes.size()),
              send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL));
    shutdown(fd, SHUT_WR);
    std::string answer;
    ssize_t size = -1;
    for (int i = 0; i < 10000 && size != 0; i++) {
        runtime_poll(runtime);
        char buffer[4096];
        size = recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT);
        answer.append(buffer, size > 0 ? size : 0);
    }
    close(fd);
    return answer;
}

TEST_F(StoreHttp, CorruptedRowsAreUnavailableOrMatchTheRequest)
{
    const std::string valid =
        R"({"version":7,"more":false,"rows":[{"row":"a","version":5,)"
        R"("txn":"00000000000000aa","value":{"b":1}}]})";
    struct random_state random;
    random_seed(&random, 6);
    size_t committed = 0;
    for (int i = 0; i < 300; i++) {
        std::string body = valid;
        body[random_below(&random, body.size())] =
            static_cast<char>(' ' + random_below(&random, 95));
        RawServer raw(runtime, http_answer(body));
        connect(raw.port);
        Answer read;
        store_read(&store, "t", "a", on_read, &read);
        raw.serve_until(read);
        EXPECT_EQ(read.outcome == STORE_COMMITTED ? "a;" : "", read.text)
            << body;
        committed += read.outcome == STORE_COMMITTED;
    }
    EXPECT_GT(committed, 0U);
    EXPECT_LT(committed, 150U);
}

TEST_F(StoreHttp, StandinServesReadsAfterCorruptedRequests)
{
    const std::vector<std::string> bodies = {
        R"({"id":"00000000000000aa","expect":[{"table":"t","row":"a",)"
        R"("version":0}],"write":[{"table":"t","row":"a","value":{"b":1}}]})",
        R"({"latency_ms":0,"down":false,"lose_answers_percent":0,)"
        R"("delay_writes_ms":0,"conflict_percent":0})",
    };
    struct random_state random;
    random_seed(&random, 9);
    for (int i = 0; i < 400; i++) {
        const size_t which = random_below(&random, bodies.size());
        std::string bytes =
            (which == 0 ? "POST /v1/commit" : "POST /v1/faults") +
            std::string(" HTTP/1.1\r\nContent-Length: ") +
            std::to_string(bodies[which].size()) + "\r\n\r\n" + bodies[which];
        const size_t changes = random_below(&random, 4);
        for (size_t c = 0; c < changes; c++) {
            bytes[random_below(&random, bytes.size())] =
                static_cast<char>(random_u64(&random));
        }
        talk_raw(runtime, store_server_port(server), bytes);
        set_faults([](auto *) {});
    }
    Answer read;
    store_read(&store, "t", "a", on_read, &read);
    wait(read);
    EXPECT_EQ("a;", read.text);
}

TEST(Faults, JsonRoundTripsAllFieldsAndRejectsUnknownOnes)
{
    json_t *document =
        json_pack("{s:i, s:b, s:i, s:i, s:i, s:i, s:i}", "latency_ms", 1,
                  "down", 1, "lose_answers_percent", 2,
                  "lose_write_answers_percent", 3, "delay_writes_percent", 4,
                  "delay_writes_ms", 5, "conflict_percent", 6);
    struct document_problems problems = {};
    struct store_faults faults;
    ASSERT_TRUE(store_faults_parse(document, &faults, &problems));
    json_t *encoded = store_faults_to_json(&faults);
    EXPECT_TRUE(json_equal(document, encoded));
    json_decref(encoded);
    json_object_set_new(document, "latency", json_integer(1));
    EXPECT_FALSE(store_faults_parse(document, &faults, &problems));
    json_decref(document);
}

TEST_F(StoreHttp, CorruptedAnswerNeverCountsAsCommitted)
{
    struct random_state random;
    random_seed(&random, 4);
    const std::string valid =
        http_answer(R"({"outcome":"committed","version":17})");
    for (int i = 0; i < 200; i++) {
        std::string bytes = valid;
        const size_t changes = random_below(&random, 6);
        for (size_t c = 0; c < changes; c++) {
            bytes[random_below(&random, bytes.size())] =
                static_cast<char>(random_u64(&random));
        }
        bytes.resize(random_below(&random, bytes.size()));
        RawServer raw(runtime, bytes);
        connect(raw.port);
        Answer written;
        commit("a", 0, &written);
        raw.serve_until(written);
        EXPECT_EQ(STORE_UNKNOWN, written.outcome) << bytes;
    }
}

} // namespace
