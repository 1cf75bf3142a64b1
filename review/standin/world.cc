#include "world.h"

#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <jansson.h>

namespace world {

namespace {

constexpr double HEARTBEAT_S = 0.87;
constexpr double STORE_ANSWER_S = 0.004;
constexpr double TRANSACTION_S = 0.008;
constexpr double IO_S = 30;

std::mutex record_mutex;
FILE *record_file;
std::atomic<int> next_id{1};
std::mutex begun_mutex;
std::map<std::string, int> begun;
struct Begun {
    std::string upstream;
    std::string id;
    double at;
};
std::vector<Begun> all_begun;
const auto epoch = std::chrono::steady_clock::now();

struct sockaddr_in
Address(const std::string &ip, int port)
{
    struct sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/** Loopback addresses of this process: others may run at the same time. */
std::string
LoopbackAddress(int number)
{
    const int pid = getpid();
    return "127." + std::to_string(1 + pid / 250 % 250) + "." +
           std::to_string(1 + pid % 250) + "." + std::to_string(number);
}

std::string
Unescape(const std::string &text)
{
    std::string plain;
    for (size_t i = 0; i < text.size(); i++) {
        if (text[i] == '%' && i + 2 < text.size()) {
            plain += static_cast<char>(
                std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        }
        else {
            plain += text[i];
        }
    }
    return plain;
}

std::map<std::string, std::string>
Query(const std::string &target)
{
    std::map<std::string, std::string> values;
    const size_t mark = target.find('?');
    std::string rest =
        mark == std::string::npos ? "" : target.substr(mark + 1);
    while (!rest.empty()) {
        const size_t end = rest.find('&');
        const std::string item = rest.substr(0, end);
        const size_t equal = item.find('=');
        if (equal != std::string::npos) {
            values[item.substr(0, equal)] = Unescape(item.substr(equal + 1));
        }
        rest = end == std::string::npos ? "" : rest.substr(end + 1);
    }
    return values;
}

std::string
Base64(const std::string &value)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqr"
                                 "stuvwxyz0123456789+/";
    std::string text;
    for (size_t i = 0; i < value.size(); i += 3) {
        uint32_t bits = static_cast<unsigned char>(value[i]) << 16;
        if (i + 1 < value.size()) {
            bits |= static_cast<unsigned char>(value[i + 1]) << 8;
        }
        if (i + 2 < value.size()) {
            bits |= static_cast<unsigned char>(value[i + 2]);
        }
        text += digits[bits >> 18];
        text += digits[bits >> 12 & 63];
        text += i + 1 < value.size() ? digits[bits >> 6 & 63] : '=';
        text += i + 2 < value.size() ? digits[bits & 63] : '=';
    }
    return text;
}

std::string
Dump(json_t *document)
{
    char *text = json_dumps(document, JSON_COMPACT);
    std::string copy = text;
    free(text);
    json_decref(document);
    return copy;
}

std::string
Text(const json_t *object, const char *field)
{
    const char *text = json_string_value(json_object_get(object, field));
    return text != nullptr ? text : "";
}

Message
MakeAnswer(int status, const std::string &body = "")
{
    Message answer;
    answer.status = status;
    answer.body = body;
    return answer;
}

} // namespace

double
Now()
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                         epoch)
        .count();
}

void
Sleep(double seconds)
{
    if (seconds > 0) {
        std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
    }
}

std::string
NewId(const char *prefix)
{
    char id[64];
    snprintf(id, sizeof(id), "%s%08x", prefix, next_id++);
    return id;
}

int
FreePort(const std::string &ip)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    struct sockaddr_in address = Address(ip, 0);
    socklen_t size = sizeof(address);
    if (bind(fd, reinterpret_cast<struct sockaddr *>(&address), size) != 0 ||
        getsockname(fd, reinterpret_cast<struct sockaddr *>(&address),
                    &size) != 0) {
        perror("no free port");
        exit(2);
    }
    close(fd);
    return ntohs(address.sin_port);
}

bool
Begin(const char *file)
{
    signal(SIGPIPE, SIG_IGN);
    record_file = fopen(file, "w");
    return record_file != nullptr;
}

bool
Trouble()
{
    const char *trouble = getenv("TROUBLE");
    return trouble == nullptr || strcmp(trouble, "0") != 0;
}

void
Record(const char *format, ...)
{
    std::lock_guard<std::mutex> lock(record_mutex);
    va_list arguments;
    fprintf(record_file, "%8.3f ", Now());
    va_start(arguments, format);
    vfprintf(record_file, format, arguments);
    va_end(arguments);
    fputc('\n', record_file);
    fflush(record_file);
}

/* Messages. */

const std::string *
Message::Find(const char *name) const
{
    for (const auto &header : headers) {
        if (strcasecmp(header.first.c_str(), name) == 0) {
            return &header.second;
        }
    }
    return nullptr;
}

std::string
Message::Get(const char *name) const
{
    const std::string *value = Find(name);
    return value != nullptr ? *value : "";
}

std::string
Print(const Message &answer, bool framed)
{
    std::string text = "HTTP/1.1 " + std::to_string(answer.status) + " X\r\n";
    for (const auto &header : answer.headers) {
        if (framed || strcasecmp(header.first.c_str(), "Keep-Alive") != 0) {
            text += header.first + ": " + header.second + "\r\n";
        }
    }
    if (framed) {
        text +=
            "Content-Length: " + std::to_string(answer.body.size()) + "\r\n";
    }
    else {
        text += "Connection: close\r\n";
    }
    return text + "\r\n" + answer.body;
}

Socket::~Socket()
{
    close(fd_);
}

bool
Socket::Fill(double until)
{
    struct pollfd waiting = {fd_, POLLIN, 0};
    const double left = until - Now();
    if (left <= 0 ||
        poll(&waiting, 1, static_cast<int>(left * 1000) + 1) <= 0) {
        return false;
    }
    char bytes[16384];
    const ssize_t size = recv(fd_, bytes, sizeof(bytes), 0);
    if (size <= 0) {
        return false;
    }
    input_.append(bytes, static_cast<size_t>(size));
    return true;
}

bool
Socket::Read(Message *message, bool answer, double until)
{
    size_t end;
    while ((end = input_.find("\r\n\r\n")) == std::string::npos) {
        if (!Fill(until)) {
            return false;
        }
    }
    *message = Message();
    const std::string head = input_.substr(0, end + 2);
    input_.erase(0, end + 4);
    size_t line = 0;
    for (bool first = true; line < head.size(); first = false) {
        const size_t next = head.find("\r\n", line);
        const std::string text = head.substr(line, next - line);
        line = next + 2;
        const size_t space = text.find(' ');
        const size_t colon = text.find(':');
        if (first && answer) {
            message->status = atoi(text.c_str() + space + 1);
        }
        else if (first) {
            message->method = text.substr(0, space);
            message->target =
                text.substr(space + 1, text.rfind(' ') - space - 1);
        }
        else if (colon != std::string::npos) {
            size_t value = colon + 1;
            while (value < text.size() && text[value] == ' ') {
                value++;
            }
            message->headers.emplace_back(text.substr(0, colon),
                                          text.substr(value));
        }
    }
    const std::string *length = message->Find("Content-Length");
    if (length == nullptr && answer) {
        while (Fill(until)) {
        }
        message->body.swap(input_);
        return true;
    }
    const size_t size =
        length != nullptr ? strtoul(length->c_str(), nullptr, 10) : 0;
    while (input_.size() < size) {
        if (!Fill(until)) {
            return false;
        }
    }
    message->body = input_.substr(0, size);
    input_.erase(0, size);
    return true;
}

bool
Socket::Write(const std::string &bytes)
{
    size_t written = 0;
    while (written < bytes.size()) {
        const ssize_t size = send(fd_, bytes.data() + written,
                                  bytes.size() - written, MSG_NOSIGNAL);
        if (size <= 0) {
            return false;
        }
        written += static_cast<size_t>(size);
    }
    return true;
}

bool
Socket::Closed()
{
    char byte;
    const ssize_t size = recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

std::unique_ptr<Socket>
Connect(const std::string &ip, int port, double timeout)
{
    const int fd =
        socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const struct sockaddr_in address = Address(ip, port);
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (connect(fd, reinterpret_cast<const struct sockaddr *>(&address),
                sizeof(address)) != 0) {
        struct pollfd waiting = {fd, POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof(error);
        if (errno != EINPROGRESS ||
            poll(&waiting, 1, static_cast<int>(timeout * 1000)) != 1 ||
            getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
            error != 0) {
            close(fd);
            return nullptr;
        }
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    return std::make_unique<Socket>(fd);
}

Server::Server(const std::string &ip, int port, Handler handler)
{
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const struct sockaddr_in address = Address(ip, port);
    const int on = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(listener_, reinterpret_cast<const struct sockaddr *>(&address),
             sizeof(address)) != 0 ||
        listen(listener_, 256) != 0) {
        perror("listen");
        exit(2);
    }
    const int listener = listener_;
    std::atomic<bool> *open = &open_;
    std::thread([listener, open, handler] {
        while (*open) {
            const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                break;
            }
            const int set = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &set, sizeof(set));
            std::thread([fd, handler] {
                Socket socket(fd);
                handler(socket);
            }).detach();
        }
        close(listener);
    }).detach();
}

void
Server::Close()
{
    open_ = false;
    shutdown(listener_, SHUT_RDWR);
}

/* The store. */

Store::Store(const std::string &ip_) : ip(ip_), port(FreePort(ip_))
{
    address = ip + ":" + std::to_string(port);
    static std::list<Server> servers;
    servers.emplace_back(ip, port, [this](Socket &socket) { Serve(socket); });
}

void
Store::Put(const std::string &table, const std::string &key,
           const std::string &value)
{
    std::lock_guard<std::mutex> lock(mutex_);
    version_++;
    rows_[{table, key}] = {Base64(value), version_, false};
    history_.push_back({version_, {table, key}});
    changed_.notify_all();
}

void
Store::Delete(const std::string &table, const std::string &key)
{
    std::lock_guard<std::mutex> lock(mutex_);
    version_++;
    rows_[{table, key}] = {"", version_, true};
    history_.push_back({version_, {table, key}});
    changed_.notify_all();
}

void
Store::Serve(Socket &socket)
{
    Message request;
    while (socket.Read(&request, false, Now() + 600)) {
        const auto query = Query(request.target);
        const std::string path =
            request.target.substr(0, request.target.find('?'));
        int status = 200;
        std::string body;
        Sleep(STORE_ANSWER_S);
        if (path == "/chestnutgap/rows-tx") {
            body = Commit(request.body, &status);
        }
        else if (path == "/chestnutgap/rows-get") {
            body = Get(query);
        }
        else if (path == "/chestnutgap/rows-feed") {
            body = Feed(query);
        }
        else {
            status = 404;
        }
        Message answer = MakeAnswer(status, body);
        answer.headers = {{"Content-Type", "application/json"}};
        if (!socket.Write(Print(answer))) {
            return;
        }
    }
}

std::string
Store::Commit(const std::string &body, int *status)
{
    json_t *document = json_loads(body.c_str(), 0, nullptr);
    json_t *current = json_array();
    size_t i;
    json_t *item;
    bool holds = true;
    Sleep(TRANSACTION_S);
    std::lock_guard<std::mutex> lock(mutex_);
    json_array_foreach (json_object_get(document, "expect"), i, item) {
        const Name name = {Text(item, "table"), Text(item, "key")};
        const auto row = rows_.find(name);
        const bool exists = row != rows_.end() && !row->second.removed;
        const json_int_t expected =
            json_integer_value(json_object_get(item, "ver"));
        holds = holds && expected == static_cast<json_int_t>(
                                         exists ? row->second.version : 0);
        if (exists) {
            json_array_append_new(
                current,
                json_pack("{s:s, s:s, s:s, s:s, s:I}", "table",
                          name.first.c_str(), "part", "", "key",
                          name.second.c_str(), "value",
                          row->second.value.c_str(), "ver",
                          static_cast<json_int_t>(row->second.version)));
        }
    }
    if (holds) {
        version_++;
        json_array_foreach (json_object_get(document, "writes"), i, item) {
            const Name name = {Text(item, "table"), Text(item, "key")};
            rows_[name] = {Text(item, "value"), version_, false};
            history_.push_back({version_, name});
        }
        json_array_foreach (json_object_get(document, "deletes"), i, item) {
            const Name name = {Text(item, "table"), Text(item, "key")};
            rows_[name] = {"", version_, true};
            history_.push_back({version_, name});
        }
        changed_.notify_all();
    }
    json_decref(document);
    json_t *answer =
        json_pack("{s:I, s:f}", "ver", static_cast<json_int_t>(version_),
                  "now_s", Now());
    if (!holds) {
        *status = 412;
        json_object_set(answer, "rows", current);
    }
    json_decref(current);
    return Dump(answer);
}

std::string
Store::Get(const std::map<std::string, std::string> &query)
{
    const auto find = [&](const char *name) {
        const auto found = query.find(name);
        return found != query.end() ? found->second : "";
    };
    std::lock_guard<std::mutex> lock(mutex_);
    json_t *list = json_array();
    const size_t most = 500;
    bool more = false;
    for (const auto &row : rows_) {
        if (row.first.first != find("table") || row.second.removed ||
            row.first.second < find("from") ||
            (!find("to").empty() && row.first.second >= find("to"))) {
            continue;
        }
        if (json_array_size(list) == most) {
            more = true;
            break;
        }
        json_array_append_new(
            list, json_pack("{s:s, s:s, s:s, s:s, s:I}", "table",
                            row.first.first.c_str(), "part", "", "key",
                            row.first.second.c_str(), "value",
                            row.second.value.c_str(), "ver",
                            static_cast<json_int_t>(row.second.version)));
    }
    return Dump(json_pack("{s:o, s:b, s:I, s:f}", "rows", list, "has_more",
                          more, "ver", static_cast<json_int_t>(version_),
                          "now_s", Now()));
}

std::string
Store::Feed(const std::map<std::string, std::string> &query)
{
    const auto number = [&](const char *name) {
        const auto found = query.find(name);
        return found != query.end()
                   ? strtoull(found->second.c_str(), nullptr, 10)
                   : 0;
    };
    const uint64_t after = number("after");
    const double until = Now() + static_cast<double>(number("wait_ms")) / 1000;
    const std::string table = query.count("table") ? query.at("table") : "";
    std::unique_lock<std::mutex> lock(mutex_);
    for (;;) {
        std::set<Name> names;
        std::vector<std::pair<uint64_t, Name>> changes;
        for (auto change = history_.rbegin();
             change != history_.rend() && change->version > after; ++change) {
            if (change->name.first == table &&
                names.insert(change->name).second) {
                changes.insert(changes.begin(),
                               {change->version, change->name});
            }
        }
        const double left = until - Now();
        if (changes.empty() && left > 0) {
            changed_.wait_for(lock, std::chrono::duration<double>(left));
            continue;
        }
        json_t *list = json_array();
        for (const auto &change : changes) {
            const Row &row = rows_[change.second];
            json_t *item = json_pack(
                "{s:s, s:s, s:s, s:I}", "table", change.second.first.c_str(),
                "part", "", "key", change.second.second.c_str(), "ver",
                static_cast<json_int_t>(row.version));
            if (row.removed) {
                json_object_set_new(item, "removed", json_true());
            }
            else {
                json_object_set_new(item, "value",
                                    json_string(row.value.c_str()));
            }
            json_array_append_new(list, item);
        }
        return Dump(json_pack("{s:o, s:I, s:f}", "rows", list, "ver",
                              static_cast<json_int_t>(version_), "now_s",
                              Now()));
    }
}

/* Upstreams. */

bool
HasBegun(const std::string &id)
{
    std::lock_guard<std::mutex> lock(begun_mutex);
    return begun.count(id) > 0;
}

int
TimesBegun(const std::string &id)
{
    std::lock_guard<std::mutex> lock(begun_mutex);
    const auto found = begun.find(id);
    return found != begun.end() ? found->second : 0;
}

std::vector<std::pair<std::string, double>>
BegunSince(const std::string &upstream, double since)
{
    std::lock_guard<std::mutex> lock(begun_mutex);
    std::vector<std::pair<std::string, double>> found;
    for (const Begun &run : all_begun) {
        if (run.upstream == upstream && run.at >= since) {
            found.emplace_back(run.id, run.at);
        }
    }
    return found;
}

Upstream::Upstream(Deployment *deployment, const std::string &service_,
                   const std::string &zone_, const std::string &ip_, int port_,
                   bool keyed_)
    : id(NewId("i-")), service(service_), zone(zone_), ip(ip_), port(port_),
      keyed(keyed_), deployment_(deployment), holds_(keyed_ ? 65536 : 0)
{
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    born_ = now.tv_sec * 1000 + now.tv_nsec / 1000000;
    server_ = std::make_unique<Server>(
        ip, port, [this](Socket &socket) { Serve(socket); });
}

std::string
Upstream::AnnouncementText(const char *state)
{
    return Dump(json_pack(
        "{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:i, s:I}", "service",
        service.c_str(), "address", (ip + ":" + std::to_string(port)).c_str(),
        "zone", zone.c_str(), "version", "v1", "slots", slots, "state", state,
        "warmup_left_s", 0, "seq", ++sequence_, "born",
        static_cast<json_int_t>(born_)));
}

std::string
Upstream::HoldHeartbeat()
{
    return AnnouncementText("ready");
}

bool
Upstream::Withdraw()
{
    leaving_ = true;
    return Announce("DELETE", "ready");
}

bool
Upstream::Announce(const char *method, const char *state)
{
    auto socket = Connect(control_ip_, control_port_, 1);
    if (socket == nullptr) {
        return false;
    }
    const std::string body = AnnouncementText(state);
    Message answer;
    const bool ok =
        socket->Write(std::string(method) + " /chestnutgap/instances/" + id +
                      " HTTP/1.1\r\nHost: " + control_ip_ +
                      "\r\nContent-Type: application/json\r\n"
                      "Connection: close\r\nContent-Length: " +
                      std::to_string(body.size()) + "\r\n\r\n" + body) &&
        socket->Read(&answer, true, Now() + 1) && answer.status / 100 == 2;
    return ok;
}

void
Upstream::AnnounceTo(const std::string &control_ip, int control_port)
{
    control_ip_ = control_ip;
    control_port_ = control_port;
    std::thread([this] {
        while (!ended_) {
            if (!leaving_) {
                Announce("PUT", "ready");
            }
            Sleep(HEARTBEAT_S);
        }
    }).detach();
}

void
Upstream::Leave(double drain_s)
{
    leaving_ = true;
    bool acknowledged = false;
    for (int i = 0; i < 4 && !acknowledged; i++) {
        acknowledged = Announce("PUT", "draining");
        if (!acknowledged) {
            Sleep(HEARTBEAT_S);
        }
    }
    Record("upstream %s drains, acknowledged: %d", id.c_str(), acknowledged);
    const double until = Now() + drain_s + 2;
    while (Now() < until) {
        Sleep(HEARTBEAT_S);
        Announce("PUT", "draining");
    }
    Announce("DELETE", "draining");
    Record("upstream %s has withdrawn and ends", id.c_str());
    End();
}

void
Upstream::Trouble(double for_s)
{
    answers = 0;
    extras = 0;
    trouble_until = Now() + for_s;
    Record("upstream %s is faulty for %.1f s", id.c_str(), for_s);
}

void
Upstream::End()
{
    ended_ = true;
    server_->Close();
    std::lock_guard<std::mutex> lock(mutex_);
    for (const int fd : sockets_) {
        shutdown(fd, SHUT_RDWR);
    }
}

Message
Upstream::Refuse(int status, const Message &request)
{
    Message answer = MakeAnswer(status, "refused\n");
    answer.headers = {{"X-Chestnutgap-Not-Executed", "1"},
                      {"X-Chestnutgap-Instance-Id", id}};
    const std::string *request_id = request.Find("X-Chestnutgap-Request-Id");
    if (request_id != nullptr) {
        answer.headers.emplace_back("X-Chestnutgap-Request-Id", *request_id);
    }
    return answer;
}

void
Upstream::BeginRun(const Message &request)
{
    const std::string *key = request.Find("X-Chestnutgap-Shard-Key");
    {
        std::lock_guard<std::mutex> begun_lock(begun_mutex);
        begun[request.Get("X-Chestnutgap-Request-Id")]++;
        all_begun.push_back(
            {id, request.Get("X-Chestnutgap-Request-Id"), Now()});
    }
    std::lock_guard<std::mutex> lock(mutex_);
    runs_.push_back({request.Get("X-Chestnutgap-Request-Id"),
                     key != nullptr ? atoi(key->c_str()) : -1, Now()});
    Record("upstream %s begins %s key %s", id.c_str(),
           request.Get("X-Chestnutgap-Request-Id").c_str(),
           key != nullptr ? key->c_str() : "-");
}

void
Upstream::DropRun(const std::string &request_id)
{
    std::lock_guard<std::mutex> lock(mutex_);
    for (auto run = runs_.begin(); run != runs_.end(); ++run) {
        if (run->id == request_id) {
            runs_.erase(run);
            return;
        }
    }
}

bool
Upstream::Holds(int key)
{
    std::lock_guard<std::mutex> lock(mutex_);
    return key >= 0 && key < 65536 &&
           holds_[static_cast<size_t>(key)].until > Now();
}

uint64_t
Upstream::FenceOf(int key)
{
    std::lock_guard<std::mutex> lock(mutex_);
    return holds_[static_cast<size_t>(key)].fence;
}

std::vector<Run>
Upstream::AtWorkHeld(int from, int to)
{
    std::lock_guard<std::mutex> lock(mutex_);
    std::vector<Run> found;
    for (const Run &run : runs_) {
        if (!ended_ && run.key >= from && run.key <= to &&
            holds_[static_cast<size_t>(run.key)].until > Now()) {
            found.push_back(run);
        }
    }
    return found;
}

Message
Upstream::Work(Connection &connection, const Message &request, bool *dropped)
{
    const std::string request_id = request.Get("X-Chestnutgap-Request-Id");
    const std::string *target = request.Find("X-Chestnutgap-Target-Instance");
    const std::string *key = request.Find("X-Chestnutgap-Shard-Key");
    const std::string *left = request.Find("X-Chestnutgap-Deadline-Ms");
    if (request_id.empty()) {
        return Refuse(400, request);
    }
    if (target != nullptr && *target != id) {
        return Refuse(421, request);
    }
    if (keyed) {
        std::lock_guard<std::mutex> lock(mutex_);
        const Hold &hold = holds_[static_cast<size_t>(
            key != nullptr ? atoi(key->c_str()) : 0)];
        if (key == nullptr || hold.released || hold.until <= Now()) {
            return Refuse(421, request);
        }
    }
    {
        std::lock_guard<std::mutex> lock(mutex_);
        if (runs_.size() >= static_cast<size_t>(slots)) {
            return Refuse(503, request);
        }
    }
    if (sheds && Now() < trouble_until && sheds(*this, request)) {
        Record("upstream %s sheds %s", id.c_str(), request_id.c_str());
        return Refuse(503, request);
    }
    BeginRun(request);
    const double began = Now();
    const double deadline =
        began + (left != nullptr ? atof(left->c_str()) / 1000 : 60);
    bool timed_out = false;
    while (Now() < began + work_s && !timed_out) {
        Sleep(0.005);
        timed_out = Now() >= deadline;
        if (connection.socket.Closed()) {
            *dropped = true;
            break;
        }
    }
    DropRun(request_id);
    Record("upstream %s ends %s%s", id.c_str(), request_id.c_str(),
           *dropped ? ", its connection closed" : "");
    Message answer = MakeAnswer(
        timed_out ? 504 : 200, "answer of " + id + " to " + request_id + "\n");
    answer.headers = {
        {"X-Chestnutgap-Request-Id", request_id},
        {"X-Chestnutgap-Response-Signature", "sig." + id + "." + request_id},
        {"X-Chestnutgap-Server-Load", std::to_string(runs_.size()) + ",0," +
                                          std::to_string(slots) + ",100"},
        {"Keep-Alive", "timeout=10"}};
    return answer;
}

Message
Upstream::Grant(const Message &request)
{
    json_t *body = json_loads(request.body.c_str(), 0, nullptr);
    const int from =
        static_cast<int>(json_integer_value(json_object_get(body, "from")));
    const int to =
        static_cast<int>(json_integer_value(json_object_get(body, "to")));
    const uint64_t fence = static_cast<uint64_t>(
        json_integer_value(json_object_get(body, "fence")));
    const double hold_s = json_number_value(json_object_get(body, "hold_s"));
    json_decref(body);
    if (!keyed || from < 0 || to > 65535 || from > to) {
        return MakeAnswer(400, "{}");
    }
    bool begins = false;
    {
        std::lock_guard<std::mutex> lock(mutex_);
        for (int key = from; key <= to; key++) {
            if (holds_[static_cast<size_t>(key)].fence > fence) {
                return MakeAnswer(409, "{}");
            }
        }
        for (int key = from; key <= to; key++) {
            Hold &hold = holds_[static_cast<size_t>(key)];
            begins = begins || hold.fence != fence || hold.until <= Now() ||
                     hold.released;
            hold = {fence, Now() + hold_s, false};
        }
    }
    if (begins) {
        Record("upstream %s takes keys %d to %d, fence %llu, %.3f s",
               id.c_str(), from, to, static_cast<unsigned long long>(fence),
               hold_s);
        if (deployment_->granted) {
            deployment_->granted(*this, from, to, fence);
        }
    }
    return MakeAnswer(200, "{}");
}

Message
Upstream::Release(Connection &connection, const Message &request)
{
    json_t *body = json_loads(request.body.c_str(), 0, nullptr);
    const int from =
        static_cast<int>(json_integer_value(json_object_get(body, "from")));
    const int to =
        static_cast<int>(json_integer_value(json_object_get(body, "to")));
    json_decref(body);
    (void)connection;
    {
        std::lock_guard<std::mutex> lock(mutex_);
        for (int key = from; key <= to && key < 65536; key++) {
            holds_[static_cast<size_t>(key)].released = true;
        }
    }
    Record("upstream %s is asked to release keys %d to %d, at work on %zu",
           id.c_str(), from, to, AtWorkHeld(from, to).size());
    for (;;) {
        bool running = false;
        {
            std::lock_guard<std::mutex> lock(mutex_);
            for (const Run &run : runs_) {
                running = running || (run.key >= from && run.key <= to);
            }
        }
        if (!running) {
            break;
        }
        Sleep(0.003);
    }
    {
        /* What it was granted again meanwhile, it keeps. */
        std::lock_guard<std::mutex> lock(mutex_);
        for (int key = from; key <= to && key < 65536; key++) {
            Hold &hold = holds_[static_cast<size_t>(key)];
            if (hold.released) {
                hold.until = 0;
            }
        }
    }
    Record("upstream %s answers the release of keys %d to %d", id.c_str(),
           from, to);
    std::string token = NewId("h-");
    if (spoils && Now() < trouble_until && spoils(*this, from, to)) {
        extras++;
        token[0] = '\xff';
        Record("upstream %s spoils a byte of the handover token", id.c_str());
    }
    Message answer = MakeAnswer(200, "{}");
    answer.headers = {{"X-Chestnutgap-Handover", token}};
    return answer;
}

Message
Upstream::Handle(Connection &connection, const Message &request, bool *dropped)
{
    if (request.target == "/health") {
        Message answer = MakeAnswer(leaving_ ? 503 : 200, "");
        answer.headers = {{"X-Chestnutgap-Instance-Id", id},
                          {"X-Chestnutgap-Server-Load",
                           std::to_string(runs_.size()) + ",0," +
                               std::to_string(slots) + ",100"}};
        return answer;
    }
    if (request.target == "/chestnutgap/grant") {
        return Grant(request);
    }
    if (request.target == "/chestnutgap/release") {
        return Release(connection, request);
    }
    return Work(connection, request, dropped);
}

void
Upstream::Serve(Socket &socket)
{
    {
        std::lock_guard<std::mutex> lock(mutex_);
        sockets_.insert(socket.fd());
    }
    Answer(socket);
    std::lock_guard<std::mutex> lock(mutex_);
    sockets_.erase(socket.fd());
}

void
Upstream::Answer(Socket &socket)
{
    Connection connection = {socket, "", {}, false};
    Message request;
    while (socket.Read(&request, false, Now() + 10)) {
        if (ended_) {
            return;
        }
        if (trouble && Now() < trouble_until &&
            trouble(*this, connection, request)) {
            return;
        }
        bool dropped = false;
        const Message answer = Handle(connection, request, &dropped);
        if (dropped || ended_ || !socket.Write(Print(answer))) {
            return;
        }
        answers++;
        connection.last_answer = answer;
        connection.last_id = request.Get("X-Chestnutgap-Request-Id");
        connection.last_was_request =
            !connection.last_id.empty() && answer.status == 200;
    }
}

/* Machines. */

void
Machine::Start()
{
    pid = fork();
    if (pid != 0) {
        return;
    }
    /* The daemon ends with this program, however that ends. */
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log =
        open(log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    for (int fd = STDERR_FILENO + 1; fd < 1024; fd++) {
        close(fd);
    }
    const std::string variable = "CHESTNUTGAP_CONFIG=" + settings_file;
    char *const arguments[] = {const_cast<char *>("target/chestnutgapd"),
                               nullptr};
    char *const environment[] = {const_cast<char *>(variable.c_str()),
                                 const_cast<char *>("LANG=C"), nullptr};
    execve(arguments[0], arguments, environment);
    _exit(127);
}

void
Machine::Signal(int number) const
{
    if (pid > 0) {
        kill(pid, number);
    }
}

bool
Machine::IsReady() const
{
    auto socket = Connect(ip, readiness, 1);
    Message answer;
    return socket != nullptr &&
           socket->Write("GET /chestnutgap/ready HTTP/1.1\r\nHost: x\r\n"
                         "Connection: close\r\n\r\n") &&
           socket->Read(&answer, true, Now() + 1) && answer.status == 200;
}

bool
Machine::Revive()
{
    int status = 0;
    if (pid <= 0 || waitpid(pid, &status, WNOHANG) != pid) {
        return false;
    }
    own_ends++;
    Record("the daemon of %s has ended by itself (signal %d, status %d), "
           "time %d",
           name.c_str(), WIFSIGNALED(status) ? WTERMSIG(status) : 0,
           WIFEXITED(status) ? WEXITSTATUS(status) : 0, own_ends);
    Sleep(0.5);
    Start();
    return true;
}

Deployment::Deployment(const std::string &directory_)
    : directory(directory_), store(LoopbackAddress(1))
{
}

void
Deployment::Exit(int status)
{
    for (const Machine &machine : machines) {
        machine.Signal(SIGKILL);
    }
    for (const Machine &machine : machines) {
        if (machine.pid > 0) {
            waitpid(machine.pid, nullptr, 0);
        }
    }
    fflush(stdout);
    _exit(status);
}

Machine &
Deployment::Add(const std::string &service, const std::string &zone,
                bool keyed)
{
    machines.emplace_back();
    Machine &machine = machines.back();
    const std::string number = std::to_string(machines.size());
    machine.name = "sidecar-" + zone + "-" + number;
    machine.ip = LoopbackAddress(static_cast<int>(machines.size()) + 1);
    machine.zone = zone;
    machine.service = service;
    machine.keyed = keyed;
    std::set<int> ports;
    while (ports.size() < 6) {
        ports.insert(FreePort(machine.ip));
    }
    auto port = ports.begin();
    machine.callers = *port++;
    machine.announcements = *port++;
    machine.readiness = *port++;
    machine.metrics = *port++;
    machine.rpc = *port++;
    machine.target = *port++;
    machine.settings_file = directory + "/" + machine.name + ".json";
    machine.log_file = directory + "/" + machine.name + ".log";
    const auto at = [&](int number_) {
        return machine.ip + ":" + std::to_string(number_);
    };
    std::ofstream file(machine.settings_file);
    file << "{\n  \"platform\": \"rows\",\n  \"bootstrap\": true,\n"
         << "  \"instance\": \"" << machine.name << "\",\n"
         << "  \"zone\": \"" << zone << "\",\n"
         << "  \"service\": \"" << service << "\",\n"
         << "  \"callers\": \"" << at(machine.callers) << "\",\n"
         << "  \"announcements\": \"" << at(machine.announcements) << "\",\n"
         << "  \"readiness\": \"" << at(machine.readiness) << "\",\n"
         << "  \"metrics\": \"" << at(machine.metrics) << "\",\n"
         << "  \"rpc\": \"" << at(machine.rpc) << "\",\n"
         << "  \"target\": \"" << at(machine.target) << "\",\n"
         << "  \"store\": \"" << store.address << "\",\n"
         << "  \"drain_s\": 2,\n  \"evacuate_s\": 5,\n  \"grace_s\": 6,\n"
         << "  \"heartbeat_s\": 0.87,\n  \"hold_max_s\": 10,\n"
         << "  \"retry_window_s\": 10,\n  \"retry_share\": 0.2,\n"
         << "  \"retry_reserve\": 62\n}\n";
    return machine;
}

std::shared_ptr<Upstream>
Deployment::StartUpstream(Machine &machine)
{
    auto upstream =
        std::make_shared<Upstream>(this, machine.service, machine.zone,
                                   machine.ip, machine.target, machine.keyed);
    if (prepare) {
        prepare(*upstream);
    }
    {
        std::lock_guard<std::mutex> lock(mutex);
        lives.push_back(upstream);
        machine.upstream = upstream;
    }
    Record("upstream %s of %s starts beside %s", upstream->id.c_str(),
           machine.service.c_str(), machine.name.c_str());
    upstream->AnnounceTo(machine.ip, machine.announcements);
    return upstream;
}

bool
Deployment::Start(const std::string &config)
{
    store.Put("op", "config", config);
    for (Machine &machine : machines) {
        machine.Start();
    }
    for (Machine &machine : machines) {
        StartUpstream(machine);
    }
    const double until = Now() + 20;
    const double traffic = Now() + 8;
    for (const Machine &machine : machines) {
        while (!machine.IsReady()) {
            if (Now() > until) {
                Record("%s is not ready", machine.name.c_str());
                return false;
            }
            Sleep(0.1);
        }
    }
    Sleep(traffic - Now());
    return true;
}

/* Clients. */

std::string
PrintRequest(const char *method, const std::string &host,
             const std::string &path, const std::string &id, int deadline_ms,
             int key, const std::string &body)
{
    std::string text =
        std::string(method) + " " + path + " HTTP/1.1\r\nHost: " + host +
        "\r\nX-Chestnutgap-Request-Id: " + id +
        "\r\nX-Chestnutgap-Deadline-Ms: " + std::to_string(deadline_ms) +
        "\r\n";
    if (key >= 0) {
        text += "X-Chestnutgap-Shard-Key: " + std::to_string(key) + "\r\n";
    }
    if (strcmp(method, "GET") != 0) {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

Answer
Send(const Machine &machine, const char *method, const std::string &host,
     const std::string &path, const std::string &id, int deadline_ms, int key,
     const std::string &body)
{
    Answer answer;
    Record("client sends %s to %s", id.c_str(), machine.name.c_str());
    answer.sent = Now();
    const double until = answer.sent + deadline_ms / 1000.0;
    auto socket = Connect(machine.ip, machine.callers, 1);
    if (socket != nullptr &&
        socket->Write(
            PrintRequest(method, host, path, id, deadline_ms, key, body)) &&
        socket->Read(&answer.message, true, until)) {
        answer.status = answer.message.status;
    }
    answer.ended = Now();
    return answer;
}

int
CallControl(const Machine &machine, const char *method, const std::string &id,
            const std::string &body)
{
    auto socket = Connect(machine.ip, machine.announcements, 1);
    Message answer;
    if (socket == nullptr ||
        !socket->Write(std::string(method) + " /chestnutgap/instances/" + id +
                       " HTTP/1.1\r\nHost: " + machine.ip +
                       "\r\nContent-Type: application/json\r\n"
                       "Connection: close\r\nContent-Length: " +
                       std::to_string(body.size()) + "\r\n\r\n" + body) ||
        !socket->Read(&answer, true, Now() + 1)) {
        return 0;
    }
    return answer.status;
}

} // namespace world
