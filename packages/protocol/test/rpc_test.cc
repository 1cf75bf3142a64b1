#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <fstream>
#include <string>
#include <vector>

extern "C" {
#include "base/counter.h"
#include "base/random.h"
#include "base/runtime.h"
#include "protocol/generated/forward.h"
#include "protocol/procedures.h"
#include "protocol/rpc.h"
#include "protocol/rpcmessage.h"
}

namespace {

/** A node on a free port of 127.0.0.1, served by the test's handlers. */
class RpcTest : public ::testing::Test {
  protected:
    void SetUp() override
    {
        runtime = runtime_create(nullptr);
        counters = counter_registry_create();
        struct address any;
        address_parse("127.0.0.1:0", &any, nullptr);
        struct error err = {};
        server = rpc_node_create(runtime, &any, counters, &err);
        client = rpc_node_create(runtime, &any, counters, &err);
        ASSERT_NE(nullptr, server);
        ASSERT_NE(nullptr, client);
        struct rpc_procedure forward = {};
        forward.number = PROCEDURE_FORWARD;
        forward.channel = RPC_TCP;
        forward.decode_args = reinterpret_cast<xdrproc_t>(xdr_forward_request);
        forward.args_size = sizeof(forward_request);
        forward.encode_result = reinterpret_cast<xdrproc_t>(xdr_forward_reply);
        forward.handle = OnForward;
        forward.cancelled = OnCancelled;
        forward.ctx = this;
        rpc_node_serve(server, &forward);
        struct rpc_procedure echo = {};
        echo.number = PROCEDURE_RENEW;
        echo.channel = RPC_UDP;
        echo.decode_args = reinterpret_cast<xdrproc_t>(xdr_uint64_t);
        echo.args_size = sizeof(uint64_t);
        echo.encode_result = echo.decode_args;
        echo.handle = OnEcho;
        rpc_node_serve(server, &echo);
    }

    void TearDown() override
    {
        rpc_node_destroy(client);
        rpc_node_destroy(server);
        counter_registry_destroy(counters);
        runtime_destroy(runtime);
    }

    static void OnForward(void *ctx, struct rpc_request *request,
                          const void *args)
    {
        auto *test = static_cast<RpcTest *>(ctx);
        const auto *in = static_cast<const forward_request *>(args);
        if (std::string(in->key) == "hold") {
            test->held.push_back(request);
            return;
        }
        Answer(request, in);
    }

    static void Answer(struct rpc_request *request, const forward_request *in)
    {
        forward_reply reply = {};
        reply.owner = const_cast<char *>("");
        reply.status = 200;
        reply.headers.headers_len = in->headers.headers_len;
        reply.headers.headers_val = in->headers.headers_val;
        reply.body.body_len = in->body.body_len;
        reply.body.body_val = in->body.body_val;
        rpc_request_reply(request, &reply);
    }

    static void OnCancelled(void *ctx, struct rpc_request *request)
    {
        static_cast<RpcTest *>(ctx)->cancelled++;
        (void)request;
    }

    static void OnEcho(void *ctx, struct rpc_request *request,
                       const void *args)
    {
        (void)ctx;
        rpc_request_reply(request, args);
    }

    static void OnDone(void *ctx, enum rpc_status status, const void *result)
    {
        auto *test = static_cast<RpcTest *>(ctx);
        test->statuses.push_back(status);
        if (result != nullptr) {
            const auto *reply = static_cast<const forward_reply *>(result);
            test->bodies.emplace_back(reply->body.body_val,
                                      reply->body.body_len);
        }
    }

    static void OnEchoDone(void *ctx, enum rpc_status status,
                           const void *result)
    {
        auto *test = static_cast<RpcTest *>(ctx);
        test->statuses.push_back(status);
        if (result != nullptr) {
            test->echoes.push_back(*static_cast<const uint64_t *>(result));
        }
    }

    struct rpc_call *Call(const std::string &key, const std::string &body,
                          const struct address *peer,
                          int64_t timeout_us = 5 * US_PER_SECOND)
    {
        static char empty[] = "";
        forward_request request = {};
        request.service = request.request_id = empty;
        request.method = request.target = empty;
        request.key = const_cast<char *>(key.c_str());
        request.body.body_len = static_cast<u_int>(body.size());
        request.body.body_val = const_cast<char *>(body.data());
        struct rpc_call_spec spec = {};
        spec.peer = peer;
        spec.channel = RPC_TCP;
        spec.procedure = PROCEDURE_FORWARD;
        spec.encode_args = reinterpret_cast<xdrproc_t>(xdr_forward_request);
        spec.args = &request;
        spec.decode_result = reinterpret_cast<xdrproc_t>(xdr_forward_reply);
        spec.result_size = sizeof(forward_reply);
        spec.timeout_us = timeout_us;
        spec.done = OnDone;
        spec.ctx = this;
        return rpc_call_start(client, &spec);
    }

    struct rpc_call *Echo(uint64_t value, int64_t timeout_us)
    {
        struct rpc_call_spec spec = {};
        spec.peer = rpc_node_address(server);
        spec.channel = RPC_UDP;
        spec.procedure = PROCEDURE_RENEW;
        spec.encode_args = reinterpret_cast<xdrproc_t>(xdr_uint64_t);
        spec.args = &value;
        spec.decode_result = spec.encode_args;
        spec.result_size = sizeof(uint64_t);
        spec.timeout_us = timeout_us;
        spec.done = OnEchoDone;
        spec.ctx = this;
        return rpc_call_start(client, &spec);
    }

    /** Runs the loop until the condition holds or ten seconds are over. */
    template <typename Condition>
    bool Until(Condition condition, int64_t ms = 10000)
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

    int64_t Count(const char *name)
    {
        return counter_add(counters, name, "")->value;
    }

    struct runtime *runtime = nullptr;
    struct counter_registry *counters = nullptr;
    struct rpc_node *server = nullptr;
    struct rpc_node *client = nullptr;
    std::vector<struct rpc_request *> held;
    std::vector<enum rpc_status> statuses;
    std::vector<std::string> bodies;
    std::vector<uint64_t> echoes;
    int cancelled = 0;
};

TEST_F(RpcTest, AnswersArriveWholeOnOneConnection)
{
    std::vector<std::string> sent;
    for (size_t i = 0; i < 50; i++) {
        sent.push_back(std::string(i * 37, static_cast<char>('a' + i % 26)));
        Call("k", sent.back(), rpc_node_address(server));
    }
    ASSERT_TRUE(Until([&] { return statuses.size() == 50; }));
    EXPECT_EQ(sent, bodies);
    EXPECT_EQ(1, Count("rpc_connects"));
}

TEST_F(RpcTest, BigBodiesComeBackWhole)
{
    for (const size_t size : {8U << 20, 16U << 20}) {
        std::string body(size, '\0');
        for (size_t i = 0; i < size; i++) {
            body[i] = static_cast<char>(i * 2654435761U >> 24);
        }
        bodies.clear();
        Call("k", body, rpc_node_address(server));
        ASSERT_TRUE(Until([&] { return !bodies.empty(); }));
        EXPECT_TRUE(bodies[0] == body);
    }
}

TEST_F(RpcTest, AnswersThatCrossReachTheirOwnCalls)
{
    Call("hold", "first", rpc_node_address(server));
    Call("hold", "second", rpc_node_address(server));
    ASSERT_TRUE(Until([&] { return held.size() == 2; }));
    for (const size_t i : {1, 0}) {
        forward_reply reply = {};
        reply.owner = const_cast<char *>("");
        reply.body.body_val = const_cast<char *>(i == 0 ? "1" : "2");
        reply.body.body_len = 1;
        rpc_request_reply(held[i], &reply);
    }
    ASSERT_TRUE(Until([&] { return statuses.size() == 2; }));
    EXPECT_EQ((std::vector<std::string>{"2", "1"}), bodies);
}

TEST_F(RpcTest, TimeoutCancelsAtThePeerAndALateAnswerIsDropped)
{
    Call("hold", "", rpc_node_address(server), 20 * US_PER_MS);
    ASSERT_TRUE(Until([&] { return statuses.size() == 1 && cancelled == 1; }));
    EXPECT_EQ(RPC_TIMED_OUT, statuses[0]);
    forward_reply reply = {};
    reply.owner = const_cast<char *>("");
    rpc_request_reply(held[0], &reply);
    Call("k", "next", rpc_node_address(server));
    ASSERT_TRUE(Until([&] { return statuses.size() == 2; }));
    EXPECT_EQ((std::vector<std::string>{"next"}), bodies);
}

TEST_F(RpcTest, CancelEndsTheCallWithoutACallback)
{
    struct rpc_call *call = Call("hold", "", rpc_node_address(server));
    ASSERT_TRUE(Until([&] { return held.size() == 1; }));
    rpc_call_cancel(call);
    ASSERT_TRUE(Until([&] { return cancelled == 1; }));
    rpc_request_drop(held[0]);
    EXPECT_TRUE(statuses.empty());
}

TEST_F(RpcTest, RefusedConnectionIsTold)
{
    const struct address gone = *rpc_node_address(server);
    rpc_node_destroy(server);
    server = nullptr;
    Call("k", "", &gone);
    EXPECT_TRUE(statuses.empty());
    ASSERT_TRUE(Until([&] { return statuses.size() == 1; }));
    EXPECT_EQ(RPC_REFUSED_BY_HOST, statuses[0]);
}

TEST_F(RpcTest, LostPeerClosesCallsThatWereSent)
{
    Call("hold", "", rpc_node_address(server));
    ASSERT_TRUE(Until([&] { return held.size() == 1; }));
    rpc_node_destroy(server);
    server = nullptr;
    ASSERT_TRUE(Until([&] { return statuses.size() == 1; }));
    EXPECT_EQ(RPC_CLOSED, statuses[0]);
}

TEST_F(RpcTest, DatagramsAreAnsweredAndOversizeIsNotSent)
{
    Echo(UINT64_C(0x0123456789abcdef), US_PER_SECOND);
    ASSERT_TRUE(Until([&] { return echoes.size() == 1; }));
    EXPECT_EQ(UINT64_C(0x0123456789abcdef), echoes[0]);
    Call("k", std::string(RPC_RECORD_MAX + 1, 'x'), rpc_node_address(server));
    ASSERT_TRUE(Until([&] { return statuses.size() == 2; }));
    EXPECT_EQ(RPC_NOT_SENT, statuses[1]);
}

/** A valid call of PROCEDURE_FORWARD without the record mark. */
std::string
EncodedCall(uint32_t xid, uint32_t procedure)
{
    static char text[] = "text";
    forward_request request = {};
    request.service = request.key = request.request_id = text;
    request.method = request.target = text;
    const auto encode = reinterpret_cast<xdrproc_t>(xdr_forward_request);
    std::string message(rpc_call_size(encode, &request), '\0');
    EXPECT_TRUE(rpc_call_encode(message.data(), message.size(), xid, procedure,
                                encode, &request));
    return message;
}

std::string
Record(const std::string &message, uint32_t flag = 0x80000000U)
{
    const uint32_t mark = htonl(flag | static_cast<uint32_t>(message.size()));
    return std::string(reinterpret_cast<const char *>(&mark), 4) + message;
}

/** A raw connection to the server. */
class RawPeer {
  public:
    RawPeer(const struct address *address, int type)
        : fd(socket(AF_INET, type, 0))
    {
        const auto *sa =
            reinterpret_cast<const struct sockaddr *>(&address->storage);
        EXPECT_EQ(0, connect(fd, sa, address->length));
    }
    ~RawPeer()
    {
        close(fd);
    }
    void Send(const std::string &data) const
    {
        send(fd, data.data(), data.size(), MSG_NOSIGNAL);
    }
    /** What has come so far; "closed" once the server has closed. */
    std::string Receive() const
    {
        char buffer[4096];
        const ssize_t size = recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT);
        if (size == 0 || (size < 0 && errno != EAGAIN)) {
            return "closed";
        }
        return std::string(buffer, size > 0 ? static_cast<size_t>(size) : 0);
    }
    int fd;
};

TEST(RpcMessage, RandomBytesNeverCrashTheDecoder)
{
    struct random_state random;
    random_seed(&random, 7);
    const auto decode = reinterpret_cast<xdrproc_t>(xdr_forward_request);
    const std::string valid = EncodedCall(1, PROCEDURE_FORWARD);
    size_t whole = 0;
    for (int i = 0; i < 100000; i++) {
        std::string bytes = valid;
        const uint64_t changes = random_below(&random, 6);
        for (uint64_t j = 0; j < changes; j++) {
            bytes[random_below(&random, bytes.size())] =
                static_cast<char>(random_u64(&random));
        }
        if (random_chance(&random, 0.3)) {
            bytes.resize(random_below(&random, bytes.size()));
        }
        XDR xdr;
        xdrmem_create(&xdr, bytes.data(), static_cast<u_int>(bytes.size()),
                      XDR_DECODE);
        const struct rpc_header header = rpc_header_decode(&xdr);
        if (header.verdict == RPC_VERDICT_OK && header.is_call) {
            void *body = rpc_body_decode(&xdr, bytes.size(), decode,
                                         sizeof(forward_request));
            whole += body != nullptr ? 1 : 0;
            rpc_body_free(body, decode);
        }
    }
    EXPECT_LT(10000U, whole);
}

std::string
Hex(const std::string &bytes)
{
    std::string text;
    char digits[4];
    for (size_t i = 0; i < bytes.size(); i++) {
        snprintf(digits, sizeof(digits), "%02x",
                 static_cast<unsigned char>(bytes[i]));
        text += digits;
        text += i % 32 == 31 || i + 1 == bytes.size() ? "\n" : "";
    }
    return text + "\n";
}

/** The bytes on the wire may not change without a new version. */
TEST(RpcMessage, WireFormatIsThatOfTheGoldenFile)
{
    static char text[] = "text";
    struct forward_header header = {text, text};
    forward_reply reply = {};
    reply.outcome = FORWARD_NOT_RUN;
    reply.reason = FORWARD_REASON_COLD;
    reply.owner = text;
    reply.owner_epoch = 0x0102030405060708;
    reply.load.limit = 20;
    reply.load.cold = TRUE;
    reply.status = 503;
    reply.headers.headers_len = 1;
    reply.headers.headers_val = &header;
    reply.body.body_len = 3;
    reply.body.body_val = text;
    const auto encode = reinterpret_cast<xdrproc_t>(xdr_forward_reply);
    std::string message(rpc_reply_size(encode, &reply), '\0');
    ASSERT_TRUE(
        rpc_reply_encode(message.data(), message.size(), 9, encode, &reply));
    std::string session =
        Hex(EncodedCall(9, PROCEDURE_FORWARD)) + Hex(message);
    for (int i = RPC_VERDICT_GARBAGE; i < RPC_VERDICT_COUNT; i++) {
        char refusal[64];
        const size_t size = rpc_refusal_encode(
            refusal, sizeof(refusal), 9, static_cast<enum rpc_verdict>(i));
        session += Hex(std::string(refusal, size));
    }
    const char *path = SOURCE_DIR "/packages/protocol/test/golden/wire.txt";
    if (getenv("CHESTNUTGAP_UPDATE_GOLDEN") != nullptr) {
        std::ofstream(path) << session;
    }
    std::ifstream file(path);
    const std::string golden((std::istreambuf_iterator<char>(file)),
                             std::istreambuf_iterator<char>());
    EXPECT_EQ(golden, session);
}

TEST_F(RpcTest, RandomBytesOnLiveSocketsDoNoHarm)
{
    struct random_state random;
    random_seed(&random, 11);
    for (int i = 0; i < 200; i++) {
        const RawPeer stream(rpc_node_address(server), SOCK_STREAM);
        const RawPeer datagram(rpc_node_address(server), SOCK_DGRAM);
        std::string bytes(random_below(&random, 2000), '\0');
        for (char &byte : bytes) {
            byte = static_cast<char>(random_u64(&random));
        }
        if (random_chance(&random, 0.5)) {
            bytes = Record(bytes);
        }
        stream.Send(bytes);
        datagram.Send(bytes);
        runtime_poll(runtime);
    }
    Call("k", "alive", rpc_node_address(server));
    ASSERT_TRUE(Until([&] { return !bodies.empty(); }));
    EXPECT_EQ("alive", bodies[0]);
    EXPECT_LT(100, Count("rpc_garbage_messages"));
}

TEST_F(RpcTest, RefusalsSayWhyAndKeepTheConnection)
{
    const RawPeer peer(rpc_node_address(server), SOCK_STREAM);
    std::string other_rpc = EncodedCall(1, PROCEDURE_FORWARD);
    other_rpc[11] = 3;
    std::string other_version = EncodedCall(2, PROCEDURE_FORWARD);
    other_version[19] = 9;
    const std::string unknown = EncodedCall(3, 31);
    const std::string wrong_channel = EncodedCall(4, PROCEDURE_RENEW);
    std::string trailing = EncodedCall(5, PROCEDURE_FORWARD) + "abcd";
    peer.Send(Record(other_rpc) + Record(other_version) + Record(unknown) +
              Record(wrong_channel) + Record(trailing));
    std::string got;
    const size_t denied = 4 + 24;
    const size_t mismatch = 4 + 32;
    const size_t plain = 4 + 24;
    ASSERT_TRUE(Until([&] {
        got += peer.Receive();
        return got.size() >= denied + mismatch + 3 * plain;
    }));
    EXPECT_EQ(1, got[4 + 11]);                 /* denied */
    EXPECT_EQ(2, got[denied + 4 + 23]);        /* program mismatch */
    EXPECT_EQ(3, got[denied + mismatch + 27]); /* procedure unavailable */
    EXPECT_EQ(2, Count("rpc_version_mismatches"));
    EXPECT_EQ(2, Count("rpc_unknown_procedures"));
    EXPECT_EQ(1, Count("rpc_garbage_messages"));
    peer.Send(Record(EncodedCall(6, PROCEDURE_FORWARD)));
    got.clear();
    EXPECT_TRUE(Until([&] {
        got += peer.Receive();
        return !got.empty();
    }));
}

TEST_F(RpcTest, OversizeAndCutRecordsCloseTheConnection)
{
    const RawPeer big(rpc_node_address(server), SOCK_STREAM);
    const uint32_t mark = htonl(0x80000000U | (RPC_RECORD_MAX + 1));
    big.Send(std::string(reinterpret_cast<const char *>(&mark), 4));
    EXPECT_TRUE(Until([&] { return big.Receive() == "closed"; }));
    EXPECT_EQ(1, Count("rpc_oversize_messages"));
    {
        const RawPeer cut(rpc_node_address(server), SOCK_STREAM);
        cut.Send(Record(EncodedCall(1, PROCEDURE_FORWARD)).substr(0, 30));
        Until([] { return false; }, 20);
    }
    EXPECT_TRUE(Until([&] { return Count("rpc_cut_messages") == 1; }));
}

TEST_F(RpcTest, RecordsInFragmentsAndPiecesAreJoined)
{
    const RawPeer peer(rpc_node_address(server), SOCK_STREAM);
    const std::string call = EncodedCall(1, PROCEDURE_FORWARD);
    const std::string pieces = Record(call.substr(0, 10), 0) +
                               Record(call.substr(10, 30), 0) +
                               Record(call.substr(40));
    for (const char c : pieces) {
        peer.Send(std::string(1, c));
        runtime_poll(runtime);
    }
    std::string got;
    EXPECT_TRUE(Until([&] {
        got += peer.Receive();
        return !got.empty();
    }));
    EXPECT_EQ(1, Count("rpc_requests"));
    EXPECT_EQ(0, Count("rpc_garbage_messages"));
}

TEST_F(RpcTest, AReaderThatStopsIsNotReadFromEither)
{
    const RawPeer peer(rpc_node_address(server), SOCK_STREAM);
    const std::string body(1U << 20, 'x');
    forward_request request = {};
    static char empty[] = "";
    request.service = request.key = request.request_id = empty;
    request.method = request.target = empty;
    request.body.body_len = static_cast<u_int>(body.size());
    request.body.body_val = const_cast<char *>(body.data());
    const auto encode = reinterpret_cast<xdrproc_t>(xdr_forward_request);
    std::string message(rpc_call_size(encode, &request), '\0');
    rpc_call_encode(message.data(), message.size(), 1, PROCEDURE_FORWARD,
                    encode, &request);
    const std::string record = Record(message);
    const struct timeval patience = {0, 50000};
    setsockopt(peer.fd, SOL_SOCKET, SO_SNDTIMEO, &patience, sizeof(patience));
    size_t sent = 0;
    for (int i = 0; i < 200 && Count("rpc_slow_readers") == 0; i++) {
        for (size_t offset = 0; offset < record.size();) {
            const ssize_t size =
                send(peer.fd, record.data() + offset, record.size() - offset,
                     MSG_DONTWAIT | MSG_NOSIGNAL);
            offset += size > 0 ? static_cast<size_t>(size) : 0;
            runtime_poll(runtime);
            if (Count("rpc_slow_readers") > 0) {
                break;
            }
        }
        sent++;
    }
    EXPECT_EQ(1, Count("rpc_slow_readers"));
    EXPECT_GT(64U, sent);
}

} // namespace
