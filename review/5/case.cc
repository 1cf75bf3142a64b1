/*
 * A machine acknowledges that its upstream leaves, and is killed at once.
 * After its restart a heartbeat that was held up arrives. Does the upstream
 * get new requests? Exit: 1 a rule was broken, 0 it held, 2 the case couldn't
 * run.
 */
#include "world.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <sys/wait.h>

using namespace world;

namespace {

constexpr double RATE_PER_S = 40;
constexpr int DEADLINE_MS = 1200;
constexpr double DRAIN_S = 2;
constexpr double CONTACT_S = 3;
constexpr double RESTART_S = 0.5;  /* after the kill */
constexpr double HELD_UP_S = 4.5;  /* the heartbeat, on its way */
constexpr double SERVES_ON_S = 10; /* after the acknowledgement */

const char *const config =
    "{\"version\":\"00000002\",\"services\":["
    "{\"name\":\"orders\",\"health_path\":\"/health\","
    "\"max_connections\":130,\"protocol\":\"h1\",\"tls\":false,"
    "\"warmup_s\":3.0,\"warmup_per_s\":25.0}],"
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
    "\"header_timeout_s\":3,\"idle_timeout_s\":15},"
    "\"virtual_hosts\":[{\"host\":\"orders.example\",\"paths\":["
    "{\"name\":\"r-1\",\"path_prefix\":\"/order/\",\"kind\":\"unsafe\","
    "\"timeout_s\":1.2,\"target_latency_s\":0.5,\"priority\":1,"
    "\"service\":\"orders\",\"max_attempts\":2}]}]}";

} // namespace

int
main(int argc, char **argv)
{
    if (argc != 3 || !Begin(argv[1])) {
        return 2;
    }
    Deployment deployment(argv[2]);
    Machine &machine = deployment.Add("orders", "a", false);
    deployment.Add("orders", "a", false);
    deployment.Add("orders", "b", false);
    if (!deployment.Start(config)) {
        deployment.Exit(2);
    }
    std::atomic<bool> ends{false};
    std::atomic<int> sent{0}, served{0}, failed{0}, running{0};
    std::thread traffic([&] {
        int i = 0;
        while (!ends) {
            auto entry = deployment.machines.begin();
            std::advance(entry, 1 + i++ % 2);
            const Machine *by = &*entry;
            running++;
            std::thread([&, by] {
                const std::string id = NewId("r-");
                const Answer answer =
                    Send(*by, "POST", "orders.example", "/order/" + id, id,
                         DEADLINE_MS, -1, "an order");
                Record("client %s, by %s: %d", id.c_str(), by->name.c_str(),
                       answer.status);
                sent++;
                served += answer.status == 200;
                failed += answer.status == 0 || answer.status == 502;
                running--;
            }).detach();
            Sleep(1 / RATE_PER_S);
        }
    });
    Sleep(4);
    const auto leaving = machine.upstream;
    const std::string held = leaving->HoldHeartbeat();
    const double held_at = Now();
    Record("upstream %s sends a heartbeat that is held up",
           leaving->id.c_str());
    Sleep(0.3);
    const bool acknowledged = leaving->Withdraw();
    const double at = Now();
    if (!acknowledged) {
        deployment.Exit(2);
    }
    if (Trouble()) {
        machine.Signal(SIGKILL);
        waitpid(machine.pid, nullptr, 0);
        machine.pid = -1;
    }
    Record("the leaving of %s is acknowledged%s", leaving->id.c_str(),
           Trouble() ? "; the machine's process is killed" : "");
    if (Trouble()) {
        Sleep(RESTART_S);
        machine.Start();
    }
    Sleep(held_at + HELD_UP_S - Now());
    Record("the heartbeat that was held up arrives: %d",
           CallControl(machine, "PUT", leaving->id, held));
    Sleep(at + SERVES_ON_S - Now());
    const int failed_before = failed;
    leaving->End();
    Record("upstream %s ends", leaving->id.c_str());
    Sleep(1.5);
    ends = true;
    traffic.join();
    while (running > 0) {
        Sleep(0.05);
    }
    /* The machine that was killed is in touch again after contact_s. */
    const auto late =
        BegunSince(leaving->id, at + DRAIN_S + RESTART_S + CONTACT_S);
    for (const auto &run : late) {
        Record("BROKEN DRAIN: %s reached %s %.3f s after the acknowledgement",
               run.first.c_str(), leaving->id.c_str(), run.second - at);
    }
    char summary[256];
    snprintf(summary, sizeof(summary),
             "%d sent, %d served; %zu reached the upstream that had left, %d "
             "lost when it ended",
             sent.load(), served.load(), late.size(),
             failed.load() - failed_before);
    Record("%s", summary);
    printf("%s\n", summary);
    if (served < sent / 2) {
        deployment.Exit(2);
    }
    deployment.Exit(late.empty() ? 0 : 1);
}
