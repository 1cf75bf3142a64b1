/**
 * @file
 * A small deployment in one process for tests: a stand-in store, and daemons
 * with their stand-in targets, all on loopback. Each daemon has its own event
 * loop; RunUntil() polls all loops in turn.
 */
#ifndef CHESTNUTGAP_DAEMON_TEST_DEPLOYMENT_H
#define CHESTNUTGAP_DAEMON_TEST_DEPLOYMENT_H

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <unistd.h>

extern "C" {
#include "base/counter.h"
#include "base/runtime.h"
#include "daemon/daemon_internal.h"
#include "http/httpclient.h"
#include "standin/storeserver.h"
#include "standin/targetserver.h"
#include "state/revision.h"
#include "store/storememory.h"
}

struct Answer {
    bool done = false;
    enum http_outcome outcome = HTTP_NOT_SENT;
    unsigned status = 0;
    std::string body;
    std::string outcome_header;
    bool replayed = false;
};

struct TestInstance {
    struct daemon *daemon = nullptr;
    struct target_server *target = nullptr;
    std::string name;
    std::string service;
};

class Deployment {
  public:
    Deployment()
    {
        runtime = runtime_create(nullptr);
        counters = counter_registry_create();
        memory = store_memory_create(runtime, 1);
        struct address listen;
        address_parse("127.0.0.1:0", &listen, nullptr);
        store = store_server_create(runtime, memory, &listen, nullptr);
    }

    ~Deployment()
    {
        for (auto &instance : instances) {
            daemon_destroy(instance->daemon);
            target_server_destroy(instance->target);
        }
        for (auto *client : clients) {
            http_client_destroy(client);
        }
        store_server_destroy(store);
        store_memory_destroy(memory);
        counter_registry_destroy(counters);
        runtime_destroy(runtime);
    }

    struct settings Settings(const std::string &name, const std::string &zone)
    {
        struct settings settings = {};
        struct document_problems problems = {};
        const std::string text =
            R"({"instance": ")" + name + R"(", "zone": ")" + zone +
            R"(", "region": "powys",
                "http": {"listen": "127.0.0.1:0", "advertise": "127.0.0.1:0"},
                "rpc": {"listen": "127.0.0.1:0", "advertise": "127.0.0.1:0"},
                "announce": {"listen": "127.0.0.1:0"},
                "store": {"address": "127.0.0.1:)" +
            std::to_string(store_server_port(store)) + R"("},
                "limits": {"memory_mb": 64, "body_max_bytes": 16777216,
                           "drain_max_ms": )" +
            std::to_string(drain_max_ms) + R"(},
                "intervals": {"config_poll_ms": 100, "members_poll_ms": 100}
            })";
        json_t *document = document_parse(text.data(), text.size(), &problems);
        if (!settings_parse(document, &settings, &problems)) {
            document_print_problems(&problems, "settings", stderr);
        }
        json_decref(document);
        return settings;
    }

    TestInstance &Add(const std::string &name, const std::string &zone,
                      const std::string &service)
    {
        auto instance = std::make_unique<TestInstance>();
        instance->name = name;
        instance->service = service;
        StartDaemon(*instance, zone);
        instances.push_back(std::move(instance));
        StartTarget(*instances.back());
        return *instances.back();
    }

    void StartDaemon(TestInstance &instance, const std::string &zone)
    {
        const struct settings settings = Settings(instance.name, zone);
        struct error err = {};
        instance.daemon = daemon_create(&settings, &err);
    }

    void StartTarget(TestInstance &instance)
    {
        struct target_server_config config = {};
        address_parse("127.0.0.1:0", &config.listen, nullptr);
        config.service = instance.service.c_str();
        config.incarnation = "one";
        config.slots = 20;
        config.cold_limit = 2;
        config.latency_us = latency_us;
        instance.target =
            target_server_create(runtime, &config, counters, nullptr);
        Announce(instance);
    }

    void Announce(TestInstance &instance)
    {
        char address[ADDRESS_TEXT_SIZE];
        const std::string body =
            R"({"service": ")" + instance.service + R"(", "address": ")" +
            address_format(target_server_address(instance.target), address) +
            R"(", "incarnation": "one", "slots": 20, "connections": 64})";
        const Answer answer =
            Call(*target_announce_address(instance.daemon->target), "POST",
                 "/v1/announce", body);
        announced = answer.status;
    }

    /** Writes a declared state as the operators' client does. */
    void Apply(uint64_t revision, const std::string &text)
    {
        char row[REVISION_ROW_NAME_SIZE];
        json_t *document = json_loadb(text.data(), text.size(), 0, nullptr);
        struct revision_head head = {};
        head.revision = revision;
        state_digest_format(state_digest(document), head.digest);
        snprintf(head.author, sizeof(head.author), "test");
        revision_row_name(revision, row);
        struct store_txn *txn = store_txn_create(revision);
        store_txn_put(txn, REVISION_TABLE, row,
                      revision_row_to_json(&head, document));
        store_txn_put(txn, REVISION_TABLE, REVISION_HEAD_ROW,
                      revision_head_to_json(&head));
        json_decref(document);
        const struct store store_view = store_memory_store(memory);
        bool done = false;
        store_commit(
            &store_view, txn,
            [](void *ctx, const struct store_commit_result *) {
                *static_cast<bool *>(ctx) = true;
            },
            &done);
        RunUntil([&] { return done; });
        store_txn_destroy(txn);
    }

    bool RunUntil(const std::function<bool()> &condition, int64_t ms = 10000)
    {
        const int64_t end_us = runtime_now_us(runtime) + ms * US_PER_MS;
        while (!condition() && runtime_now_us(runtime) < end_us) {
            runtime_poll(runtime);
            for (auto &instance : instances) {
                if (instance->daemon != nullptr) {
                    runtime_poll(instance->daemon->runtime);
                }
            }
            usleep(100);
        }
        return condition();
    }

    Answer Call(const struct address &address, const std::string &method,
                const std::string &target, const std::string &body = "",
                const std::string &id = "")
    {
        auto answer = std::make_unique<Answer>();
        Start(address, method, target, body, id, answer.get());
        RunUntil([&] { return answer->done; });
        return *answer;
    }

    void Start(const struct address &address, const std::string &method,
               const std::string &target, const std::string &body,
               const std::string &id, Answer *answer)
    {
        struct http_client_config config = {};
        config.address = address;
        struct http_client *client =
            http_client_create(runtime, &config, counters);
        clients.push_back(client);
        const struct http_header header = {"Idempotency-Key", id.c_str()};
        struct http_call_spec spec = {};
        spec.method = method.c_str();
        spec.target = target.c_str();
        spec.headers = &header;
        spec.header_count = id.empty() ? 0 : 1;
        spec.body = body.data();
        spec.body_size = body.size();
        spec.deadline_us = runtime_now_us(runtime) + 10 * US_PER_SECOND;
        spec.done = OnDone;
        spec.ctx = answer;
        http_call_start(client, &spec);
    }

    Answer Send(size_t number, const std::string &method,
                const std::string &target, const std::string &body = "",
                const std::string &id = "")
    {
        return Call(*http_server_address(instances[number]->daemon->http),
                    method, target, body, id);
    }

    /** Retries until a target answers the path. */
    bool Serves(size_t number, const std::string &target)
    {
        const int64_t end_us = runtime_now_us(runtime) + 20 * US_PER_SECOND;
        while (runtime_now_us(runtime) < end_us) {
            if (Send(number, "GET", target).status == 200) {
                return true;
            }
        }
        return false;
    }

    std::string Id()
    {
        return std::to_string(runtime_wall_ms(runtime)) + "-" +
               std::to_string(next_id++);
    }

    struct runtime *runtime;
    struct counter_registry *counters;
    struct store_memory *memory;
    struct store_server *store;
    std::vector<std::unique_ptr<TestInstance>> instances;
    std::vector<struct http_client *> clients;
    unsigned announced = 0;
    int64_t latency_us = 500; /* of targets started from now on */
    int drain_max_ms = 5000;
    int next_id = 0;

  private:
    static void OnDone(void *ctx, const struct http_result *result)
    {
        auto *answer = static_cast<Answer *>(ctx);
        answer->done = true;
        answer->outcome = result->outcome;
        if (result->outcome != HTTP_ANSWERED) {
            return;
        }
        answer->status = result->status;
        answer->body.assign(static_cast<const char *>(result->body),
                            result->body_size);
        const char *outcome =
            http_headers_find(result->headers, "Chestnutgap-Outcome");
        answer->outcome_header = outcome != nullptr ? outcome : "";
        answer->replayed =
            http_headers_find(result->headers, "Chestnutgap-Replayed") !=
            nullptr;
    }
};

#endif
