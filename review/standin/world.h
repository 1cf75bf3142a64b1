/**
 * Stand-ins for a small deployment on loopback, after the users' pages: the
 * platform's store, upstreams, machines that run the daemon of the deploy
 * file, and clients. One thread serves each connection. Times are seconds of
 * the real clock since the program began.
 */
#ifndef CHESTNUTGAP_REVIEW_WORLD_H
#define CHESTNUTGAP_REVIEW_WORLD_H

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace world {

double Now();
void Sleep(double seconds);
/** A new name, which no other call returns. */
std::string NewId(const char *prefix);
/** A free port of a loopback address. */
int FreePort(const std::string &ip);

/** Writes one line to record.txt, with the time. */
void Record(const char *format, ...) __attribute__((format(printf, 1, 2)));
/** Opens record.txt. TROUBLE=0 in the environment: no disruption. */
bool Begin(const char *record_file);
bool Trouble();

struct Message {
    std::string method; /* of a request */
    std::string target;
    int status = 0; /* of an answer */
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    const std::string *Find(const char *name) const;
    std::string Get(const char *name) const;
};

/** A connected socket with its unread input. */
class Socket {
  public:
    explicit Socket(int fd) : fd_(fd)
    {
    }
    ~Socket();
    Socket(const Socket &) = delete;
    Socket &operator=(const Socket &) = delete;

    /** Reads a message with a length. Of an answer without one, the body ends
     * with the connection. @return false if it did not arrive whole */
    bool Read(Message *message, bool answer, double until);
    bool Write(const std::string &bytes);
    /** True if the peer has closed or reset the connection. */
    bool Closed();
    int fd() const
    {
        return fd_;
    }

  private:
    bool Fill(double until);
    int fd_;
    std::string input_;
};

std::unique_ptr<Socket> Connect(const std::string &ip, int port,
                                double timeout);

std::string Print(const Message &answer, bool framed = true);

/** Accepts connections until the program ends or it is closed. */
class Server {
  public:
    using Handler = std::function<void(Socket &)>;
    Server(const std::string &ip, int port, Handler handler);
    void Close();

  private:
    int listener_;
    std::atomic<bool> open_{true};
};

/** The platform's store: rows-tx, rows-get and rows-feed. */
class Store {
  public:
    explicit Store(const std::string &ip);
    void Put(const std::string &table, const std::string &key,
             const std::string &value);
    void Delete(const std::string &table, const std::string &key);
    std::string address;
    std::string ip;
    int port;

  private:
    struct Row {
        std::string value; /* base64 */
        uint64_t version = 0;
        bool removed = false;
    };
    using Name = std::pair<std::string, std::string>;
    struct Change {
        uint64_t version;
        Name name;
    };
    void Serve(Socket &socket);
    std::string Commit(const std::string &body, int *status);
    std::string Get(const std::map<std::string, std::string> &query);
    std::string Feed(const std::map<std::string, std::string> &query);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<Name, Row> rows_;
    std::vector<Change> history_;
    uint64_t version_ = 1;
};

struct Deployment;

/** True if an upstream has begun to run the request. */
bool HasBegun(const std::string &id);
/** How many times an upstream has begun to run it. */
int TimesBegun(const std::string &id);
/** Requests that the upstream has begun since then, and that time. */
std::vector<std::pair<std::string, double>>
BegunSince(const std::string &upstream, double since);

/** What an upstream does beyond what a sound one does. */
struct Connection {
    Socket &socket;
    std::string last_id; /* of the request answered last on it */
    Message last_answer; /* complete; empty status: none */
    bool last_was_request = false;
};

struct Run {
    std::string id;
    int key = -1;
    double began;
};

/** One life of an upstream. */
class Upstream {
  public:
    Upstream(Deployment *deployment, const std::string &service,
             const std::string &zone, const std::string &ip, int port,
             bool keyed);
    /** Announces itself to its machine's node, as often as the settings say.
     */
    void AnnounceTo(const std::string &ip, int port);
    /** A heartbeat that is sent now and held up on its way. */
    std::string HoldHeartbeat();
    /** Withdraws without reporting before that it drains, and serves on.
     * @return true if that was acknowledged */
    bool Withdraw();
    /** Reports that it drains, serves on, withdraws and ends. */
    void Leave(double drain_s);
    void End();

    const std::string id;
    const std::string service;
    const std::string zone;
    const std::string ip;
    const int port;
    const bool keyed;
    int slots = 18;
    double work_s = 0.2;
    /** Called for each call that arrives. @return true if it has handled the
     * connection, which then closes */
    std::function<bool(Upstream &, Connection &, const Message &)> trouble;
    /** Whether to reject a request though there is room (503, not executed).
     */
    std::function<bool(Upstream &, const Message &)> sheds;
    /** Whether to spoil the answer to a release of these keys. */
    std::function<bool(Upstream &, int from, int to)> spoils;
    bool Holds(int key);
    /** The highest fence that it has seen on the key. */
    uint64_t FenceOf(int key);
    /** The trouble lasts until then. */
    std::atomic<double> trouble_until{0};
    std::atomic<long> answers{0}; /* since the trouble began, or the start */
    std::atomic<long> extras{0};
    /** Begins the trouble. */
    void Trouble(double for_s);

    /** Runs of requests with keys in the range, while the upstream holds
     * them. */
    std::vector<Run> AtWorkHeld(int from, int to);
    void BeginRun(const Message &request);
    void DropRun(const std::string &id);

  private:
    struct Hold {
        uint64_t fence = 0;
        double until = 0;
        bool released = false;
    };
    void Serve(Socket &socket);
    void Answer(Socket &socket);
    Message Handle(Connection &connection, const Message &request,
                   bool *dropped);
    Message Work(Connection &connection, const Message &request,
                 bool *dropped);
    Message Grant(const Message &request);
    Message Release(Connection &connection, const Message &request);
    Message Refuse(int status, const Message &request);
    std::string AnnouncementText(const char *state);
    bool Announce(const char *method, const char *state);

    Deployment *deployment_;
    std::mutex mutex_;
    std::vector<Hold> holds_;
    std::list<Run> runs_;
    std::set<int> sockets_; /* open connections */
    std::atomic<bool> ended_{false};
    std::atomic<bool> leaving_{false};
    std::atomic<int> sequence_{0};
    int64_t born_;
    std::string control_ip_;
    int control_port_ = 0;
    std::unique_ptr<Server> server_;
};

/** A machine: a daemon beside an upstream. */
struct Machine {
    std::string name, ip, zone, service;
    int callers, announcements, readiness, metrics, rpc, target;
    bool keyed;
    std::string settings_file, log_file;
    int pid = -1;
    std::shared_ptr<Upstream> upstream;
    void Start();
    void Signal(int number) const;
    bool IsReady() const;
    /** Restarts the daemon if it has ended. @return true if it had */
    bool Revive();
    int own_ends = 0; /* times that it ended by itself */
};

struct Deployment {
    explicit Deployment(const std::string &directory);
    /** Ends all daemons and this program; its threads still run. */
    [[noreturn]] void Exit(int status);
    Machine &Add(const std::string &service, const std::string &zone,
                 bool keyed);
    /** Starts the upstream of a machine in a new life. */
    std::shared_ptr<Upstream> StartUpstream(Machine &machine);
    /** Starts everything, and waits until all nodes are ready. */
    bool Start(const std::string &config);
    /** Called when an upstream has accepted a grant. */
    std::function<void(Upstream &, int from, int to, uint64_t fence)> granted;
    std::function<void(Upstream &)> prepare; /* each new life */

    std::string directory;
    Store store;
    std::list<Machine> machines;
    std::mutex mutex;
    std::vector<std::shared_ptr<Upstream>> lives;
};

struct Answer {
    int status = 0; /* 0: none */
    Message message;
    double sent = 0;
    double ended = 0;
};

/** Calls the node's control address. @return status of the answer; 0: none */
int CallControl(const Machine &machine, const char *method,
                const std::string &id, const std::string &body);

/** The text of a request. */
std::string PrintRequest(const char *method, const std::string &host,
                         const std::string &path, const std::string &id,
                         int deadline_ms, int key, const std::string &body);

/** Sends one request on a connection of its own. */
Answer Send(const Machine &machine, const char *method,
            const std::string &host, const std::string &path,
            const std::string &id, int deadline_ms, int key = -1,
            const std::string &body = "");

} // namespace world

#endif
