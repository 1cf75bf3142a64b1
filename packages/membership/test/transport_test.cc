#include <gtest/gtest.h>

#include <unistd.h>

#include <memory>
#include <string>
#include <vector>

extern "C" {
#include "base/counter.h"
#include "base/runtime.h"
#include "membership/membertask.h"
#include "store/storememory.h"
}

namespace {

/** A member with its own sockets on 127.0.0.1. */
struct Process {
    struct counter_registry *counters;
    struct rpc_node *node;
    struct membertask *task;
};

class Transport : public ::testing::Test {
  protected:
    Transport()
        : runtime(runtime_create_manual(US_PER_SECOND, nullptr)),
          memory(store_memory_create(runtime, 1)),
          store(store_memory_store(memory))
    {
    }

    ~Transport() override
    {
        store_memory_destroy(memory);
        while (!processes.empty()) {
            stop(processes.size() - 1);
            processes.pop_back();
        }
        runtime_destroy(runtime);
    }

    void start(const std::string &zone)
    {
        struct address address;
        address_parse("127.0.0.1:0", &address, nullptr);
        Process process;
        process.counters = counter_registry_create();
        process.node =
            rpc_node_create(runtime, &address, process.counters, nullptr);
        struct membertask_config config = {};
        config.runtime = runtime;
        config.store = &store;
        config.transport = member_transport_rpc(process.node);
        config.counters = process.counters;
        config.seed = processes.size() + 1;
        struct member &self = config.self;
        std::string name = "instance-" + std::to_string(processes.size());
        member_copy_name(self.self.instance, name.c_str());
        member_copy_name(self.zone, zone.c_str());
        member_copy_name(self.region, "lagos");
        self.rpc = *rpc_node_address(process.node);
        self.http = self.rpc;
        self.lease_us = 750 * US_PER_MS;
        self.renewal_max_us = 3600 * US_PER_SECOND;
        process.task = membertask_create(&config, nullptr);
        member_transport_serve(process.node, process.task);
        processes.push_back(process);
    }

    void stop(size_t number)
    {
        Process &process = processes[number];
        if (process.task != nullptr) {
            membertask_destroy(process.task);
            rpc_node_destroy(process.node);
            counter_registry_destroy(process.counters);
            process.task = nullptr;
        }
    }

    /** Polls the sockets after each millisecond of the manual clock. */
    void run_ms(int duration_ms)
    {
        for (int i = 0; i < duration_ms; i++) {
            runtime_advance(runtime, US_PER_MS);
            runtime_poll(runtime);
        }
    }

    std::string state(size_t number)
    {
        struct store_row row;
        store_tables_read(store_memory_tables(memory), MEMBER_TABLE,
                          ("instance-" + std::to_string(number)).c_str(),
                          &row);
        return json_string_value(json_object_get(row.value, "state"));
    }

    struct runtime *runtime;
    struct store_memory *memory;
    struct store store;
    std::vector<Process> processes;
};

TEST_F(Transport, MembersRenewOverUdpAndFenceAStoppedProcess)
{
    for (const char *zone : {"ikeja", "yaba", "lekki", "ikeja"}) {
        start(zone);
    }
    run_ms(6000);
    for (size_t i = 0; i < processes.size(); i++) {
        EXPECT_TRUE(membertask_is_active(processes[i].task));
        EXPECT_EQ(3u, membertask_self(processes[i].task)->guardians.count);
        EXPECT_EQ(0,
                  counter_add(processes[i].counters, "member_lease_lapses", "")
                      ->value);
    }
    stop(0);
    int waited_ms = 0;
    while (state(0) != "fenced" && waited_ms < 2000) {
        run_ms(1);
        waited_ms++;
    }
    EXPECT_EQ("fenced", state(0));
    EXPECT_LT(waited_ms, 750);
}

} // namespace
