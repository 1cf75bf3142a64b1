/*
 * What the review's scripts share: daemon processes of the deploy file, each
 * beside an upstream, between the project's stand-ins, on loopback and the
 * real clock; the record of a run; and which machines are in touch.
 */
#ifndef CHESTNUTGAP_REVIEW_SCENE_H
#define CHESTNUTGAP_REVIEW_SCENE_H

#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "link.h"
#include "process.h"

namespace scene {

using namespace standin;

constexpr int64_t CONTACT_US = 3 * US_PER_SECOND; /* contact_s */

/** A machine: an upstream and the daemon beside it. */
struct Machine {
    std::unique_ptr<Upstream> upstream;
    struct nodesettings settings;
    std::unique_ptr<Process> daemon;
    std::unique_ptr<Link> store_link;  /* if its connections pass a proxy */
    std::unique_ptr<Link> target_link; /* likewise, to the upstream */
    struct address listens = {};       /* the upstream itself */
    int64_t beat_at_us = 0;            /* next heartbeat */
    bool stopping = false;             /* SIGTERM or SIGKILL was sent */
    int64_t disturbed_us = 0; /* latest signal or start of its daemon */
    int64_t back_at_us = 0;   /* when its upstream starts again; 0: it runs */
    int64_t warm_at_us = 0;   /* when its upstream is warm */
};

class Scene {
  public:
    Scene(const std::string &program, const std::string &record)
        : program_(program), record_(fopen(record.c_str(), "w"))
    {
        const char *base = getenv("TMPDIR");
        directory_ = std::string(base != nullptr ? base : P_tmpdir) +
                     "/chestnutgap-review-XXXXXX";
        if (record_ == nullptr || mkdtemp(&directory_[0]) == nullptr) {
            perror("record or temporary folder");
            exit(2);
        }
        signal(SIGPIPE, SIG_IGN);
        begun_us_ = Now();
    }

    ~Scene()
    {
        RecordRequests();
        callers_.clear();
        for (const auto &machine : machines) {
            machine->daemon.reset();
        }
        fclose(record_);
    }

    int64_t Now() const
    {
        return runtime_now_us(loop.runtime);
    }

    __attribute__((format(printf, 2, 3))) void Record(const char *format, ...)
    {
        va_list arguments;
        va_start(arguments, format);
        fprintf(record_, "%8.3f  ",
                static_cast<double>(Now() - begun_us_) / 1e6);
        vfprintf(record_, format, arguments);
        fputc('\n', record_);
        va_end(arguments);
    }

    enum Linked {
        NONE,
        STORE,
        TARGET
    };

    /** linked: which connections of the daemon pass a proxy. */
    void AddMachine(const std::string &service, const std::string &zone,
                    Linked linked = NONE)
    {
        const std::string number = std::to_string(machines.size());
        auto machine = std::make_unique<Machine>();
        machine->upstream =
            std::make_unique<Upstream>(loop, NextId(), service, zone);
        machine->upstream->keyed = service == "keyed";
        machine->listens = machine->upstream->address;
        machine->upstream->grant_history = &grant_history;
        if (linked == TARGET) {
            machine->target_link =
                std::make_unique<Link>(loop, machine->listens);
            machine->upstream->address = machine->target_link->address;
        }
        const std::string name = "sidecar-" + number;
        Upstream *upstream = machine->upstream.get();
        upstream->order_fault = [this, upstream,
                                 name](struct http_request *request) {
            size_t size;
            const void *body = http_request_body(request, &size);
            Record("%s beside %s gets %s %.*s", upstream->id.c_str(),
                   name.c_str(), http_request_path(request),
                   static_cast<int>(size), static_cast<const char *>(body));
            return false;
        };
        machine->settings =
            Router::Settings(store, name, zone, *machine->upstream);
        if (linked == STORE) {
            machine->store_link =
                std::make_unique<Link>(loop, machine->settings.store);
            machine->settings.store = machine->store_link->address;
        }
        machine->daemon =
            std::make_unique<Process>(program_, directory_, machine->settings);
        machine->disturbed_us = Now();
        machines.push_back(std::move(machine));
    }

    std::string NextId()
    {
        return "i-" + std::to_string(next_instance_++);
    }

    /** True if the machine's daemon had no signal and no start in the last
     * contact_s. */
    bool InTouch(size_t i) const
    {
        return !machines[i]->stopping &&
               Now() - machines[i]->disturbed_us > CONTACT_US;
    }

    void Signal(size_t i, int number)
    {
        machines[i]->stopping = true;
        machines[i]->disturbed_us = Now();
        machines[i]->daemon->Signal(number);
        Record("%s gets signal %d", machines[i]->settings.instance, number);
    }

    /** Sends a request to the daemon of a machine. */
    std::shared_ptr<Answer> Send(size_t i, const std::string &method,
                                 const std::string &path,
                                 const std::string &id, int key = -1,
                                 int deadline_ms = 1000)
    {
        callers_.push_back(
            std::make_unique<Caller>(loop, machines[i]->settings.callers));
        sent_.push_back(
            {Now(), i, method + " " + path, id,
             callers_.back()->Send(method, path, id, key, deadline_ms)});
        return sent_.back().answer;
    }

    /** An upstream crashes, and is back, cold, after back_ms. */
    void Crash(size_t i, int64_t back_ms)
    {
        Machine &machine = *machines[i];
        if (machine.target_link != nullptr) {
            machine.target_link->Close();
        }
        machine.upstream->Stop();
        machine.back_at_us = Now() + back_ms * MS;
        Record("the upstream %s of %s has crashed",
               machine.upstream->id.c_str(), machine.settings.instance);
    }

    /** Advances the clock: heartbeats, restarts of daemons and upstreams. */
    void Advance(int64_t ms)
    {
        const int64_t end_us = Now() + ms * MS;
        while (Now() < end_us) {
            for (size_t i = 0; i < machines.size(); i++) {
                Step(*machines[i]);
            }
            loop.Run(5);
        }
    }

    TestLoop loop{TestLoop::REAL};
    Store store{loop};
    std::vector<std::unique_ptr<Machine>> machines;
    double warmup_s = 3.0;
    int64_t heartbeat_ms = 870;
    int64_t first_beat_ms = 0; /* after the start of an upstream */

    GrantHistory grant_history;

  private:
    struct Sent {
        int64_t at_us;
        size_t to;
        std::string what;
        std::string id;
        std::shared_ptr<Answer> answer;
    };

    /** What was sent, answered and run. */
    void RecordRequests()
    {
        std::map<std::string, std::string> ran;
        for (const auto &machine : machines) {
            for (const std::string &id : machine->upstream->ran) {
                ran[id] += std::string(" ") + machine->settings.instance;
            }
        }
        for (const Sent &sent : sent_) {
            fprintf(record_,
                    "%8.3f  request %s, %s, sent to %s; answer %u; began to "
                    "run beside:%s\n",
                    static_cast<double>(sent.at_us - begun_us_) / 1e6,
                    sent.id.c_str(), sent.what.c_str(),
                    machines[sent.to]->settings.instance, sent.answer->status,
                    ran.count(sent.id) > 0 ? ran[sent.id].c_str() : " none");
        }
    }

    void Step(Machine &machine)
    {
        if (machine.stopping && machine.daemon->Reap(false)) {
            machine.stopping = false;
            machine.disturbed_us = Now();
            machine.daemon->Start();
            Record("%s starts again", machine.settings.instance);
        }
        if (machine.back_at_us > 0 && Now() >= machine.back_at_us) {
            Return(machine);
        }
        if (machine.back_at_us == 0 && Now() >= machine.beat_at_us) {
            const int64_t cold_us = machine.warm_at_us - Now();
            machine.beat_at_us = Now() + heartbeat_ms * MS;
            machine.upstream->warmup_left_s =
                cold_us > 0 ? static_cast<double>(cold_us) / 1e6 : 0;
            machine.upstream->AnnounceAsync(machine.settings.announcements);
        }
    }

    /** A crashed upstream starts again, as another incarnation. */
    void Return(Machine &machine)
    {
        Upstream &upstream = *machine.upstream;
        machine.back_at_us = 0;
        machine.warm_at_us = Now() + static_cast<int64_t>(warmup_s * 1e6);
        machine.beat_at_us = Now() + first_beat_ms * MS;
        upstream.address = machine.listens;
        upstream.Restart(NextId());
        if (machine.target_link != nullptr) {
            upstream.address = machine.target_link->address;
            machine.target_link->Open();
        }
        Record("the upstream of %s is back as %s", machine.settings.instance,
               upstream.id.c_str());
    }

    std::string program_;
    std::string directory_;
    FILE *record_;
    int64_t begun_us_ = 0;
    int next_instance_ = 0;
    std::vector<Sent> sent_;
    std::vector<std::unique_ptr<Caller>> callers_;
};

} // namespace scene

#endif
