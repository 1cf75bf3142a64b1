#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <vector>

extern "C" {
#include "base/counter.h"
#include "base/random.h"
#include "base/runtime.h"
#include "http/httpclient.h"
#include "standin/loadkeys.h"
#include "standin/loadresult.h"
#include "standin/loadrun.h"
#include "standin/targetserver.h"
#include "target/target.h"
}

namespace {

using Fields = std::vector<struct http_header>;

class TargetServer : public ::testing::Test {
  protected:
    void SetUp() override
    {
        runtime = runtime_create(nullptr);
        counters = counter_registry_create();
        config.service = "s";
        config.incarnation = "one";
        config.slots = 2;
        config.cold_limit = 1;
        config.latency_us = 20 * US_PER_MS;
        config.check_grants = true;
        address_parse("127.0.0.1:0", &config.listen, nullptr);
        Start();
    }

    void TearDown() override
    {
        Stop();
        counter_registry_destroy(counters);
        runtime_destroy(runtime);
    }

    void Stop()
    {
        http_client_destroy(client);
        target_server_destroy(server);
    }

    void Start()
    {
        server = target_server_create(runtime, &config, counters, nullptr);
        ASSERT_NE(nullptr, server);
        struct http_client_config to_server = {};
        to_server.address = *target_server_address(server);
        client = http_client_create(runtime, &to_server, counters);
    }

    struct Answer {
        bool ended = false;
        enum http_outcome outcome = HTTP_ANSWERED;
        unsigned status = 0;
        std::string not_run;
        std::string body;
    };

    static void OnDone(void *ctx, const struct http_result *result)
    {
        auto *answer = static_cast<Answer *>(ctx);
        answer->ended = true;
        answer->outcome = result->outcome;
        answer->status = result->status;
        if (result->outcome == HTTP_ANSWERED) {
            const char *reason =
                http_headers_find(result->headers, TARGET_NOT_RUN_HEADER);
            answer->not_run = reason != nullptr ? reason : "";
            answer->body.assign(static_cast<const char *>(result->body),
                                result->body_size);
        }
    }

    struct http_call *Send(Answer *answer, const char *method,
                           const char *path, const std::string &body = "",
                           const Fields &fields = {})
    {
        struct http_call_spec spec = {};
        spec.method = method;
        spec.target = path;
        spec.headers = fields.data();
        spec.header_count = fields.size();
        spec.body = body.data();
        spec.body_size = body.size();
        spec.deadline_us = runtime_now_us(runtime) + 5 * US_PER_SECOND;
        spec.done = OnDone;
        spec.ctx = answer;
        return http_call_start(client, &spec);
    }

    Answer Call(const char *method, const char *path,
                const std::string &body = "", const Fields &fields = {})
    {
        Answer answer;
        Send(&answer, method, path, body, fields);
        EXPECT_TRUE(WaitUntil([&] { return answer.ended; }));
        return answer;
    }

    bool WaitUntil(const std::function<bool()> &condition)
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

    struct runtime *runtime = nullptr;
    struct counter_registry *counters = nullptr;
    struct target_server_config config = {};
    struct target_server *server = nullptr;
    struct http_client *client = nullptr;
};

TEST_F(TargetServer, ShedsRequestsBeyondSlotsAndQueue)
{
    std::vector<Answer> answers(6);
    for (Answer &answer : answers) {
        Send(&answer, "POST", "/k", "", {{"Idempotency-Key", "id"}});
    }
    ASSERT_TRUE(WaitUntil([&] {
        return std::all_of(answers.begin(), answers.end(),
                           [](const Answer &a) { return a.ended; });
    }));
    std::map<unsigned, int> statuses;
    for (const Answer &answer : answers) {
        statuses[answer.status]++;
        EXPECT_EQ(answer.status == 503 ? "1" : "", answer.not_run);
    }
    EXPECT_EQ(4, statuses[200]);
    EXPECT_EQ(2, statuses[503]);
    EXPECT_EQ("{\"id\":4}", Call("GET", "/standin/ledger").body);
}

TEST_F(TargetServer, RefusesFormerOwnersExpiredGrantsAndExpiredDeadlines)
{
    const std::string later =
        std::to_string(runtime_now_us(runtime) + 60 * US_PER_SECOND);
    const auto not_run_reason = [&](const char *epoch,
                                    const std::string &expires) {
        return Call("GET", "/k", "",
                    {{TARGET_SHARD_HEADER, "3"},
                     {TARGET_EPOCH_HEADER, epoch},
                     {TARGET_EXPIRES_HEADER, expires.c_str()}})
            .not_run;
    };
    EXPECT_EQ("", not_run_reason("5", later));
    EXPECT_EQ("grant", not_run_reason("4", later));
    EXPECT_EQ("grant", not_run_reason("6", "1"));
    EXPECT_EQ("", not_run_reason("5", later));
    Call("DELETE", "/chestnutgap/grants",
         "{\"grants\":[{\"shard\":3,\"epoch\":5}]}");
    EXPECT_EQ("grant", not_run_reason("5", later));
    EXPECT_EQ("", not_run_reason("6", later));
    EXPECT_EQ("deadline",
              Call("GET", "/k", "", {{TARGET_DEADLINE_HEADER, "1"}}).not_run);
}

TEST_F(TargetServer, CancelledQueuedRequestIsNotRun)
{
    Answer running[2];
    Answer queued;
    Send(&running[0], "GET", "/a");
    Send(&running[1], "GET", "/b");
    Send(&queued, "POST", "/c", "", {{TARGET_ID_HEADER, "x"}});
    ASSERT_TRUE(
        WaitUntil([&] { return target_server_in_flight(server) == 3; }));
    EXPECT_EQ(
        "{\"cancelled\":true}",
        Call("POST", "/chestnutgap/cancel", "{\"request_id\":\"x\"}").body);
    ASSERT_TRUE(WaitUntil([&] { return running[1].ended && queued.ended; }));
    EXPECT_EQ("{}", Call("GET", "/standin/ledger").body);
}

TEST_F(TargetServer, FailsRequestsWhenOverloadedDuringColdStart)
{
    Call("POST", "/standin/faults", "{\"cold_ms\":60000}");
    EXPECT_EQ(200U, Call("GET", "/a").status);
    Answer pair[2];
    Send(&pair[0], "GET", "/a");
    Send(&pair[1], "GET", "/b");
    ASSERT_TRUE(WaitUntil([&] { return pair[0].ended && pair[1].ended; }));
    EXPECT_EQ(500U, pair[0].status);
    EXPECT_NE(std::string::npos,
              Call("GET", "/standin/stats").body.find("\"peak_cold\":2"));
}

TEST_F(TargetServer, CutFaultTruncatesAnswersAndDrainRefusesRequests)
{
    Call("POST", "/standin/faults", "{\"cut_answers_percent\":100}");
    EXPECT_EQ(HTTP_CONNECTION_LOST, Call("GET", "/a").outcome);
    Call("POST", "/standin/faults", "{\"cut_answers_percent\":0}");
    Call("POST", "/chestnutgap/drain", "{}");
    EXPECT_EQ("draining", Call("GET", "/a").not_run);
}

TEST_F(TargetServer, LoadRunCountsEveryRequestAndItsOutcome)
{
    Stop();
    config.latency_us = 0;
    config.slots = 100;
    config.seed = 9;
    Start();
    Call("POST", "/standin/faults",
         "{\"cut_answers_percent\":20,\"shed_percent\":10}");
    struct load_config load = {};
    load.entries[0] = *target_server_address(server);
    load.entry_count = 1;
    load.prefix = "/s";
    load.connections = 8;
    load.rate = 2000;
    load.seconds = 0.2;
    load.order_percent = 50;
    load.key_count = 100;
    load.zipf_exponent = 1;
    load.retries_max = 5;
    load.timeout_us = US_PER_SECOND;
    load.seed = 1;
    struct load_result *result = load_result_create();
    bool ended = false;
    struct load_run *run = load_run_create(
        runtime, &load, result,
        [](void *ctx) { *static_cast<bool *>(ctx) = true; }, &ended);
    ASSERT_TRUE(WaitUntil([&] { return ended; }));
    load_run_destroy(run);
    json_t *figures = load_result_to_json(result, 1);
    EXPECT_EQ(400, json_integer_value(json_object_get(figures, "requests")));
    EXPECT_EQ(nullptr, json_object_get(figures, "faults"));
    const json_t *outcomes = json_object_get(figures, "outcome");
    EXPECT_LT(10, json_integer_value(json_object_get(outcomes, "lost")));
    json_decref(figures);
    load_result_destroy(result);
}

TEST(LoadKeys, KeyFrequenciesFollowZipfExponent)
{
    struct random_state random;
    random_seed(&random, 1);
    struct load_keys *keys = load_keys_create(1000, 1);
    std::vector<int> counts(1000);
    for (int i = 0; i < 100000; i++) {
        counts.at(load_keys_next(keys, &random))++;
    }
    load_keys_destroy(keys);
    /* Weight of the first key: 1 / H(1000) = 0.1336. */
    EXPECT_NEAR(13360, counts[0], 600);
    EXPECT_NEAR(6680, counts[1], 450);
}

} // namespace
