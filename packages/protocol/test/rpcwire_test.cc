#include "rpc_fixture.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>

extern "C" {
#include "base/random.h"
#include "protocol/rpcmessage.h"
}

namespace {

/** A valid call with forward_request arguments, without the record mark. */
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

/** A socket connected to the server, without an RPC client. */
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
    /** Data available now; "closed" if the server closed the connection. */
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
    size_t decoded = 0;
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
        if (header.status == RPC_MESSAGE_OK && header.is_call) {
            void *body = rpc_body_decode(&xdr, bytes.size(), decode,
                                         sizeof(forward_request));
            decoded += body != nullptr ? 1 : 0;
            rpc_body_free(body, decode);
        }
    }
    EXPECT_LT(10000U, decoded);
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

/** The wire format must not change without a new protocol version. */
TEST(RpcMessage, WireFormatMatchesGoldenFile)
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
    for (int i = RPC_MESSAGE_GARBAGE; i < RPC_MESSAGE_STATUS_COUNT; i++) {
        char reply_bytes[64];
        const size_t size =
            rpc_error_reply_encode(reply_bytes, sizeof(reply_bytes), 9,
                                   static_cast<enum rpc_message_status>(i));
        session += Hex(std::string(reply_bytes, size));
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

TEST_F(RpcTest, ServerSurvivesRandomBytesOnItsSockets)
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

TEST_F(RpcTest, RejectedCallsGetReasonAndKeepConnection)
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
    std::string received;
    const size_t denied = 4 + 24;
    const size_t mismatch = 4 + 32;
    const size_t plain = 4 + 24;
    ASSERT_TRUE(Until([&] {
        received += peer.Receive();
        return received.size() >= denied + mismatch + 3 * plain;
    }));
    EXPECT_EQ(1, received[4 + 11]);                 /* denied */
    EXPECT_EQ(2, received[denied + 4 + 23]);        /* program mismatch */
    EXPECT_EQ(3, received[denied + mismatch + 27]); /* procedure unavailable */
    EXPECT_EQ(2, Count("rpc_version_mismatches"));
    EXPECT_EQ(2, Count("rpc_unknown_procedures"));
    EXPECT_EQ(1, Count("rpc_garbage_messages"));
    peer.Send(Record(EncodedCall(6, PROCEDURE_FORWARD)));
    received.clear();
    EXPECT_TRUE(Until([&] {
        received += peer.Receive();
        return !received.empty();
    }));
}

TEST_F(RpcTest, OversizeAndTruncatedRecordsCloseTheConnection)
{
    const RawPeer big(rpc_node_address(server), SOCK_STREAM);
    const uint32_t mark = htonl(0x80000000U | (RPC_RECORD_MAX_BYTES + 1));
    big.Send(std::string(reinterpret_cast<const char *>(&mark), 4));
    EXPECT_TRUE(Until([&] { return big.Receive() == "closed"; }));
    EXPECT_EQ(1, Count("rpc_oversize_messages"));
    {
        const RawPeer truncated(rpc_node_address(server), SOCK_STREAM);
        truncated.Send(
            Record(EncodedCall(1, PROCEDURE_FORWARD)).substr(0, 30));
        Until([] { return false; }, 20);
    }
    EXPECT_TRUE(Until([&] { return Count("rpc_cut_messages") == 1; }));
}

TEST_F(RpcTest, FragmentedRecordsAreReassembled)
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
    std::string received;
    EXPECT_TRUE(Until([&] {
        received += peer.Receive();
        return !received.empty();
    }));
    EXPECT_EQ(1, Count("rpc_requests"));
    EXPECT_EQ(0, Count("rpc_garbage_messages"));
}

TEST_F(RpcTest, PeerThatStopsReadingIsNotReadFrom)
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
    const struct timeval send_timeout = {0, 50000};
    setsockopt(peer.fd, SOL_SOCKET, SO_SNDTIMEO, &send_timeout,
               sizeof(send_timeout));
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

TEST_F(RpcTest, OutputToPeerThatDoesNotReadIsBounded)
{
    struct address address;
    address_parse("127.0.0.1:0", &address, nullptr);
    auto *sa = reinterpret_cast<struct sockaddr *>(&address.storage);
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    ASSERT_EQ(0, bind(listener, sa, address.length));
    ASSERT_EQ(0, listen(listener, 16));
    getsockname(listener, sa, &address.length);
    const std::string body(16U << 20, 'x');
    for (int i = 0; i < 6; i++) {
        Call("k", body, &address, US_PER_SECOND / 5);
        if (i == 4) {
            /* The calls that waited for the connection have been sent. */
            Until([] { return false; }, 20);
        }
    }
    ASSERT_TRUE(Until([&] { return statuses.size() == 6; }));
    EXPECT_EQ(2, std::count(statuses.begin(), statuses.end(), RPC_NOT_SENT));
    EXPECT_EQ(4, std::count(statuses.begin(), statuses.end(), RPC_TIMED_OUT));
    close(listener);
}

} // namespace
