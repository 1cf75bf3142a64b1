/** Members on one manual clock with a fake network and an in-memory store. */
#ifndef CHESTNUTGAP_MEMBERSHIP_TEST_CLUSTER_H
#define CHESTNUTGAP_MEMBERSHIP_TEST_CLUSTER_H

#include <cstdio>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "base/counter.h"
#include "base/invariant.h"
#include "base/random.h"
#include "base/runtime.h"
#include "membership/membertask_internal.h"
#include "store/audit.h"
#include "store/storememory.h"
}

class Cluster;
struct Node;

/** A store operation of a node, whose process may be gone at completion. */
struct NodeOperation {
    Node *node;
    int starts;
    store_commit_cb on_commit;
    store_read_cb on_read;
    void *ctx;
};

/** A call that is queued in the socket of a paused process. */
struct WaitingCall {
    struct address from;
    enum rpc_procedure_number procedure;
    struct lease_renew_args renew;
    struct lease_certify_args certify;
};

/** An instance, whose process is running, paused or gone. */
struct Node {
    Cluster *cluster;
    int number;
    std::string name;
    struct membertask *task = nullptr;
    struct counter_registry *counters = nullptr;
    bool paused = false;
    std::vector<NodeOperation *> answered; /**< while it was paused */
    std::vector<WaitingCall> waiting;
    bool machine_up = true;
    bool held = false;
    uint64_t checked_version = 0;  /**< of the store, at the latest check */
    uint64_t live_incarnation = 0; /**< in the store at that version */
    int starts = 0;
    std::map<uint64_t, int64_t> fenced; /**< serve_after_us by incarnation */
};

/** A call, or its reply, in transit. */
struct FakeCall {
    Cluster *cluster;
    struct timer timer;
    int from;
    struct address to;
    enum rpc_procedure_number procedure;
    struct lease_renew_args renew;
    struct lease_certify_args certify;
    struct lease_renew_result renewed;
    struct lease_certify_result certified;
    rpc_done_cb done;
    void *ctx;
    int64_t deadline_us;
    enum rpc_status status;
    bool answered;
};

class Cluster {
  public:
    static constexpr int64_t LATENCY_US = 1500;

    explicit Cluster(uint64_t seed = 1)
        : runtime(runtime_create_manual(1000000, nullptr)), seed_(seed),
          memory(store_memory_create(runtime, seed)),
          store(store_memory_store(memory))
    {
        struct store_faults faults = {};
        faults.latency_us = 8000;
        store_memory_set_faults(memory, &faults);
    }

    ~Cluster()
    {
        store_memory_destroy(memory);
        for (auto &node : nodes) {
            stop(node->number);
        }
        for (auto *call : calls_) {
            timer_stop(&call->timer);
            delete call;
        }
        for (auto *operation : operations_) {
            delete operation;
        }
        runtime_destroy(runtime);
    }

    int add(const std::string &name, const std::string &zone)
    {
        nodes.push_back(std::make_unique<Node>());
        Node &node = *nodes.back();
        node.cluster = this;
        node.number = static_cast<int>(nodes.size()) - 1;
        node.name = name;
        zones_.push_back(zone);
        proxies_[node.number] = {&store_ops_, &node};
        start(node.number);
        return node.number;
    }

    void start(int number)
    {
        Node &node = *nodes[number];
        node.machine_up = true;
        node.paused = false;
        node.held = false;
        node.counters = counter_registry_create();
        struct membertask_config config = {};
        config.runtime = runtime;
        node.starts++;
        config.store = &proxies_[number];
        config.transport = {&ops_, &node};
        config.counters = node.counters;
        config.wall_clock_us = [](void *ctx) {
            return runtime_now_us(static_cast<struct runtime *>(ctx));
        };
        config.wall_clock_ctx = runtime;
        config.seed = seed_ * 1000 + ++starts_;
        struct member &self = config.self;
        member_copy_name(self.self.instance, node.name.c_str());
        member_copy_name(self.zone, zones_[number].c_str());
        member_copy_name(self.region, "powys");
        member_copy_name(self.service, "archebion");
        std::string address = address_text(number);
        address_parse(address.c_str(), &self.rpc, nullptr);
        self.http = self.rpc;
        self.slots = 20;
        self.longest_request_us = 5000000;
        self.lease_us = 750000;
        self.renewal_max_us = INT64_C(3600000000);
        config.callbacks.lease_lost = [](void *ctx) {
            auto *lost = static_cast<Node *>(ctx);
            lost->cluster->log(lost->number, "lease lost");
        };
        config.callbacks.member_fenced = [](void *ctx, const member *row) {
            static_cast<Node *>(ctx)->fenced[row->self.incarnation] =
                row->serve_after_us;
        };
        config.callbacks.ctx = &node;
        node.task = membertask_create(&config, nullptr);
    }

    /** Ends the process as a crash does. */
    void stop(int number)
    {
        Node &node = *nodes[number];
        if (node.task != nullptr) {
            membertask_destroy(node.task);
            counter_registry_destroy(node.counters);
            node.task = nullptr;
        }
        for (auto *operation : node.answered) {
            delete operation;
        }
        node.answered.clear();
        node.waiting.clear();
    }

    /** Pauses the process until resume(). Incoming messages are queued. */
    void pause(int number)
    {
        log(number, "paused");
        nodes[number]->paused = true;
        timer_stop(&nodes[number]->task->timer);
    }

    /** Resumes the process, which handles queued messages and treats replies
     * of the store as lost, since they are late. */
    void resume(int number)
    {
        Node &node = *nodes[number];
        log(number, "resumed");
        node.paused = false;
        timer_start(&node.task->timer, 0);
        for (auto &call : node.waiting) {
            if (call.procedure == PROCEDURE_RENEW) {
                membertask_on_renew(node.task, &call.from, &call.renew);
            }
            if (call.procedure == PROCEDURE_CERTIFY) {
                membertask_on_certify(node.task, &call.certify);
            }
        }
        node.waiting.clear();
        std::vector<NodeOperation *> answered;
        answered.swap(node.answered);
        for (auto *operation : answered) {
            fail_operation(operation);
        }
    }

    void run_ms(int64_t duration_ms)
    {
        for (int64_t i = 0; i < duration_ms; i++) {
            runtime_advance(runtime, US_PER_MS);
            for (auto &node : nodes) {
                observe(*node);
            }
        }
    }

    /** True if the member's own row in the store is live. */
    bool has_live_row(int number)
    {
        Node &node = *nodes[number];
        uint64_t version = store_tables_version(store_memory_tables(memory));
        if (version != node.checked_version) {
            struct store_row row;
            struct member member;
            store_tables_read(store_memory_tables(memory), MEMBER_TABLE,
                              node.name.c_str(), &row);
            node.checked_version = version;
            node.live_incarnation =
                row.value != nullptr &&
                        member_from_json(row.value, row.version, &member,
                                         nullptr) &&
                        member_is_live(&member)
                    ? member.self.incarnation
                    : 0;
        }
        return node.live_incarnation == node.task->self.self.incarnation;
    }

    int64_t counter(int number, const char *name)
    {
        return counter_add(nodes[number]->counters, name, "")->value;
    }

    void set_store(int64_t latency_us, bool down, unsigned lose,
                   unsigned delay = 0, int64_t delay_us = 0)
    {
        struct store_faults faults = {};
        faults.latency_us = latency_us;
        faults.down = down;
        faults.lose_answers_percent = lose;
        faults.delay_writes_percent = delay;
        faults.delay_writes_us = delay_us;
        store_memory_set_faults(memory, &faults);
    }

    std::string state(int number)
    {
        struct store_row row;
        store_tables_read(store_memory_tables(memory), MEMBER_TABLE,
                          nodes[number]->name.c_str(), &row);
        return row.value == nullptr
                   ? "none"
                   : json_string_value(json_object_get(row.value, "state"));
    }

    void log(int number, const std::string &what)
    {
        char time[32];
        snprintf(time, sizeof(time), "%9.3f ",
                 static_cast<double>(runtime_now_us(runtime)) / 1e6);
        text +=
            time + (number < 0 ? "" : nodes[number]->name + " ") + what + "\n";
    }

    /** The audit trail in the store since a time, one entry a line. */
    std::string audit(int64_t since_us)
    {
        std::string lines;
        std::vector<struct store_row> rows(1000);
        struct store_scan scan = {AUDIT_TABLE, "", nullptr, 0, 0};
        bool more;
        size_t count = store_tables_scan(store_memory_tables(memory), &scan,
                                         rows.data(), rows.size(), &more);
        for (size_t i = 0; i < count; i++) {
            json_t *value = rows[i].value;
            auto field = [&](const char *name) {
                return std::string(
                    json_string_value(json_object_get(value, name)));
            };
            int64_t at_us = atoll(rows[i].name);
            if (at_us < since_us) {
                continue;
            }
            char time[32];
            snprintf(time, sizeof(time), "%9.3f ",
                     static_cast<double>(at_us) / 1e6);
            lines += time + field("who") + ": " + field("what") + " " +
                     field("subject") + ": " + field("why") + "\n";
        }
        return lines;
    }

    struct runtime *runtime;
    std::vector<std::unique_ptr<Node>> nodes;
    std::set<std::pair<int, int>> cut; /**< broken links, from and to */
    std::string text;

  private:
    uint64_t seed_;
    uint64_t starts_ = 0;
    std::vector<std::string> zones_;
    std::set<FakeCall *> calls_;
    std::map<int, struct store> proxies_;

  public:
    struct store_memory *memory;
    struct store store;

  private:
    static std::string address_text(int number)
    {
        return "10.0.0." + std::to_string(number + 1) + ":7000";
    }

    void observe(Node &node)
    {
        if (node.task == nullptr || node.paused) {
            return;
        }
        bool held =
            membertask_lease_until_us(node.task) > runtime_now_us(runtime);
        if (held != node.held) {
            log(node.number, held ? "holds its lease" : "holds no lease");
            node.held = held;
        }
    }

    int find(const struct address &address)
    {
        for (auto &node : nodes) {
            struct address own;
            address_parse(address_text(node->number).c_str(), &own, nullptr);
            if (address_equal(&own, &address)) {
                return node->number;
            }
        }
        return -1;
    }

    static NodeOperation *start_operation(void *impl, void *ctx)
    {
        auto *node = static_cast<Node *>(impl);
        auto *operation = new NodeOperation{node, node->starts, {}, {}, ctx};
        node->cluster->operations_.insert(operation);
        return operation;
    }

    /** @return true if the process that started the operation is running. */
    static bool end_operation(std::unique_ptr<NodeOperation> &operation)
    {
        Node *node = operation->node;
        node->cluster->operations_.erase(operation.get());
        if (node->task == nullptr || node->starts != operation->starts) {
            return false;
        }
        if (node->paused) {
            node->answered.push_back(operation.release());
            return false;
        }
        return true;
    }

    static void fail_operation(NodeOperation *operation)
    {
        struct store_commit_result committed = {};
        struct store_read_result read = {};
        committed.outcome = STORE_UNKNOWN;
        read.outcome = STORE_UNAVAILABLE;
        if (operation->on_commit != nullptr) {
            operation->on_commit(operation->ctx, &committed);
        }
        else {
            operation->on_read(operation->ctx, &read);
        }
        delete operation;
    }

    static void finish_commit(void *ctx,
                              const struct store_commit_result *result)
    {
        std::unique_ptr<NodeOperation> operation(
            static_cast<NodeOperation *>(ctx));
        if (end_operation(operation)) {
            operation->on_commit(operation->ctx, result);
        }
    }

    static void finish_read(void *ctx, const struct store_read_result *result)
    {
        std::unique_ptr<NodeOperation> operation(
            static_cast<NodeOperation *>(ctx));
        if (end_operation(operation)) {
            operation->on_read(operation->ctx, result);
        }
    }

    static void commit(void *impl, const struct store_txn *txn,
                       store_commit_cb callback, void *ctx)
    {
        NodeOperation *operation = start_operation(impl, ctx);
        operation->on_commit = callback;
        store_commit(&operation->node->cluster->store, txn, finish_commit,
                     operation);
    }

    static void read(void *impl, const char *table, const char *row,
                     store_read_cb callback, void *ctx)
    {
        NodeOperation *operation = start_operation(impl, ctx);
        operation->on_read = callback;
        store_read(&operation->node->cluster->store, table, row, finish_read,
                   operation);
    }

    static void scan(void *impl, const struct store_scan *scan,
                     store_read_cb callback, void *ctx)
    {
        NodeOperation *operation = start_operation(impl, ctx);
        operation->on_read = callback;
        store_scan(&operation->node->cluster->store, scan, finish_read,
                   operation);
    }

    static void *start_call(void *impl, const struct member_call_spec *spec)
    {
        auto *node = static_cast<Node *>(impl);
        auto *call = new FakeCall();
        call->cluster = node->cluster;
        call->from = node->number;
        call->to = *spec->peer;
        call->procedure = spec->procedure;
        if (spec->procedure == PROCEDURE_RENEW) {
            call->renew = *static_cast<const lease_renew_args *>(spec->args);
        }
        if (spec->procedure == PROCEDURE_CERTIFY) {
            call->certify =
                *static_cast<const lease_certify_args *>(spec->args);
        }
        call->done = spec->done;
        call->ctx = spec->ctx;
        call->deadline_us =
            runtime_now_us(node->cluster->runtime) + spec->timeout_us;
        node->cluster->calls_.insert(call);
        timer_init(&call->timer, node->cluster->runtime, arrive, call);
        timer_start(&call->timer, LATENCY_US);
        return call;
    }

    static void cancel_call(void *, void *handle)
    {
        auto *call = static_cast<FakeCall *>(handle);
        timer_stop(&call->timer);
        call->cluster->calls_.erase(call);
        delete call;
    }

    /** Handles the arrival of a call at the peer's host. */
    static void arrive(void *ctx)
    {
        auto *call = static_cast<FakeCall *>(ctx);
        Cluster &cluster = *call->cluster;
        int to = cluster.find(call->to);
        Node &peer = *cluster.nodes[to];
        bool lost = cluster.cut.count({call->from, to}) > 0 ||
                    cluster.cut.count({to, call->from}) > 0;
        call->status = RPC_TIMED_OUT;
        if (cluster.cut.count({call->from, to}) > 0 || !peer.machine_up) {
            lost = true;
        }
        else if (peer.task == nullptr) {
            call->status = RPC_REFUSED_BY_HOST;
            lost = lost || call->procedure != PROCEDURE_NULL;
        }
        else if (!peer.paused) {
            cluster.serve(call, peer);
        }
        else if (call->procedure != PROCEDURE_NULL) {
            WaitingCall waiting = {
                {}, call->procedure, call->renew, call->certify};
            address_parse(address_text(call->from).c_str(), &waiting.from,
                          nullptr);
            peer.waiting.push_back(waiting);
            lost = true;
        }
        int64_t now_us = runtime_now_us(cluster.runtime);
        timer_init(&call->timer, cluster.runtime, finish, call);
        if (lost || call->status == RPC_TIMED_OUT) {
            call->status = RPC_TIMED_OUT;
            timer_start(&call->timer, call->deadline_us - now_us);
        }
        else {
            timer_start(&call->timer, LATENCY_US);
        }
    }

    void serve(FakeCall *call, Node &peer)
    {
        struct address from;
        address_parse(address_text(call->from).c_str(), &from, nullptr);
        call->status = RPC_OK;
        if (call->procedure == PROCEDURE_RENEW) {
            call->renewed =
                membertask_on_renew(peer.task, &from, &call->renew);
        }
        if (call->procedure == PROCEDURE_CERTIFY) {
            call->certified = membertask_on_certify(peer.task, &call->certify);
        }
    }

    static void finish(void *ctx)
    {
        auto *call = static_cast<FakeCall *>(ctx);
        Cluster &cluster = *call->cluster;
        if (cluster.nodes[call->from]->paused) {
            timer_start(&call->timer, US_PER_MS);
            return;
        }
        const void *result = nullptr;
        if (call->status == RPC_OK && call->procedure == PROCEDURE_RENEW) {
            result = &call->renewed;
        }
        if (call->status == RPC_OK && call->procedure == PROCEDURE_CERTIFY) {
            result = &call->certified;
        }
        cluster.calls_.erase(call);
        call->done(call->ctx, call->status, result);
        delete call;
    }

    static inline const struct store_ops store_ops_ = {commit, read, scan,
                                                       nullptr, nullptr};
    std::set<NodeOperation *> operations_;
    static inline const struct member_transport_ops ops_ = {start_call,
                                                            cancel_call};
};

#endif
