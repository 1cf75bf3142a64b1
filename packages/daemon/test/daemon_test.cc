#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>

#include "deployment.h"

extern "C" {
#include "base/invariant.h"
#include "base/random.h"
#include "daemon/gatetask_internal.h"
}

namespace {

const char *const STATE = R"({
  "zones": [{"name": "llanidloes", "region": "powys"},
            {"name": "rhayader", "region": "powys"}],
  "services": [
    {"name": "patterns", "path_prefix": "/patterns",
     "key": {"source": "path", "segment": 1}, "shards": 16,
     "idempotent_methods": ["GET", "HEAD"], "slots": 20, "connections": 64,
     "cold_limit": 2, "cold_start_ms": 0, "deadline_ms": 4000,
     "deadline_max_ms": 8000, "targets_check_grants": false}]
})";

class DaemonTest : public ::testing::Test {
  protected:
    void SetUp() override
    {
        invariant_reset();
        deployment.Add("one", "llanidloes", "patterns");
        deployment.Add("two", "rhayader", "patterns");
        ASSERT_EQ(200U, deployment.announced);
        deployment.Apply(1, STATE);
        ASSERT_TRUE(deployment.Serves(0, "/patterns/key"));
        ASSERT_TRUE(deployment.Serves(1, "/patterns/key"));
    }

    void TearDown() override
    {
        for (int id = 0; id < INVARIANT_COUNT; id++) {
            const auto invariant = static_cast<enum invariant>(id);
            EXPECT_EQ(0, invariant_violations(invariant))
                << invariant_name(invariant);
        }
    }

    /** Sends bytes to a port, runs for 20 ms, closes, and runs for 5 ms. */
    void SendGarbage(const struct address &address, const std::string &bytes)
    {
        const int fd = socket(AF_INET, SOCK_STREAM, 0);
        ASSERT_EQ(0, connect(fd,
                             reinterpret_cast<const struct sockaddr *>(
                                 &address.storage),
                             address.length));
        send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        deployment.RunUntil([] { return false; }, 20);
        close(fd);
        deployment.RunUntil([] { return false; }, 5);
    }

    Deployment deployment;
};

TEST_F(DaemonTest, AnyEntryReachesTheOwnerOfAKey)
{
    for (int key = 0; key < 20; key++) {
        const std::string path = "/patterns/" + std::to_string(key);
        const Answer first = deployment.Send(0, "GET", path);
        const Answer second = deployment.Send(1, "GET", path);
        EXPECT_EQ(200U, first.status);
        EXPECT_EQ(200U, second.status);
        EXPECT_EQ("answered", first.outcome_header);
    }
}

TEST_F(DaemonTest, LargeBodiesAreForwardedCompletely)
{
    const size_t size = 8U << 20;
    const Answer sent = deployment.Send(
        0, "POST", "/patterns/big", std::string(size, 'x'), deployment.Id());
    EXPECT_EQ(200U, sent.status);
    EXPECT_NE(std::string::npos,
              sent.body.find("\"received\":" + std::to_string(size)));
    const Answer got = deployment.Send(
        1, "GET", "/patterns/big?size=" + std::to_string(size));
    EXPECT_EQ(200U, got.status);
    EXPECT_EQ(size, got.body.size());
}

TEST_F(DaemonTest, RetriedRequestIsAnsweredWithoutASecondExecution)
{
    const std::string id = deployment.Id();
    const Answer first =
        deployment.Send(0, "POST", "/patterns/order", "two saddles", id);
    const Answer second =
        deployment.Send(1, "POST", "/patterns/order", "two saddles", id);
    EXPECT_EQ(200U, first.status) << first.body;
    EXPECT_EQ(200U, second.status) << second.body;
    EXPECT_EQ(first.body, second.body);
    EXPECT_FALSE(first.replayed);
    EXPECT_TRUE(second.replayed);
    const Answer other =
        deployment.Send(0, "POST", "/patterns/order", "ten saddles", id);
    EXPECT_EQ(422U, other.status);
    EXPECT_EQ("not-run", other.outcome_header);
}

TEST_F(DaemonTest, InvalidRequestsAreAnsweredAsNotRun)
{
    const Answer unknown = deployment.Send(0, "GET", "/nobody/x");
    EXPECT_EQ(404U, unknown.status);
    EXPECT_EQ("not-run", unknown.outcome_header);
    const Answer no_key = deployment.Send(0, "GET", "/patterns");
    EXPECT_EQ(400U, no_key.status);
    EXPECT_EQ("not-run", no_key.outcome_header);
}

TEST_F(DaemonTest, RandomBytesOnEveryPortDoNotStopTheDaemon)
{
    struct random_state random;
    random_seed(&random, 20261204);
    const struct daemon *daemon = deployment.instances[0]->daemon;
    for (int round = 0; round < 30; round++) {
        std::string bytes(random_below(&random, 600), '\0');
        for (auto &byte : bytes) {
            byte = static_cast<char>(random_u64(&random));
        }
        SendGarbage(*http_server_address(daemon->http), bytes);
        SendGarbage(*rpc_node_address(daemon->node), bytes);
        SendGarbage(*target_announce_address(daemon->target), bytes);
    }
    EXPECT_EQ(200U, deployment.Send(0, "GET", "/patterns/key").status);
}

TEST_F(DaemonTest, ShutdownAnswersRequestsInProgressAndLeaves)
{
    std::vector<std::unique_ptr<Answer>> answers;
    struct daemon *leaving = deployment.instances[0]->daemon;
    for (int i = 0; i < 20; i++) {
        answers.push_back(std::make_unique<Answer>());
        deployment.Start(*http_server_address(leaving->http), "GET",
                         "/patterns/" + std::to_string(i), "", "",
                         answers.back().get());
    }
    deployment.RunUntil([&] { return entrytask_count(leaving->entry) > 0; });
    daemon_shut_down(leaving);
    deployment.RunUntil([&] {
        bool all = true;
        for (const auto &answer : answers) {
            all = all && answer->done;
        }
        return all && leaving->phase == DAEMON_FINISHING;
    });
    for (const auto &answer : answers) {
        EXPECT_EQ(HTTP_ANSWERED, answer->outcome);
        EXPECT_EQ(200U, answer->status) << answer->body;
    }
    EXPECT_EQ(DAEMON_FINISHING, leaving->phase);
}

const char *const ORDERS = R"({
  "zones": [{"name": "llanidloes", "region": "powys"},
            {"name": "rhayader", "region": "powys"}],
  "services": [
    {"name": "orders", "path_prefix": "/orders", "shards": 16,
     "idempotent_methods": ["GET"], "slots": 20, "connections": 64,
     "cold_limit": 2, "cold_start_ms": 60000, "deadline_ms": 900,
     "deadline_max_ms": 8000, "targets_check_grants": false}]
})";

TEST(Delegation, RequestsBeyondTheColdLimitRunOnceElsewhere)
{
    invariant_reset();
    Deployment deployment;
    deployment.latency_us = 400 * US_PER_MS;
    deployment.Add("one", "llanidloes", "orders");
    deployment.Add("two", "rhayader", "orders");
    deployment.Add("three", "rhayader", "orders");
    deployment.Apply(1, ORDERS);
    size_t owned = 0;
    ASSERT_TRUE(deployment.RunUntil([&] {
        owned = 0;
        for (const auto &instance : deployment.instances) {
            owned += placetask_owned_count(instance->daemon->placement);
        }
        return owned == 16;
    }));
    const struct address entry =
        *http_server_address(deployment.instances[0]->daemon->http);
    std::vector<std::unique_ptr<Answer>> answers;
    std::vector<std::string> ids;
    for (int i = 0; i < 12; i++) {
        answers.push_back(std::make_unique<Answer>());
        ids.push_back(deployment.Id());
        deployment.Start(entry, "POST", "/orders/x", "one", ids.back(),
                         answers.back().get());
    }
    deployment.RunUntil([&] {
        bool all = true;
        for (const auto &answer : answers) {
            all = all && answer->done;
        }
        return all;
    });
    int64_t delegated = 0;
    for (const auto &instance : deployment.instances) {
        delegated +=
            counter_add(instance->daemon->counters, "gate_delegated", "")
                ->value;
    }
    EXPECT_GT(delegated, 0);
    for (size_t i = 0; i < answers.size(); i++) {
        EXPECT_TRUE(answers[i]->done);
        if (answers[i]->status == 200) {
            const Answer again =
                deployment.Send(0, "POST", "/orders/x", "one", ids[i]);
            EXPECT_EQ(answers[i]->body, again.body);
            EXPECT_TRUE(again.replayed);
        }
    }
    for (int id = 0; id < INVARIANT_COUNT; id++) {
        EXPECT_EQ(0, invariant_violations(static_cast<enum invariant>(id)));
    }
}

TEST(Crash, OneCrashIsCountedOnce)
{
    Deployment deployment;
    deployment.latency_us = 300 * US_PER_MS;
    TestInstance &instance = deployment.Add("one", "llanidloes", "orders");
    deployment.Apply(1, ORDERS);
    ASSERT_TRUE(deployment.Serves(0, "/orders/x"));
    Answer answer;
    deployment.Start(*http_server_address(instance.daemon->http), "GET",
                     "/orders/crash", "", "", &answer);
    ASSERT_TRUE(deployment.RunUntil(
        [&] { return target_server_in_flight(instance.target) > 0; }));
    target_server_destroy(instance.target);
    instance.target = nullptr;
    ASSERT_TRUE(deployment.RunUntil([&] { return answer.done; }));
    deployment.RunUntil([] { return false; }, 500);
    struct suspects_item items[4];
    const int64_t now_us = runtime_now_us(instance.daemon->runtime);
    ASSERT_EQ(1U,
              suspects_export(instance.daemon->suspects, now_us, items, 4));
    EXPECT_EQ(SUSPECTS_SUSPECT,
              suspects_get_status(instance.daemon->suspects, now_us,
                                  items[0].fingerprint));
}

TEST_F(DaemonTest, AssignedPagesHaveAVersionOfTheStore)
{
    ASSERT_TRUE(deployment.RunUntil([&] {
        size_t owned = 0;
        for (const auto &instance : deployment.instances) {
            owned += placetask_owned_count(instance->daemon->placement);
        }
        return owned == 16;
    }));
    const uint64_t newest =
        store_tables_version(store_memory_tables(deployment.memory));
    for (const auto &instance : deployment.instances) {
        const uint64_t version = shardmap_page_version(
            placetask_map(instance->daemon->placement), "patterns", 0);
        EXPECT_GT(version, 0U);
        EXPECT_LE(version, newest);
    }
}

TEST(PlannedStop, LastInstanceOfAServiceDoesNotWaitForAReceiver)
{
    invariant_reset();
    Deployment deployment;
    TestInstance &instance = deployment.Add("one", "llanidloes", "orders");
    deployment.Apply(1, ORDERS);
    ASSERT_TRUE(deployment.RunUntil([&] {
        return placetask_owned_count(instance.daemon->placement) == 16;
    }));
    daemon_shut_down(instance.daemon);
    EXPECT_TRUE(deployment.RunUntil(
        [&] { return instance.daemon->phase == DAEMON_FINISHING; }, 2000));
    EXPECT_EQ(0, invariant_violations(INVARIANT_GRACEFUL_STOP));
}

/* Keyed orders that are recorded in the store before they run. */
std::string
DurableOrders(int deadline_ms)
{
    return R"({
  "zones": [{"name": "llanidloes", "region": "powys"},
            {"name": "rhayader", "region": "powys"}],
  "services": [
    {"name": "orders", "path_prefix": "/orders",
     "key": {"source": "path", "segment": 1}, "shards": 16,
     "idempotent_methods": ["GET"], "slots": 20, "connections": 64,
     "cold_limit": 20, "cold_start_ms": 0, "deadline_ms": )" +
           std::to_string(deadline_ms) + R"(,
     "deadline_max_ms": 8000, "targets_check_grants": false,
     "durable_at_most_once": true}]
})";
}

int64_t
CountNotRun(const TestInstance &instance)
{
    return counter_add(instance.daemon->counters, "gate_not_run", "")->value;
}

size_t
CountDrains(const struct gatetask *gate)
{
    size_t count = 0;
    const struct gate_drain *drain;
    LIST_FOREACH (drain, &gate->drains, link) {
        count++;
    }
    return count;
}

/* Guards against: requests that outlast the stop are closed without an answer.
 */
TEST(PlannedStop, RequestsThatOutlastItAreAnswered)
{
    Deployment deployment;
    deployment.latency_us = 4 * US_PER_SECOND;
    deployment.drain_max_ms = 500;
    TestInstance &instance = deployment.Add("one", "llanidloes", "orders");
    deployment.Apply(1, DurableOrders(8000));
    ASSERT_TRUE(deployment.RunUntil([&] {
        return placetask_owned_count(instance.daemon->placement) == 16;
    }));
    Answer answers[3];
    for (Answer &answer : answers) {
        deployment.Start(*http_server_address(instance.daemon->http), "GET",
                         "/orders/1", "", "", &answer);
    }
    ASSERT_TRUE(deployment.RunUntil(
        [&] { return entrytask_count(instance.daemon->entry) == 3; }));
    daemon_shut_down(instance.daemon);
    ASSERT_TRUE(deployment.RunUntil(
        [&] { return answers[0].done && answers[1].done && answers[2].done; },
        3000));
    for (const Answer &answer : answers) {
        EXPECT_EQ(HTTP_ANSWERED, answer.outcome);
        EXPECT_GE(answer.status, 500U);
    }
    invariant_reset(); /* the stop is not a graceful one */
}

/* Guards against: a shard is handed over while the store still says that an
 * order began which its caller was told has not run. */
TEST(Drain, ShardIsBusyUntilTheRowsOfItsRefusedOrdersAreReleased)
{
    Deployment deployment;
    TestInstance &instance = deployment.Add("one", "llanidloes", "orders");
    deployment.Apply(1, DurableOrders(450));
    ASSERT_TRUE(deployment.Serves(0, "/orders/x"));
    target_server_destroy(instance.target);
    instance.target = nullptr;
    const struct store_faults slow = {.latency_us = 300 * US_PER_MS};
    store_memory_set_faults(deployment.memory, &slow);
    deployment.Send(0, "POST", "/orders/x", "one", deployment.Id());
    EXPECT_GT(CountNotRun(instance), 0);
    struct gatetask *gate = instance.daemon->gate;
    EXPECT_TRUE(LIST_EMPTY(&gate->calls));
    for (uint32_t shard = 0; shard < 16; shard++) {
        gatetask_drain_shard(gate, shard);
    }
    gatetask_check_drains(gate);
    EXPECT_EQ(1U, CountDrains(gate)) << "the shard of the order";
    EXPECT_TRUE(
        deployment.RunUntil([&] { return CountDrains(gate) == 0; }, 2000));
}

/* Guards against: an order that was refused as not run just before a planned
 * stop is unknown to the next owner for good. */
TEST(PlannedStop, OrderRefusedAsNotRunRunsAtTheNextOwner)
{
    invariant_reset();
    Deployment deployment;
    deployment.Add("one", "llanidloes", "orders");
    deployment.Add("two", "rhayader", "orders");
    deployment.Apply(1, DurableOrders(450));
    ASSERT_TRUE(deployment.Serves(0, "/orders/x"));
    ASSERT_TRUE(deployment.Serves(1, "/orders/x"));
    ASSERT_TRUE(deployment.RunUntil([&] {
        return placetask_owned_count(
                   deployment.instances[0]->daemon->placement) == 8;
    }));
    TestInstance &leaving = *deployment.instances[0];
    target_server_destroy(leaving.target);
    leaving.target = nullptr;
    const struct store_faults slow = {.latency_us = 100 * US_PER_MS};
    store_memory_set_faults(deployment.memory, &slow);
    std::vector<std::string> ids;
    std::vector<std::unique_ptr<Answer>> answers;
    for (int i = 0; i < 16; i++) {
        ids.push_back(deployment.Id());
        answers.push_back(std::make_unique<Answer>());
        deployment.Start(*http_server_address(leaving.daemon->http), "POST",
                         "/orders/" + std::to_string(i), "one", ids.back(),
                         answers.back().get());
    }
    ASSERT_TRUE(deployment.RunUntil([&] {
        return std::all_of(answers.begin(), answers.end(),
                           [](const auto &answer) { return answer->done; });
    }));
    EXPECT_GT(CountNotRun(leaving), 0);
    daemon_shut_down(leaving.daemon);
    ASSERT_TRUE(deployment.RunUntil(
        [&] { return leaving.daemon->phase == DAEMON_FINISHING; }));
    const struct store_faults none = {};
    store_memory_set_faults(deployment.memory, &none);
    for (int i = 0; i < 16; i++) {
        const Answer again = deployment.Send(
            1, "POST", "/orders/" + std::to_string(i), "one", ids[i]);
        EXPECT_EQ(200U, again.status) << again.outcome_header;
    }
}

/* Guards against: the only instance of a service ends while the store still
 * says that an order began which was refused, so that after its restart the
 * order is unknown for good. */
TEST(PlannedStop, LastInstanceReleasesTheRowsOfRefusedOrders)
{
    invariant_reset();
    Deployment deployment;
    TestInstance &instance = deployment.Add("one", "llanidloes", "orders");
    deployment.Apply(1, DurableOrders(450));
    ASSERT_TRUE(deployment.Serves(0, "/orders/x"));
    target_server_destroy(instance.target);
    instance.target = nullptr;
    const struct store_faults slow = {.latency_us = 300 * US_PER_MS};
    store_memory_set_faults(deployment.memory, &slow);
    deployment.Send(0, "POST", "/orders/x", "one", deployment.Id());
    EXPECT_GT(CountNotRun(instance), 0);
    EXPECT_FALSE(gatetask_settled(instance.daemon->gate));
    daemon_shut_down(instance.daemon);
    ASSERT_TRUE(deployment.RunUntil(
        [&] { return instance.daemon->phase == DAEMON_FINISHING; }, 4000));
    EXPECT_TRUE(gatetask_settled(instance.daemon->gate));
    EXPECT_EQ(0, invariant_violations(INVARIANT_GRACEFUL_STOP));
}

TEST_F(DaemonTest, OnlyAHigherRevisionReplacesTheOneInForce)
{
    std::string changed = STATE;
    changed.replace(changed.find("4000"), 4, "3000");
    deployment.Apply(3, changed);
    struct daemon *daemon = deployment.instances[0]->daemon;
    const struct config *config = configtask_config(daemon->config);
    ASSERT_TRUE(
        deployment.RunUntil([&] { return config_revision(config) == 3; }));
    json_t *old = json_loads(STATE, 0, nullptr);
    configtask_offer(daemon->config, 2, old);
    json_decref(old);
    EXPECT_EQ(3U, config_revision(config));
    EXPECT_EQ(3000 * US_PER_MS,
              configtask_state(daemon->config)->services[0].deadline_us);
}

} // namespace
