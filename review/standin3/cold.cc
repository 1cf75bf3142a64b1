/*
 * Upstreams under their usual load become cold again, one after the other, at
 * random moments; their heartbeats and health answers tell so. One that gets
 * more requests in a second than FAILBACK allows crashes, and is back after
 * some seconds. Usage: cold DAEMON RECORD TROUBLE. Exits with 1 if a cold
 * upstream got more requests in a second than it may.
 */
#include <algorithm>
#include <map>

#include "scene.h"

extern "C" {
#include "base/random.h"
}

using namespace scene;

namespace {

constexpr size_t MACHINES = 4;
constexpr int ROUNDS = 12;
constexpr int64_t ROUND_MS = 7000;
constexpr int64_t REQUESTS_PER_S = 274; /* pattern-lookup in SYSTEM.md */
constexpr int64_t COLD_US = 3 * US_PER_SECOND; /* warmup_s */
/* warmup_per_s x cold_over + cold_slack */
constexpr double MOST_IN_A_SECOND = 25 * 1.5 + 5;
constexpr int64_t BACK_MS = 2000; /* an upstream is back after that */

struct Arrival {
    int64_t sent_us;
    int64_t arrived_us;
};

/** The most requests that were sent and arrived inside one second. */
size_t
MostInASecond(const std::vector<Arrival> &arrivals, int64_t from_us)
{
    size_t most = 0;
    for (const Arrival &first : arrivals) {
        const int64_t begin_us = std::max(first.sent_us, from_us);
        size_t count = 0;
        for (const Arrival &other : arrivals) {
            count += other.sent_us >= begin_us &&
                     other.arrived_us < begin_us + US_PER_SECOND;
        }
        most = std::max(most, count);
    }
    return most;
}

} // namespace

int
main(int argc, char **argv)
{
    if (argc != 4) {
        return 2;
    }
    const bool trouble = std::string(argv[3]) != "0";
    Scene scene(argv[1], argv[2]);
    struct random_state random;
    std::map<std::string, int64_t> sent_us;
    std::vector<std::shared_ptr<Answer>> answers;
    std::vector<Arrival> arrivals; /* while it was cold */
    int64_t cold_since_us = 0;
    bool crashes = false;
    int crashed = 0;
    random_seed(&random, static_cast<uint64_t>(getpid()));
    for (size_t i = 0; i < MACHINES; i++) {
        scene.AddMachine("keyed", "z" + std::to_string(i % 3));
        scene.machines[i]->upstream->fault =
            [&, i](struct http_request *request) {
                Machine &machine = *scene.machines[i];
                const int64_t left_us = machine.warm_at_us - scene.Now();
                if (std::string(http_request_path(request)) == "/health") {
                    const std::string left =
                        std::to_string(left_us > 0 ? left_us / MS : 0);
                    const struct http_header headers[] = {
                        {"X-Chestnutgap-Instance-Id",
                         machine.upstream->id.c_str()},
                        {"X-Chestnutgap-Server-Load", "1,0,4"},
                        {"X-Chestnutgap-Warmup-Ms", left.c_str()}};
                    struct http_reply reply = {};
                    reply.status = 200;
                    reply.headers = headers;
                    reply.header_count = 3;
                    http_request_reply(request, &reply);
                    return true;
                }
                if (left_us > 0 && cold_since_us > 0) {
                    arrivals.push_back(
                        {sent_us[http_request_header(
                             request, "X-Chestnutgap-Request-Id")],
                         scene.Now()});
                    crashes = crashes ||
                              static_cast<double>(MostInASecond(
                                  arrivals, cold_since_us)) > MOST_IN_A_SECOND;
                }
                return false;
            };
    }
    scene.store.Put("op", "config", Config(2));
    scene.Advance(8000);

    int broken = 0;
    for (int round = 0; round < ROUNDS; round++) {
        const size_t i = static_cast<size_t>(round) % MACHINES;
        Machine &machine = *scene.machines[i];
        const int64_t begun_us = scene.Now();
        const int64_t cold_us =
            begun_us + random_range(&random, 3000, 3870) * MS;
        int64_t due = 0;
        int64_t done = 0;
        bool turned = false;
        int64_t turned_us = 0;
        arrivals.clear();
        while (scene.Now() < begun_us + ROUND_MS * MS) {
            due = (scene.Now() - begun_us) * REQUESTS_PER_S / US_PER_SECOND;
            for (; done < due; done++) {
                const std::string id = "r" + std::to_string(answers.size());
                sent_us[id] = scene.Now();
                answers.push_back(scene.Send(
                    answers.size() % MACHINES, "GET", "/k/" + id, id,
                    static_cast<int>(random_below(&random, 65536))));
            }
            if (trouble && !turned && scene.Now() >= cold_us) {
                turned = true;
                turned_us = cold_since_us = scene.Now();
                machine.warm_at_us = scene.Now() + COLD_US;
                scene.Record("%s is cold, its next heartbeat comes in %lld ms",
                             machine.upstream->id.c_str(),
                             static_cast<long long>(
                                 (machine.beat_at_us - scene.Now()) / MS));
            }
            if (crashes) {
                crashes = false;
                crashed++;
                cold_since_us = 0;
                scene.Crash(i, BACK_MS);
            }
            scene.Advance(5);
        }
        const size_t most = MostInASecond(arrivals, turned_us);
        cold_since_us = 0;
        if (turned) {
            scene.Record("%zu requests in a second, %.1f are allowed%s", most,
                         MOST_IN_A_SECOND,
                         static_cast<double>(most) > MOST_IN_A_SECOND
                             ? ": FAILBACK is broken"
                             : "");
        }
        broken += static_cast<double>(most) > MOST_IN_A_SECOND;
    }
    int served = 0;
    for (const auto &answer : answers) {
        served += answer->status == 200;
    }
    scene.Record("FAILBACK broken in %d of %d colds, %d upstreams crashed; "
                 "%d of %zu requests served",
                 broken, trouble ? ROUNDS : 0, crashed, served,
                 answers.size());
    printf("FAILBACK broken in %d of %d colds, %d upstreams crashed; %d of "
           "%zu requests served\n",
           broken, trouble ? ROUNDS : 0, crashed, served, answers.size());
    if (served == 0) {
        return 2;
    }
    return broken > 0 ? 1 : 0;
}
