#include "rpc_fixture.h"

namespace {

TEST_F(RpcTest, ConcurrentCallsShareOneConnection)
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

TEST_F(RpcTest, LargeBodiesArriveIntact)
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

TEST_F(RpcTest, RepliesOutOfOrderReachTheirCalls)
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

TEST_F(RpcTest, TimeoutCancelsAtThePeerAndLateReplyIsDropped)
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

TEST_F(RpcTest, CancelledCallGetsNoCallback)
{
    struct rpc_call *call = Call("hold", "", rpc_node_address(server));
    ASSERT_TRUE(Until([&] { return held.size() == 1; }));
    rpc_call_cancel(call);
    ASSERT_TRUE(Until([&] { return cancelled == 1; }));
    rpc_request_drop(held[0]);
    EXPECT_TRUE(statuses.empty());
}

TEST_F(RpcTest, RefusedConnectionIsReported)
{
    const struct address closed = *rpc_node_address(server);
    rpc_node_destroy(server);
    server = nullptr;
    Call("k", "", &closed);
    EXPECT_TRUE(statuses.empty());
    ASSERT_TRUE(Until([&] { return statuses.size() == 1; }));
    EXPECT_EQ(RPC_REFUSED_BY_HOST, statuses[0]);
}

TEST_F(RpcTest, LostPeerEndsSentCallsAsClosed)
{
    Call("hold", "", rpc_node_address(server));
    ASSERT_TRUE(Until([&] { return held.size() == 1; }));
    rpc_node_destroy(server);
    server = nullptr;
    ASSERT_TRUE(Until([&] { return statuses.size() == 1; }));
    EXPECT_EQ(RPC_CLOSED, statuses[0]);
}

/* Guards against: a message of which only a part was sent counts as received,
 * and its request as one that may have run. */
TEST_F(RpcTest, CallThatWasNotSentWholeEndsAsNotSent)
{
    Call("k", std::string(100 << 10, 'x'), rpc_node_address(server));
    ASSERT_TRUE(Until([&] { return statuses.size() == 1; }));
    const int64_t requests = Count("rpc_requests");
    Call("k", std::string(8 << 20, 'x'), rpc_node_address(server));
    Until([] { return false; }, 1);
    ASSERT_EQ(1U, statuses.size());
    rpc_node_close_outgoing(client);
    ASSERT_EQ(2U, statuses.size());
    EXPECT_EQ(RPC_NOT_SENT, statuses[1]);
    ASSERT_TRUE(Until([&] { return Count("rpc_cut_messages") == 1; }));
    EXPECT_EQ(requests, Count("rpc_requests"));
}

/* Guards against: a process that ends can't learn of its calls whether they
 * were begun. */
TEST_F(RpcTest, WithdrawnCallIsStillAnswered)
{
    struct rpc_call *call = Call("hold", "", rpc_node_address(server));
    Call("hold", "", rpc_node_address(server));
    ASSERT_TRUE(Until([&] { return held.size() == 2; }));
    rpc_call_withdraw(call);
    ASSERT_TRUE(Until([&] { return withdrawn.size() == 1; }));
    EXPECT_EQ(held[0], withdrawn[0]);
    EXPECT_TRUE(statuses.empty());
    const forward_request in = {};
    Answer(held[0], &in);
    ASSERT_TRUE(Until([&] { return statuses.size() == 1; }));
    EXPECT_EQ(RPC_OK, statuses[0]);
    /* The answer may cross the withdrawal. */
    call = Call("k", "", rpc_node_address(server));
    rpc_call_withdraw(call);
    ASSERT_TRUE(Until([&] { return statuses.size() == 2; }));
    EXPECT_EQ(0, Count("rpc_unknown_procedures"));
}

TEST_F(RpcTest, DatagramIsAnsweredAndOversizeCallIsNotSent)
{
    Echo(UINT64_C(0x0123456789abcdef), US_PER_SECOND);
    ASSERT_TRUE(Until([&] { return echoes.size() == 1; }));
    EXPECT_EQ(UINT64_C(0x0123456789abcdef), echoes[0]);
    Call("k", std::string(RPC_RECORD_MAX_BYTES + 1, 'x'),
         rpc_node_address(server));
    ASSERT_TRUE(Until([&] { return statuses.size() == 2; }));
    EXPECT_EQ(RPC_NOT_SENT, statuses[1]);
}

} // namespace
