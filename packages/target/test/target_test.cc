#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <vector>

extern "C" {
#include "base/counter.h"
#include "base/log.h"
#include "base/runtime.h"
#include "http/httpclient.h"
#include "http/httpserver.h"
#include "target/target.h"
}

namespace {

/** The adapter, with an HTTP server as its target. */
class TargetTest : public ::testing::Test {
  protected:
    void SetUp() override
    {
        log_init(stderr, LOG_LEVEL_OFF);
        runtime = runtime_create(nullptr);
        counters = counter_registry_create();
        struct target_config config = {};
        address_parse("127.0.0.1:0", &config.announce_address, nullptr);
        config.changed = OnChange;
        config.ctx = this;
        target = target_create(runtime, &config, counters, nullptr);
        ASSERT_NE(nullptr, target);
        StartTarget();
        struct http_client_config client = {};
        client.address = *target_announce_address(target);
        announcer = http_client_create(runtime, &client, counters);
    }

    void TearDown() override
    {
        target_destroy(target);
        http_client_destroy(announcer);
        http_server_destroy(server);
        counter_registry_destroy(counters);
        runtime_destroy(runtime);
    }

    void StartTarget()
    {
        struct http_server_config config = {};
        address_parse("127.0.0.1:0", &config.address, nullptr);
        config.handle = OnRequest;
        config.ctx = this;
        server = http_server_create(runtime, &config, counters, nullptr);
    }

    void KillTarget()
    {
        http_server_destroy(server);
        server = nullptr;
        held.clear();
    }

    static void OnChange(void *ctx, enum target_change change)
    {
        static_cast<TargetTest *>(ctx)->changes.push_back(change);
    }

    static void OnRequest(void *ctx, struct http_request *request)
    {
        auto *test = static_cast<TargetTest *>(ctx);
        size_t size;
        const char *body =
            static_cast<const char *>(http_request_body(request, &size));
        const std::string path = http_request_path(request);
        test->received.push_back(std::string(http_request_method(request)) +
                                 " " + path + " " + std::string(body, size));
        if (path == "/hold") {
            test->held.push_back(request);
            return;
        }
        struct http_reply reply = {};
        reply.status = 200;
        std::string answer = "{\"status\":\"ok\",\"incarnation\":\"" +
                             test->incarnation +
                             "\",\"in_flight\":3,\"cold\":true}";
        struct http_header headers[] = {{"Retry-After", "2"},
                                        {TARGET_NOT_RUN_HEADER, "1"}};
        if (path == "/shed") {
            reply.status = 503;
            reply.headers = headers;
            reply.header_count = 2;
        }
        else if (path == "/echo-epoch") {
            const char *epoch =
                http_request_header(request, TARGET_EPOCH_HEADER);
            answer = epoch != nullptr ? epoch : "none";
        }
        reply.body = answer.data();
        reply.body_size = answer.size();
        http_request_reply(request, &reply);
    }

    struct Result {
        enum target_outcome outcome;
        enum target_reason reason;
        unsigned retry_after_ms;
        std::string body;
    };

    static void OnDone(void *ctx, const struct target_result *result)
    {
        const auto *body = static_cast<const char *>(result->body);
        static_cast<TargetTest *>(ctx)->results.push_back(
            {result->outcome, result->reason, result->retry_after_ms,
             std::string(body != nullptr ? body : "", result->body_size)});
    }

    struct target_call *Forward(const char *path,
                                int64_t timeout_us = 5 * US_PER_SECOND)
    {
        struct target_request request = {};
        request.method = "GET";
        request.path = path;
        request.keyed = true;
        request.epoch = 7;
        request.deadline_us = runtime_now_us(runtime) + timeout_us;
        request.request_id = "id-1";
        request.done = OnDone;
        request.ctx = this;
        return target_forward(target, &request);
    }

    /** Posts an announcement; returns the status. */
    unsigned Post(const std::string &path, const std::string &body)
    {
        unsigned status = 0;
        struct http_call_spec spec = {};
        spec.method = "POST";
        spec.target = path.c_str();
        spec.body = body.data();
        spec.body_size = body.size();
        spec.deadline_us = runtime_now_us(runtime) + US_PER_SECOND;
        spec.done = [](void *ctx, const struct http_result *result) {
            *static_cast<unsigned *>(ctx) = result->status;
        };
        spec.ctx = &status;
        http_call_start(announcer, &spec);
        RunUntil([&] { return status != 0; });
        return status;
    }

    std::string Announcement(const std::string &name, unsigned connections)
    {
        char text[ADDRESS_TEXT_SIZE];
        incarnation = name;
        return "{\"service\":\"s\",\"incarnation\":\"" + name +
               "\",\"address\":\"" +
               address_format(http_server_address(server), text) +
               "\",\"slots\":4,\"connections\":" +
               std::to_string(connections) + "}";
    }

    bool RunUntil(const std::function<bool()> &condition)
    {
        const int64_t end_us = runtime_now_us(runtime) + 5 * US_PER_SECOND;
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

    bool WaitForResults(size_t count)
    {
        return RunUntil([&] { return results.size() >= count; });
    }

    struct runtime *runtime = nullptr;
    struct counter_registry *counters = nullptr;
    struct target *target = nullptr;
    struct http_server *server = nullptr;
    struct http_client *announcer = nullptr;
    std::string incarnation;
    std::vector<enum target_change> changes;
    std::vector<std::string> received;
    std::vector<struct http_request *> held;
    std::vector<Result> results;
};

TEST_F(TargetTest, WithoutTargetRequestsAreNotRun)
{
    Forward("/x");
    ASSERT_TRUE(WaitForResults(1));
    EXPECT_EQ(TARGET_NOT_RUN, results[0].outcome);
    EXPECT_EQ(TARGET_REASON_NO_TARGET, results[0].reason);
    EXPECT_EQ(nullptr, target_current(target));
}

TEST_F(TargetTest, ValidatesAndStoresAnnouncements)
{
    EXPECT_EQ(400U, Post("/v1/announce", "{\"service\":\"s\"}"));
    EXPECT_EQ(400U, Post("/v1/announce", ""));
    EXPECT_EQ(404U, Post("/v1/other", "{}"));
    EXPECT_EQ(404U, Post("/v1/withdraw", Announcement("a", 3)));
    EXPECT_EQ(200U, Post("/v1/announce", Announcement("a", 3)));
    EXPECT_EQ(200U, Post("/v1/announce", Announcement("a", 3)));
    EXPECT_EQ(200U, Post("/v1/announce", Announcement("a", 4)));
    EXPECT_EQ(200U, Post("/v1/announce", Announcement("b", 4)));
    EXPECT_EQ(200U, Post("/v1/withdraw", Announcement("b", 4)));
    EXPECT_EQ(
        (std::vector<enum target_change>{TARGET_ANNOUNCED, TARGET_UPDATED,
                                         TARGET_RESTARTED, TARGET_WITHDRAWN}),
        changes);
}

TEST_F(TargetTest, SendsGrantFieldsAndReportsShedRequestsAsNotRun)
{
    Post("/v1/announce", Announcement("a", 3));
    Forward("/echo-epoch");
    ASSERT_TRUE(WaitForResults(1));
    EXPECT_EQ("7", results[0].body);
    Forward("/shed");
    ASSERT_TRUE(WaitForResults(2));
    EXPECT_EQ(TARGET_NOT_RUN, results[1].outcome);
    EXPECT_EQ(TARGET_REASON_SHED, results[1].reason);
    EXPECT_EQ(2000U, results[1].retry_after_ms);
}

TEST_F(TargetTest, OpensAtMostTheDeclaredConnections)
{
    Post("/v1/announce", Announcement("a", 3));
    for (int i = 0; i < 10; i++) {
        Forward("/hold");
    }
    struct target_grant grant = {1, 1};
    target_put_grants(target, &grant, 1, 0, nullptr, nullptr);
    ASSERT_TRUE(RunUntil([&] { return received.size() == 3; }));
    EXPECT_EQ(3U, target_connections(target));
    EXPECT_EQ("PUT /chestnutgap/grants {\"expires_us\":0,\"grants\":[{"
              "\"shard\":1,\"epoch\":1}]}",
              received[2]);
}

TEST_F(TargetTest, DeadlineSendsCancelToTarget)
{
    Post("/v1/announce", Announcement("a", 3));
    Forward("/hold", 30 * US_PER_MS);
    ASSERT_TRUE(RunUntil([&] { return received.size() == 2; }));
    EXPECT_EQ(TARGET_UNKNOWN, results[0].outcome);
    EXPECT_EQ(TARGET_REASON_DEADLINE, results[0].reason);
    EXPECT_EQ("POST /chestnutgap/cancel {\"request_id\":\"id-1\"}",
              received[1]);
}

TEST_F(TargetTest, CrashEndsCallsAsUnknownAndIsReportedOnce)
{
    Post("/v1/announce", Announcement("a", 3));
    Forward("/hold");
    Forward("/hold");
    ASSERT_TRUE(RunUntil([&] { return held.size() == 2; }));
    KillTarget();
    ASSERT_TRUE(WaitForResults(2));
    EXPECT_EQ(TARGET_UNKNOWN, results[0].outcome);
    EXPECT_EQ(TARGET_REASON_CUT, results[1].reason);
    ASSERT_TRUE(RunUntil([&] { return changes.size() == 2; }));
    EXPECT_EQ(TARGET_LOST, changes[1]);
    EXPECT_EQ(nullptr, target_current(target));
    StartTarget();
    EXPECT_EQ(200U, Post("/v1/announce", Announcement("b", 3)));
    EXPECT_EQ(TARGET_ANNOUNCED, changes.back());
}

TEST_F(TargetTest, NewIncarnationEndsCallsOfFormerOne)
{
    Post("/v1/announce", Announcement("a", 2));
    Forward("/hold");
    ASSERT_TRUE(RunUntil([&] { return held.size() == 1; }));
    Forward("/hold"); /* waits for the only connection */
    EXPECT_EQ(200U, Post("/v1/announce", Announcement("b", 2)));
    ASSERT_TRUE(WaitForResults(2));
    EXPECT_EQ(TARGET_UNKNOWN, results[0].outcome);
    EXPECT_EQ(TARGET_NOT_RUN, results[1].outcome);
    EXPECT_EQ(TARGET_RESTARTED, changes.back());
    Forward("/echo-epoch");
    ASSERT_TRUE(WaitForResults(3));
    EXPECT_EQ(TARGET_ANSWERED, results[2].outcome);
}

TEST_F(TargetTest, ProbeReportsHealthAndLoad)
{
    Post("/v1/announce", Announcement("a", 2));
    struct target_report report = {};
    target_probe(
        target,
        [](void *ctx, const struct target_report *r) {
            *static_cast<struct target_report *>(ctx) = *r;
        },
        &report);
    ASSERT_TRUE(RunUntil([&] { return report.ok; }));
    EXPECT_EQ(3U, report.in_flight);
    EXPECT_TRUE(report.cold);
}

} // namespace
