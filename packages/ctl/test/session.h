/**
 * @file
 * Runs chestnutgapctl against a store_standin and fake daemons, and compares
 * transcripts with golden files.
 */
#ifndef CHESTNUTGAP_CTL_TEST_SESSION_H
#define CHESTNUTGAP_CTL_TEST_SESSION_H

#include <gtest/gtest.h>

#include <sys/types.h>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "base/runtime.h"
}

struct evhttp;
struct evhttp_request;

/** An HTTP server with fixed answers. */
class FakeDaemon {
  public:
    explicit FakeDaemon(struct runtime *runtime);
    ~FakeDaemon();

    std::map<std::string, std::string> answers; /**< by path */
    std::map<std::string, int> requests;        /**< by path */
    std::string last_body;
    std::function<void(FakeDaemon *)> on_request; /**< before answering */
    int port = 0;

  private:
    static void serve(struct evhttp_request *request, void *ctx);
    struct evhttp *http;
};

/**
 * Passes requests on to the store, but holds back commits until a number of
 * different transactions wait, and then sends all of them at once. So each
 * of that many commands has read what it needs before the first one commits,
 * however late it was started.
 */
class CommitBarrier {
  public:
    CommitBarrier(struct runtime *runtime, int store_port, size_t count);
    ~CommitBarrier();

    int port = 0;

  private:
    /** A request of a program, and what is sent to the store for it. */
    struct Held {
        struct evhttp_request *request;
        std::string method_and_path;
        std::string body;
    };

    static void serve(struct evhttp_request *request, void *ctx);
    void release();

    struct evhttp *http;
    const int store_port;
    const size_t count;
    bool open = false; /**< the number was reached */
    std::set<std::string> transactions;
    std::vector<Held> waiting; /**< in the order of arrival */
};

/** Result of one run of the program. */
struct RunResult {
    std::string output; /**< stdout and stderr */
    int code = -1;
};

class Session : public ::testing::Test {
  protected:
    Session();
    ~Session() override;

    /** Runs the program and serves the fake daemons until it exits. */
    RunResult run(const std::string &arguments);

    /** Runs several concurrently. */
    std::vector<RunResult> run_all(const std::vector<std::string> &arguments);

    /** Runs the program and adds it to the transcript. */
    int record(const std::string &arguments);

    /** Compares the transcript with a golden file. */
    void expect_golden(const std::string &name);

    /** Sends a request to the store. @return the answer's body */
    std::string store_post(const std::string &path, const std::string &body);

    /** Writes a row unconditionally. */
    void put_row(const std::string &table, const std::string &row,
                 const std::string &value);

    /** Adds a member whose HTTP port is given. */
    void put_member(const std::string &instance, const std::string &zone,
                    const std::string &service, const std::string &state,
                    int port);

    /** Copies an example with a replacement. @return the copy's path */
    std::string example(const std::string &name, const std::string &from,
                        const std::string &to);

    /** Starts a daemon without a target. */
    pid_t start_daemon(const std::string &instance, const std::string &zone);

    /** Signals a program; fails the test if it was not started. */
    static void send_signal(pid_t pid, int number);

    /** Stops a program with SIGTERM. @return its exit code */
    static int stop(pid_t pid);

    /** Repeats a command until its output contains text count times. */
    void wait_for(const std::string &arguments, const std::string &text,
                  size_t count);

    /** Sends SIGSTOP or SIGCONT to the store. */
    void pause_store(bool pause) const;

    struct runtime *runtime;
    std::string directory;
    int store_port = 0;

  private:
    pid_t start(std::vector<std::string> words, const std::string &output);
    void start_store();
    std::string normalize(const std::string &text) const;
    pid_t store_pid = -1;
    unsigned next_txn = 1;
    unsigned next_file = 1;
    std::string transcript;
};

#endif
