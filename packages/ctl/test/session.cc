#include "session.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <regex>
#include <sstream>

extern "C" {
#include <event2/buffer.h>
#include <event2/http.h>
}

namespace {

std::string
read_file(const std::string &name)
{
    std::ifstream file(name);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

/** @return the port */
int
listen_on_any_port(struct evhttp *http)
{
    struct evhttp_bound_socket *bound =
        evhttp_bind_socket_with_handle(http, "127.0.0.1", 0);
    struct sockaddr_in address = {};
    socklen_t size = sizeof(address);
    getsockname(evhttp_bound_socket_get_fd(bound),
                reinterpret_cast<struct sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

std::string
request_body(struct evhttp_request *request)
{
    struct evbuffer *input = evhttp_request_get_input_buffer(request);
    std::string body(evbuffer_get_length(input), '\0');
    evbuffer_copyout(input, &body[0], body.size());
    return body;
}

/** Sends a request to the store. @return the connection */
int
send_to_store(int store_port, const std::string &method_and_path,
              const std::string &body)
{
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    struct sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(store_port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(0, connect(fd, reinterpret_cast<struct sockaddr *>(&address),
                         sizeof(address)));
    const std::string request =
        method_and_path + " HTTP/1.1\r\nHost: s\r\nConnection: close\r\n" +
        "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    EXPECT_EQ(static_cast<ssize_t>(request.size()),
              write(fd, request.data(), request.size()));
    return fd;
}

/** Reads until the store closes the connection. @return head and body */
std::string
receive_from_store(int fd)
{
    std::string answer;
    char buffer[4096];
    for (ssize_t size; (size = read(fd, buffer, sizeof(buffer))) > 0;) {
        answer.append(buffer, size);
    }
    close(fd);
    return answer;
}

std::string
body_of(const std::string &answer)
{
    const size_t end = answer.find("\r\n\r\n");
    return end == std::string::npos ? "" : answer.substr(end + 4);
}

/** Passes the store's answer on. */
void
reply(struct evhttp_request *request, const std::string &answer)
{
    const std::string text = body_of(answer);
    const size_t status = answer.find(' ');
    struct evbuffer *body = evbuffer_new();
    evbuffer_add(body, text.data(), text.size());
    evhttp_send_reply(request,
                      status == std::string::npos
                          ? HTTP_SERVUNAVAIL
                          : atoi(answer.c_str() + status),
                      nullptr, body);
    evbuffer_free(body);
}

} // namespace

FakeDaemon::FakeDaemon(struct runtime *runtime)
    : http(evhttp_new(runtime_event_base(runtime)))
{
    port = listen_on_any_port(http);
    evhttp_set_gencb(http, serve, this);
}

FakeDaemon::~FakeDaemon()
{
    evhttp_free(http);
}

void
FakeDaemon::serve(struct evhttp_request *request, void *ctx)
{
    auto *daemon = static_cast<FakeDaemon *>(ctx);
    const std::string path = evhttp_request_get_uri(request);
    daemon->requests[path]++;
    daemon->last_body = request_body(request);
    if (daemon->on_request) {
        daemon->on_request(daemon);
    }
    const auto found = daemon->answers.find(path);
    struct evbuffer *body = evbuffer_new();
    if (found != daemon->answers.end()) {
        evbuffer_add(body, found->second.data(), found->second.size());
    }
    evhttp_send_reply(request, found != daemon->answers.end() ? 200 : 404,
                      nullptr, body);
    evbuffer_free(body);
}

CommitBarrier::CommitBarrier(struct runtime *runtime, int store_port,
                             size_t count)
    : http(evhttp_new(runtime_event_base(runtime))), store_port(store_port),
      count(count)
{
    port = listen_on_any_port(http);
    evhttp_set_gencb(http, serve, this);
}

CommitBarrier::~CommitBarrier()
{
    for (const Held &held : waiting) {
        reply(held.request, "");
    }
    evhttp_free(http);
}

void
CommitBarrier::serve(struct evhttp_request *request, void *ctx)
{
    auto *barrier = static_cast<CommitBarrier *>(ctx);
    const bool is_post =
        evhttp_request_get_command(request) == EVHTTP_REQ_POST;
    const std::string method_and_path =
        std::string(is_post ? "POST " : "GET ") +
        evhttp_request_get_uri(request);
    const std::string body = request_body(request);
    if (!is_post || barrier->open) {
        reply(request, receive_from_store(send_to_store(
                           barrier->store_port, method_and_path, body)));
        return;
    }
    /* A program sends its transaction again after a timeout. */
    static const std::regex id("\"id\": *\"([0-9a-f]+)\"");
    std::smatch match;
    EXPECT_TRUE(std::regex_search(body, match, id)) << body;
    barrier->transactions.insert(match[1]);
    barrier->waiting.push_back({request, method_and_path, body});
    barrier->open = barrier->transactions.size() == barrier->count;
    if (barrier->open) {
        barrier->release();
    }
}

/** Answers none before all are with the store. */
void
CommitBarrier::release()
{
    std::vector<int> connections;
    for (const Held &held : waiting) {
        connections.push_back(
            send_to_store(store_port, held.method_and_path, held.body));
    }
    for (size_t i = 0; i < waiting.size(); i++) {
        reply(waiting[i].request, receive_from_store(connections[i]));
    }
    waiting.clear();
}

Session::Session() : runtime(runtime_create(nullptr))
{
    char name[] = "/tmp/chestnutgapctl_test.XXXXXX";
    directory = mkdtemp(name);
    start_store();
}

Session::~Session()
{
    EXPECT_EQ(0, stop(store_pid));
    EXPECT_EQ(0, system(("rm -r " + directory).c_str()));
    runtime_destroy(runtime);
}

pid_t
Session::start(std::vector<std::string> words, const std::string &output)
{
    std::vector<char *> argv;
    for (std::string &word : words) {
        argv.push_back(&word[0]);
    }
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    for (const int fd : {STDOUT_FILENO, STDERR_FILENO}) {
        posix_spawn_file_actions_addopen(&actions, fd, output.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, 0600);
    }
    pid_t pid = -1;
    EXPECT_EQ(0, posix_spawn(&pid, argv[0], &actions, nullptr, argv.data(),
                             environ));
    posix_spawn_file_actions_destroy(&actions);
    return pid;
}

void
Session::send_signal(pid_t pid, int number)
{
    if (pid <= 0) {
        ADD_FAILURE() << "the program was not started";
        return;
    }
    kill(pid, number);
}

int
Session::stop(pid_t pid)
{
    int status = 0;
    send_signal(pid, SIGTERM);
    if (pid <= 0 || waitpid(pid, &status, 0) != pid) {
        return -1;
    }
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

void
Session::start_store()
{
    const std::string port_file = directory + "/port";
    store_pid = start({BUILD_DIR "/store_standin", "--port-file", port_file},
                      directory + "/store.log");
    for (int i = 0; i < 1000 && store_port == 0; i++) {
        usleep(5000);
        store_port = atoi(read_file(port_file).c_str());
    }
    ASSERT_NE(0, store_port);
}

void
Session::pause_store(bool pause) const
{
    send_signal(store_pid, pause ? SIGSTOP : SIGCONT);
}

pid_t
Session::start_daemon(const std::string &instance, const std::string &zone)
{
    const std::string settings = directory + "/" + instance + ".json";
    std::ofstream(settings)
        << R"({"instance":")" << instance << R"(","zone":")" << zone
        << R"(","http":{"listen":"127.0.0.1:0"},)"
        << R"("rpc":{"listen":"127.0.0.1:0"},)"
        << R"("announce":{"listen":"127.0.0.1:0"},)"
        << R"("store":{"address":"127.0.0.1:)" << store_port
        << R"("},"log":{"level":"warning"}})";
    return start({BUILD_DIR "/chestnutgapd", "--settings", settings},
                 directory + "/" + instance + ".log");
}

void
Session::wait_for(const std::string &arguments, const std::string &text,
                  size_t count)
{
    size_t found = 0;
    std::string output;
    for (int i = 0; i < 200 && found < count; i++) {
        usleep(50000);
        output = run(arguments).output;
        found = 0;
        for (size_t at = output.find(text); at != std::string::npos;
             at = output.find(text, at + 1)) {
            found++;
        }
    }
    ASSERT_EQ(count, found) << output;
}

std::vector<RunResult>
Session::run_all(const std::vector<std::string> &arguments)
{
    std::vector<FILE *> pipes;
    std::vector<RunResult> results(arguments.size());
    for (const std::string &text : arguments) {
        const std::string command =
            "cd " SOURCE_DIR "; USER=operator CHESTNUTGAP_STORE=127.0.0.1:" +
            std::to_string(store_port) + " " BUILD_DIR "/chestnutgapctl " +
            text + " 2>&1";
        pipes.push_back(popen(command.c_str(), "r"));
        fcntl(fileno(pipes.back()), F_SETFL, O_NONBLOCK);
    }
    size_t open = pipes.size();
    while (open > 0) {
        runtime_poll(runtime);
        usleep(500);
        for (size_t i = 0; i < pipes.size(); i++) {
            char buffer[65536];
            const ssize_t size =
                pipes[i] != nullptr
                    ? read(fileno(pipes[i]), buffer, sizeof(buffer))
                    : -1;
            if (size > 0) {
                results[i].output.append(buffer, size);
            }
            if (size == 0) {
                results[i].code = WEXITSTATUS(pclose(pipes[i]));
                pipes[i] = nullptr;
                open--;
            }
        }
    }
    return results;
}

RunResult
Session::run(const std::string &arguments)
{
    return run_all({arguments})[0];
}

std::string
Session::normalize(const std::string &text) const
{
    static const std::vector<std::pair<std::regex, std::string>> rules = {
        {std::regex("127\\.0\\.0\\.1:[0-9]{5}"), "127.0.0.1:PORT0"},
        {std::regex("[0-9]{4}-[0-9]{2}-[0-9]{2}T[0-9:.]{12}Z"),
         "YYYY-MM-DDThh:mm:ss.mmmZ"},
        {std::regex("\"at\": [0-9]+"), "\"at\": TIME"},
        {std::regex("[0-9]{20}-[0-9a-f]{16}"), "TIME-TRANSACTION"},
    };
    std::string result = text;
    for (const auto &rule : rules) {
        result = std::regex_replace(result, rule.first, rule.second);
    }
    for (size_t at; (at = result.find(directory)) != std::string::npos;) {
        result.replace(at, directory.size(), "DIRECTORY");
    }
    return result;
}

int
Session::record(const std::string &arguments)
{
    const RunResult result = run(arguments);
    transcript += "$ chestnutgapctl " + arguments + "\n" + result.output +
                  "exit " + std::to_string(result.code) + "\n\n";
    return result.code;
}

void
Session::expect_golden(const std::string &name)
{
    const std::string file = SOURCE_DIR "/packages/ctl/test/golden/" + name;
    const std::string text = normalize(transcript);
    if (getenv("CHESTNUTGAP_UPDATE_GOLDEN") != nullptr) {
        std::ofstream(file) << text;
    }
    EXPECT_EQ(read_file(file), text);
}

std::string
Session::store_post(const std::string &path, const std::string &body)
{
    return body_of(
        receive_from_store(send_to_store(store_port, "POST " + path, body)));
}

void
Session::put_row(const std::string &table, const std::string &row,
                 const std::string &value)
{
    char id[17];
    snprintf(id, sizeof(id), "%016x", next_txn++);
    const std::string answer = store_post(
        "/v1/commit", std::string("{\"id\":\"") + id +
                          "\",\"expect\":[],\"write\":[{\"table\":\"" + table +
                          "\",\"row\":\"" + row + "\",\"value\":" + value +
                          "}]}");
    EXPECT_NE(std::string::npos, answer.find("committed")) << answer;
}

void
Session::put_member(const std::string &instance, const std::string &zone,
                    const std::string &service, const std::string &state,
                    int port)
{
    put_row("members", instance,
            R"({"instance":")" + instance + R"(","incarnation":1,"zone":")" +
                zone + R"(","region":"powys","service":")" + service +
                R"(","rpc":"10.0.0.1:8090","http":"127.0.0.1:)" +
                std::to_string(port) + R"(","state":")" + state +
                R"(","slots":20,"checks_grants":true,)"
                R"("longest_request_us":10000000,"lease_us":750000,)"
                R"("renewal_max_us":3600000000,"serve_after_us":0,)"
                R"("guardians":[],"outgoing":[]})");
}

std::string
Session::example(const std::string &name, const std::string &from,
                 const std::string &to)
{
    std::string text = read_file(SOURCE_DIR "/examples/" + name);
    const size_t at = text.find(from);
    EXPECT_NE(std::string::npos, at);
    text.replace(at, from.size(), to);
    const std::string file =
        directory + "/state" + std::to_string(next_file++) + ".json";
    std::ofstream(file) << text;
    return file;
}
