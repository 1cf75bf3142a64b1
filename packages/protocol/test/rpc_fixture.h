/**
 * @file
 * Two RPC nodes on loopback, for tests.
 */
#ifndef CHESTNUTGAP_PROTOCOL_TEST_RPC_FIXTURE_H
#define CHESTNUTGAP_PROTOCOL_TEST_RPC_FIXTURE_H

#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "base/counter.h"
#include "base/runtime.h"
#include "protocol/generated/forward.h"
#include "protocol/procedures.h"
#include "protocol/rpc.h"
}

/** Two nodes on free ports of 127.0.0.1; the test handles received calls. */
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
        forward.withdrawn = OnWithdrawn;
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

    static void OnWithdrawn(void *ctx, struct rpc_request *request)
    {
        static_cast<RpcTest *>(ctx)->withdrawn.push_back(request);
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

    /** Runs the loop until the condition holds or the time is over. */
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
    std::vector<struct rpc_request *> withdrawn;
    std::vector<enum rpc_status> statuses;
    std::vector<std::string> bodies;
    std::vector<uint64_t> echoes;
    int cancelled = 0;
};

#endif
