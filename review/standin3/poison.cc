/*
 * A request that crashes each upstream that runs it comes again and again,
 * while the machines of the system are stopped and started in turn.
 * Usage: poison DAEMON RECORD TROUBLE. Exits with 1 if BUDGET was broken.
 */
#include <map>

#include "scene.h"

using namespace scene;

namespace {

constexpr size_t MACHINES = 9;
constexpr int64_t POISON_MS = 700; /* from one coming to the next */
constexpr int64_t BACK_MS = 2000;  /* an upstream is back after that */
constexpr int64_t GAP_MS = 1300;   /* gap_s of roll_term */
constexpr int RETRIES_MAX = 3;
const char *const PATH = "/o/poison/";

struct Sent {
    bool in_touch = false; /* the machine that it was sent to */
    bool reached = false;
    std::shared_ptr<Answer> answer;
};

} // namespace

int
main(int argc, char **argv)
{
    if (argc != 4) {
        return 2;
    }
    const bool trouble = std::string(argv[3]) != "0";
    Scene scene(argv[1], argv[2]);
    std::map<std::string, Sent> sent;
    std::vector<int64_t> crashes_us;
    std::vector<size_t> to_crash;
    int counted = 0;
    for (size_t i = 0; i < MACHINES; i++) {
        scene.AddMachine("plain", "z" + std::to_string(i % 3));
        scene.machines[i]->upstream->fault =
            [&, i](struct http_request *request) {
                if (std::string(http_request_path(request)) != PATH) {
                    return false;
                }
                const std::string id =
                    http_request_header(request, "X-Chestnutgap-Request-Id");
                const bool late = crashes_us.size() >= 3 &&
                                  scene.Now() > crashes_us[2] + CONTACT_US;
                const bool counts = late && sent[id].in_touch &&
                                    scene.InTouch(i) && !sent[id].reached;
                sent[id].reached = sent[id].reached || counts;
                counted += counts;
                scene.Record("%s reaches the upstream of %s%s", id.c_str(),
                             scene.machines[i]->settings.instance,
                             counts ? " and counts" : "");
                crashes_us.push_back(scene.Now());
                to_crash.push_back(i);
                return true;
            };
    }
    scene.store.Put("op", "config", Config(2));
    scene.Advance(6000);

    int ordinary = 0;
    int served = 0;
    std::vector<std::shared_ptr<Answer>> answers;
    size_t roll_next = 0;
    int64_t roll_at_us = scene.Now() + 12 * US_PER_SECOND;
    int64_t poison_at_us = scene.Now();
    const int64_t end_us = scene.Now() + 66 * US_PER_SECOND;
    while (scene.Now() < end_us) {
        scene.Advance(50);
        while (!to_crash.empty()) {
            scene.Crash(to_crash.back(), BACK_MS);
            to_crash.pop_back();
        }
        const size_t from = static_cast<size_t>(ordinary) % MACHINES;
        if (!scene.machines[from]->stopping) {
            const std::string id = "o" + std::to_string(ordinary);
            answers.push_back(scene.Send(from, "GET", "/p/" + id, id));
        }
        ordinary++;
        if (scene.Now() >= poison_at_us) {
            const std::string id = "p" + std::to_string(sent.size());
            size_t at = sent.size() % MACHINES;
            for (size_t k = 0; k < MACHINES && !scene.InTouch(at); k++) {
                at = (at + 1) % MACHINES;
            }
            poison_at_us = scene.Now() + POISON_MS * MS;
            if (scene.InTouch(at)) {
                scene.Record("%s is sent to %s", id.c_str(),
                             scene.machines[at]->settings.instance);
                sent[id].in_touch = true;
                sent[id].answer = scene.Send(at, "POST", PATH, id);
            }
        }
        const bool all_run = [&] {
            for (const auto &machine : scene.machines) {
                if (machine->stopping) {
                    return false;
                }
            }
            return true;
        }();
        if (trouble && roll_next < MACHINES && all_run &&
            scene.Now() >= roll_at_us) {
            scene.Signal(roll_next++, SIGTERM);
        }
        if (!all_run) {
            roll_at_us = scene.Now() + GAP_MS * MS;
        }
    }
    for (const auto &answer : answers) {
        served += answer->status == 200;
    }
    for (const auto &item : sent) {
        scene.Record("%s ended with %u", item.first.c_str(),
                     item.second.answer->status);
    }
    scene.Record("%zu ordinary requests sent, %d served; %zu times sent the "
                 "one that crashes upstreams, %zu crashes; later than "
                 "contact_s after the third crash %d retries reached an "
                 "upstream, %d are allowed",
                 answers.size(), served, sent.size(), crashes_us.size(),
                 counted, RETRIES_MAX);
    printf("%d retries reached upstreams, %zu crashes, %d of %zu ordinary "
           "requests served: %s\n",
           counted, crashes_us.size(), served, answers.size(),
           counted > RETRIES_MAX ? "BUDGET is broken" : "BUDGET held");
    if (served == 0 || crashes_us.size() < 3) {
        return 2;
    }
    return counted > RETRIES_MAX ? 1 : 0;
}
