/*
 * Heartbeats of another writer, with an id of bytes that can't be read, arrive
 * at two machines, three times each. Do the daemons go on?
 * Exit: 1 a rule was broken, 0 it held, 2 the case couldn't run.
 */
#include "world.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <ctime>

using namespace world;

namespace {

constexpr int HEARTBEATS =
    3; /* of the other writer, to each of two machines */
constexpr double GAP_S = 5;
constexpr int CLIENTS = 16; /* with a kept connection, at each machine */
constexpr int DEADLINE_MS = 1200;
constexpr int LOST_MAX = 3; /* at one machine */

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

std::atomic<bool> ends{false};
std::atomic<int> running{0}, sent{0}, served{0}, unanswered{0};
std::mutex lost_mutex;
std::map<std::string, int> lost; /* by machine */

/** Sends one request after the other on a kept connection. */
void
RunClient(const Machine &machine)
{
    std::unique_ptr<Socket> socket;
    bool kept = false; /* the connection has served a request before */
    running++;
    while (!ends) {
        if (socket == nullptr) {
            socket = Connect(machine.ip, machine.callers, 1);
            if (socket == nullptr) {
                Sleep(0.1);
                continue;
            }
            kept = false;
        }
        const std::string id = NewId("r-");
        Message answer;
        sent++;
        Record("client sends %s to %s", id.c_str(), machine.name.c_str());
        if (socket->Write(PrintRequest("POST", "orders.example",
                                       "/order/" + id, id, DEADLINE_MS, -1,
                                       "an order")) &&
            socket->Read(&answer, true, Now() + DEADLINE_MS / 1000.0)) {
            served += answer.status == 200;
            Record("client %s gets %d", id.c_str(), answer.status);
            kept = true;
            if (answer.Get("Connection") == "close") {
                socket.reset();
            }
        }
        else {
            const bool closed = socket->Closed();
            unanswered++;
            Record("client %s gets no answer%s%s", id.c_str(),
                   closed ? ", its kept connection is closed" : "",
                   HasBegun(id) ? ", an upstream runs it" : "");
            if (closed && kept && HasBegun(id)) {
                std::lock_guard<std::mutex> lock(lost_mutex);
                lost[machine.name]++;
                Record("BROKEN LOST: %s was passed on by %s", id.c_str(),
                       machine.name.c_str());
            }
            socket.reset();
        }
        Sleep(0.05);
    }
    running--;
}

void
SendForeignHeartbeat(const Machine &machine)
{
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    const std::string body =
        "{\"service\":\"orders\",\"address\":\"" + machine.ip + ":" +
        std::to_string(machine.target) + "\",\"zone\":\"" + machine.zone +
        "\",\"version\":\"v1\",\"slots\":18,\"state\":\"ready\","
        "\"warmup_left_s\":0,\"seq\":4,\"born\":" +
        std::to_string(now.tv_sec * 1000 + now.tv_nsec / 1000000) + "}";
    const int status = CallControl(machine, "PUT", "i-\xff\xfe\x80", body);
    Record("another writer's heartbeat, id i-\\xff\\xfe\\x80, to %s: %d",
           machine.name.c_str(), status);
}

} // namespace

int
main(int argc, char **argv)
{
    if (argc != 3 || !Begin(argv[1])) {
        return 2;
    }
    Deployment deployment(argv[2]);
    Machine &first = deployment.Add("orders", "a", false);
    Machine &second = deployment.Add("orders", "a", false);
    deployment.Add("orders", "a", false);
    if (!deployment.Start(config)) {
        deployment.Exit(2);
    }
    for (const Machine &machine : deployment.machines) {
        for (int i = 0; i < CLIENTS; i++) {
            std::thread(RunClient, std::cref(machine)).detach();
        }
    }
    const double begin = Now();
    int heartbeats = 0;
    while (Now() < begin + (HEARTBEATS + 1) * GAP_S) {
        if (Trouble() && heartbeats < HEARTBEATS &&
            Now() >= begin + (heartbeats + 1) * GAP_S - 2) {
            heartbeats++;
            SendForeignHeartbeat(first);
            SendForeignHeartbeat(second);
        }
        for (Machine &machine : deployment.machines) {
            machine.Revive();
        }
        Sleep(0.05);
    }
    ends = true;
    while (running > 0) {
        Sleep(0.05);
    }
    const int most = std::max(lost[first.name], lost[second.name]);
    char summary[256];
    snprintf(summary, sizeof(summary),
             "%d sent, %d served, %d without an answer; passed on from a kept "
             "connection that was closed: %d and %d; the daemons ended by "
             "themselves %d and %d times",
             sent.load(), served.load(), unanswered.load(), lost[first.name],
             lost[second.name], first.own_ends, second.own_ends);
    Record("%s", summary);
    printf("%s\n", summary);
    if (served < sent / 2) {
        deployment.Exit(2);
    }
    deployment.Exit(most > LOST_MAX ? 1 : 0);
}
