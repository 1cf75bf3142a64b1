#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

extern "C" {
#include "base/counter.h"
#include "base/runtime.h"
#include "protocol/rpc.h"
#include "spread/spreadmodel.h"
#include "spread/spreadtask.h"
}

namespace {

struct spreadmodel_options
Options(unsigned members, double loss_rate)
{
    struct spreadmodel_options options = {};
    options.members = members;
    options.zones = 6;
    options.regions = 2;
    options.pollers_per_zone = 1;
    options.loss_rate = loss_rate;
    options.policy = SPREAD_PEERS_BY_SHARE;
    options.bytes_per_second = 2500;
    options.document_bytes = 4096;
    options.seed = 5;
    return options;
}

TEST(Spread, ReachesAllMembersDespiteLossWithinRateLimit)
{
    struct spreadmodel_options options = Options(120, 0.2);
    struct spreadmodel *model = spreadmodel_create(&options);

    spreadmodel_run(model, 6 * US_PER_SECOND);
    for (uint64_t revision = 1; revision <= 5; revision++) {
        spreadmodel_reset_counts(model);
        spreadmodel_accept(model, revision);
        spreadmodel_run(model, 20 * US_PER_SECOND);
        EXPECT_EQ(spreadmodel_in_force_count(model), 120u) << revision;
        EXPECT_LT(spreadmodel_counts(model).bytes, 120 * 2500 * 20);
    }
    spreadmodel_destroy(model);
}

TEST(Spread, RegionCatchesUpAfterPartition)
{
    struct spreadmodel_options options = Options(60, 0.05);
    options.pollers_per_zone = 0;
    struct spreadmodel *model;

    options.pollers_per_zone = 1;
    model = spreadmodel_create(&options);
    spreadmodel_partition_region(model, 1, true);
    spreadmodel_accept(model, 1);
    spreadmodel_run(model, 30 * US_PER_SECOND);
    spreadmodel_partition_region(model, 1, false);
    spreadmodel_run(model, 30 * US_PER_SECOND);
    EXPECT_EQ(spreadmodel_in_force_count(model), 60u);
    spreadmodel_destroy(model);
}

/* A member; several run in one process and use real sockets. */
struct Node {
    std::string name;
    struct rpc_node *rpc = nullptr;
    struct spreadtask *task = nullptr;
    std::map<std::string, std::pair<uint64_t, std::string>> items;
    std::map<std::string, uint64_t> acknowledged;
    std::vector<std::unique_ptr<Node>> *all = nullptr;

    static void Deliver(void *ctx, const struct spread_item *item)
    {
        Node *node = static_cast<Node *>(ctx);
        EXPECT_GT(item->version, node->items[item->name].first);
        node->items[item->name] = {
            item->version,
            std::string(static_cast<const char *>(item->payload), item->size)};
        if (item->kind == SPREAD_CONFIG) {
            spreadtask_set_revision(node->task, item->version);
        }
    }

    static void Acknowledged(void *ctx, const char *peer, uint64_t revision)
    {
        static_cast<Node *>(ctx)->acknowledged[peer] = revision;
    }

    static bool AddressOf(void *ctx, const char *peer, struct address *address)
    {
        for (auto &other : *static_cast<Node *>(ctx)->all) {
            if (other->name == peer) {
                *address = *rpc_node_address(other->rpc);
                return true;
            }
        }
        return false;
    }
};

class SpreadTask : public testing::Test {
  protected:
    void SetUp() override
    {
        struct address any;
        address_parse("127.0.0.1:0", &any, nullptr);
        runtime = runtime_create_manual(US_PER_SECOND, nullptr);
        counters = counter_registry_create();
        for (int i = 0; i < 4; i++) {
            auto node = std::make_unique<Node>();
            struct spreadtask_options options = {};
            node->name = "m" + std::to_string(i);
            node->all = &nodes;
            node->rpc = rpc_node_create(runtime, &any, counters, nullptr);
            options.runtime = runtime;
            options.node = node->rpc;
            options.counters = counters;
            options.instance = node->name.c_str();
            options.zone = "z";
            options.region = "r";
            options.bytes_per_second = 5000;
            options.seed = 1 + i;
            options.callbacks = {Node::Deliver, Node::Acknowledged,
                                 Node::AddressOf, node.get()};
            node->task = spreadtask_create(&options);
            nodes.push_back(std::move(node));
        }
        for (auto &node : nodes) {
            for (auto &other : nodes) {
                spreadtask_add_member(node->task, other->name.c_str(), "z",
                                      "r");
            }
        }
    }

    void TearDown() override
    {
        for (auto &node : nodes) {
            spreadtask_destroy(node->task);
            rpc_node_destroy(node->rpc);
        }
        counter_registry_destroy(counters);
        runtime_destroy(runtime);
    }

    void RunSteps(int steps)
    {
        for (int i = 0; i < steps; i++) {
            runtime_advance(runtime, 50 * US_PER_MS);
            for (int j = 0; j < 5; j++) {
                runtime_poll(runtime);
            }
        }
    }

    struct runtime *runtime = nullptr;
    struct counter_registry *counters = nullptr;
    std::vector<std::unique_ptr<Node>> nodes;
};

TEST_F(SpreadTask, SmallItemsArriveByDatagramAndLargeOnesByFetch)
{
    std::string small(100, 's');
    std::string large(50000, 'l');
    struct spread_item suspect = {SPREAD_SUSPECT, "suspect", 3, small.data(),
                                  small.size()};
    struct spread_item config = {SPREAD_CONFIG, SPREAD_CONFIG_NAME, 7,
                                 large.data(), large.size()};

    EXPECT_TRUE(spreadtask_put(nodes[0]->task, &suspect));
    EXPECT_TRUE(spreadtask_put(nodes[0]->task, &config));
    EXPECT_FALSE(spreadtask_put(nodes[0]->task, &config));
    spreadtask_set_revision(nodes[0]->task, 7);
    RunSteps(60);
    for (size_t i = 1; i < nodes.size(); i++) {
        EXPECT_EQ(nodes[i]->items["suspect"].second, small);
        EXPECT_EQ(nodes[i]->items["head"].second, large);
        EXPECT_EQ(nodes[i]->items["head"].first, 7u);
    }
    for (size_t i = 1; i < nodes.size(); i++) {
        spreadtask_query_revision(nodes[0]->task, nodes[i]->name.c_str());
    }
    RunSteps(2);
    EXPECT_EQ(nodes[0]->acknowledged.size(), 3u);
    EXPECT_EQ(nodes[0]->acknowledged["m2"], 7u);
}

TEST_F(SpreadTask, DigestBringsAnItemThatPushesMissed)
{
    struct spread_item item = {SPREAD_MEMBER, "m9", 3, "row", 3};

    for (auto &node : nodes) {
        spreadtask_remove_member(node->task, "m3");
    }
    spreadtask_put(nodes[0]->task, &item);
    RunSteps(10);
    EXPECT_EQ(nodes[2]->items["m9"].first, 3u);
    EXPECT_EQ(nodes[3]->items.count("m9"), 0u);
    RunSteps(300);
    EXPECT_EQ(nodes[3]->items["m9"].second, "row");
    spreadtask_discard_payload(nodes[3]->task, SPREAD_MEMBER, "m9");
    RunSteps(300);
    EXPECT_EQ(nodes[3]->items["m9"].second, "row");
}

} // namespace
