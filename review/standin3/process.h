/*
 * A daemon process, started as the deploy file has it: `target/chestnutgapd`
 * without arguments, its settings file named by CHESTNUTGAP_CONFIG.
 */
#ifndef CHESTNUTGAP_REVIEW_PROCESS_H
#define CHESTNUTGAP_REVIEW_PROCESS_H

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <string>
#include <sys/wait.h>
#include <unistd.h>

#include "standin.h"

namespace scene {

class Process {
  public:
    Process(const std::string &program, const std::string &directory,
            const struct nodesettings &settings)
        : program_(program), file_(directory + "/" + settings.instance),
          settings_(settings)
    {
        WriteSettings(true);
        Start();
    }

    ~Process()
    {
        Signal(SIGKILL);
        Reap(true);
    }

    void Start()
    {
        const std::string log = file_ + ".log";
        std::string variable = "CHESTNUTGAP_CONFIG=" + file_ + ".json";
        std::string language = "LANG=C";
        char *const environment[] = {&variable[0], &language[0], nullptr};
        char *const arguments[] = {&program_[0], nullptr};
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, 0600);
        posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
        if (posix_spawn(&pid_, program_.c_str(), &actions, nullptr, arguments,
                        environment) != 0) {
            perror(program_.c_str());
            exit(2);
        }
        posix_spawn_file_actions_destroy(&actions);
    }

    void Signal(int number) const
    {
        if (pid_ > 0) {
            kill(pid_, number);
        }
    }

    /** True if the process has ended. */
    bool Reap(bool wait)
    {
        if (pid_ > 0 && waitpid(pid_, nullptr, wait ? 0 : WNOHANG) == pid_) {
            pid_ = -1;
            WriteSettings(false);
        }
        return pid_ <= 0;
    }

  private:
    /** The fields of deploy/settings.json.template, for a small site. */
    void WriteSettings(bool bootstrap) const
    {
        std::ofstream file(file_ + ".json");
        const auto text = [&](const char *name, const std::string &value) {
            file << "\"" << name << "\": \"" << value << "\",\n";
        };
        const auto address = [&](const char *name,
                                 const struct address &value) {
            text(name, standin::Text(value));
        };
        file << "{\"platform\": \"rows\", \"memory_mb\": 260,\n"
                "\"max_fds\": 4100,\n";
        if (bootstrap) {
            file << "\"bootstrap\": true,\n";
        }
        text("instance", settings_.instance);
        text("zone", settings_.zone);
        text("service", settings_.service);
        address("callers", settings_.callers);
        address("announcements", settings_.announcements);
        address("readiness", settings_.readiness);
        address("metrics", settings_.metrics);
        address("rpc", settings_.rpc);
        address("target", settings_.target);
        address("store", settings_.store);
        file << "\"drain_s\": 2, \"evacuate_s\": 5, \"grace_s\": 6,\n"
                "\"heartbeat_s\": 0.87, \"hold_max_s\": 10,\n"
                "\"retry_window_s\": 10, \"retry_share\": 0.2,\n"
                "\"retry_reserve\": 62}\n";
    }

    std::string program_;
    std::string file_;
    struct nodesettings settings_;
    pid_t pid_ = -1;
};

} // namespace scene

#endif
