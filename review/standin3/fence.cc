/*
 * Half of the upstreams, which hold keys, drop idle connections without
 * notice, for 6 s of every 7. One of them crashes meanwhile and is soon
 * back, as another upstream at the same address. Usage: fence DAEMON RECORD
 * TROUBLE (0: neither; crashes: these alone). Exits with 1 if an upstream got
 * a key with a fencing token that isn't above those with which others had it
 * (OWNER).
 */
#include "scene.h"

extern "C" {
#include "base/random.h"
}

using namespace scene;

namespace {

constexpr size_t MACHINES = 8;
constexpr int ROUNDS = 13;
constexpr int64_t IDLE_MS = 1000;  /* idle for so long, it is dropped */
constexpr int64_t DROPS_MS = 6000; /* of each round */
constexpr size_t DROPPING = 4;     /* upstreams that do so at a time */
constexpr int64_t ROUND_MS = 7000;
constexpr int64_t DOWN_MS = 400;   /* from a crash to the next start */
constexpr int BURST = 32;          /* requests that come together */
constexpr int64_t PAUSE_MS = 7000; /* until the next ones */
constexpr int64_t BEAT_MS = 870;   /* heartbeat_s */

} // namespace

int
main(int argc, char **argv)
{
    if (argc != 4) {
        return 2;
    }
    const bool trouble = std::string(argv[3]) != "0";
    const bool forgets = std::string(argv[3]) != "crashes";
    Scene scene(argv[1], argv[2]);
    struct random_state random;
    random_seed(&random, static_cast<uint64_t>(getpid()));
    for (size_t i = 0; i < MACHINES; i++) {
        scene.AddMachine("keyed", "z" + std::to_string(i % 3), Scene::TARGET);
        scene.machines[i]->upstream->work_ms = 60;
    }
    scene.store.Put("op", "config", Config(2));
    scene.Advance(8000);

    std::vector<std::shared_ptr<Answer>> answers;
    int64_t burst_us = scene.Now();
    int broken = 0;
    for (int round = 0; round < ROUNDS; round++) {
        const size_t i = static_cast<size_t>(round) % MACHINES;
        const int64_t end_us = scene.Now() + ROUND_MS * MS;
        const int64_t crash_us =
            scene.Now() + random_range(&random, 2000, 4000) * MS;
        bool crashed = false;
        while (scene.Now() < end_us) {
            for (int k = 0; k < BURST && scene.Now() >= burst_us; k++) {
                const std::string id = "r" + std::to_string(answers.size());
                answers.push_back(scene.Send(
                    answers.size() % MACHINES, "GET", "/k/" + id, id,
                    static_cast<int>(random_below(&random, 65536))));
            }
            if (scene.Now() >= burst_us) {
                burst_us = scene.Now() + PAUSE_MS * MS;
            }
            scene.Advance(20);
            const bool drops =
                trouble && forgets &&
                scene.Now() < end_us - (ROUND_MS - DROPS_MS) * MS;
            for (size_t k = 0; drops && k < DROPPING; k++) {
                scene.machines[(i + k) % MACHINES]->target_link->Forget(
                    IDLE_MS);
            }
            if (trouble && !crashed && scene.Now() >= crash_us) {
                crashed = true;
                scene.first_beat_ms =
                    static_cast<int64_t>(random_below(&random, BEAT_MS));
                scene.Crash(i, DOWN_MS);
            }
        }
        if (!scene.grant_history.violation.empty()) {
            scene.Record("OWNER is broken: %s",
                         scene.grant_history.violation.c_str());
            scene.grant_history.violation.clear();
            broken++;
        }
    }
    int served = 0;
    for (const auto &answer : answers) {
        served += answer->status == 200;
    }
    scene.Record("OWNER broken after %d of %d crashes; %d of %zu requests "
                 "served",
                 broken, trouble ? ROUNDS : 0, served, answers.size());
    printf("OWNER broken after %d of %d crashes; %d of %zu requests served\n",
           broken, trouble ? ROUNDS : 0, served, answers.size());
    if (served == 0) {
        return 2;
    }
    return broken > 0 ? 1 : 0;
}
