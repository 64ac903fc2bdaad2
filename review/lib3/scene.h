// What the scripts of the third review share: a small deployment of the project's own program on
// loopback addresses, stand-ins for the platform, the operator, workers and clients, and the record.
// Blocking sockets and one thread a connection; nothing here is built for speed.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace scene
{

constexpr int RuleHeld = 0;
constexpr int RuleBroken = 1;
constexpr int CouldNotRun = 2;

using Clock = std::chrono::steady_clock;

inline const Clock::time_point Start = Clock::now();

// Seconds since the start of the script.
inline double now()
{
    return std::chrono::duration<double>(Clock::now() - Start).count();
}

inline void sleepFor(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

inline bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

inline std::string format(const char *text, ...)
{
    va_list arguments;
    va_start(arguments, text);
    char buffer[8192];
    vsnprintf(buffer, sizeof buffer, text, arguments);
    va_end(arguments);
    return buffer;
}

// Writes record.txt, a line an event, with the seconds since the start of the script.
class Record
{
public:
    explicit Record(const std::string &path)
        : file(path)
    {
    }

    void line(const std::string &text)
    {
        const std::lock_guard lock(this->mutex);
        this->file << format("%8.3f  ", now()) << text << std::endl;
    }

    // As line(), and on standard output too.
    void say(const std::string &text)
    {
        this->line(text);
        printf("%8.3f  %s\n", now(), text.c_str());
        fflush(stdout);
    }

private:
    std::ofstream file;
    std::mutex mutex;
};

using Headers = std::map<std::string, std::string>; // Names in lower case.

// A message read from a connection.
struct Message {
    std::string firstLine;
    Headers headers;
    std::string body;
    bool complete = false; // Ended as its framing requires.

    std::string fieldOf(const std::string &name) const
    {
        const auto found = this->headers.find(name);
        return found == this->headers.end() ? "" : found->second;
    }

    int status() const
    {
        return this->firstLine.size() > 12 ? atoi(this->firstLine.c_str() + 9) : 0;
    }
};

// A connected socket with a read buffer.
class Channel
{
public:
    explicit Channel(int descriptor)
        : fd(descriptor)
    {
        const int on = 1;
        setsockopt(this->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }

    ~Channel()
    {
        if (this->fd >= 0) {
            ::close(this->fd);
        }
    }

    Channel(const Channel &) = delete;
    Channel &operator=(const Channel &) = delete;

    static std::unique_ptr<Channel> connect(const std::string &ip, int port)
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<uint16_t>(port));
        inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        if (::connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
            ::close(fd);
            return nullptr;
        }
        return std::make_unique<Channel>(fd);
    }

    void setTimeout(double seconds)
    {
        timeval time{};
        time.tv_sec = static_cast<time_t>(seconds);
        time.tv_usec = static_cast<suseconds_t>((seconds - static_cast<double>(time.tv_sec)) * 1e6);
        setsockopt(this->fd, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof time);
        setsockopt(this->fd, SOL_SOCKET, SO_SNDTIMEO, &time, sizeof time);
    }

    bool write(const std::string &bytes)
    {
        size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t count
                = ::send(this->fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            sent += static_cast<size_t>(count);
        }
        return true;
    }

    // Reads a head and its body, framed by a length or chunks. Nothing if no whole head came.
    std::optional<Message> read()
    {
        size_t end = 0;
        while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!this->fill()) {
                return std::nullopt;
            }
        }
        Message message;
        std::istringstream head(this->buffer.substr(0, end));
        this->buffer.erase(0, end + 4);
        std::string line;
        std::getline(head, line);
        message.firstLine = line.substr(0, line.find('\r'));
        while (std::getline(head, line)) {
            line = line.substr(0, line.find('\r'));
            const size_t colon = line.find(':');
            if (colon == std::string::npos) {
                continue;
            }
            std::string name = line.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(), ::tolower);
            const size_t value = line.find_first_not_of(' ', colon + 1);
            message.headers[name] = value == std::string::npos ? "" : line.substr(value);
        }
        if (message.headers.count("transfer-encoding") > 0) {
            message.complete = this->readChunks(message.body);
        } else {
            const size_t length = message.headers.count("content-length") > 0
                                      ? std::stoul(message.headers["content-length"])
                                      : 0;
            message.complete = this->readBytes(message.body, length);
        }
        return message;
    }

private:
    bool fill()
    {
        char bytes[16384];
        const ssize_t count = ::recv(this->fd, bytes, sizeof bytes, 0);
        if (count <= 0) {
            return false;
        }
        this->buffer.append(bytes, static_cast<size_t>(count));
        return true;
    }

    bool readBytes(std::string &body, size_t length)
    {
        while (this->buffer.size() < length) {
            if (!this->fill()) {
                body += this->buffer;
                this->buffer.clear();
                return false;
            }
        }
        body += this->buffer.substr(0, length);
        this->buffer.erase(0, length);
        return true;
    }

    bool readChunks(std::string &body)
    {
        while (true) {
            size_t end = 0;
            while ((end = this->buffer.find("\r\n")) == std::string::npos) {
                if (!this->fill()) {
                    return false;
                }
            }
            const size_t length = std::stoul(this->buffer.substr(0, end), nullptr, 16);
            this->buffer.erase(0, end + 2);
            if (!this->readBytes(body, length)) {
                return false;
            }
            std::string lineEnd;
            if (!this->readBytes(lineEnd, 2)) {
                return false;
            }
            if (length == 0) {
                return true;
            }
        }
    }

    int fd;
    std::string buffer;
};

// Listens at the address and runs `serve` for each connection, in a thread of its own.
class Listener
{
public:
    Listener(const std::string &ip, int port, std::function<void(Channel &)> serve)
        : fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const int on = 1;
        setsockopt(this->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<uint16_t>(port));
        inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        if (::bind(this->fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0
            || ::listen(this->fd, 512) != 0) {
            fprintf(stderr, "cannot listen on %s:%d\n", ip.c_str(), port);
            _exit(CouldNotRun);
        }
        std::thread([listening = this->fd, serve = std::move(serve)] {
            while (true) {
                const int accepted = ::accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted < 0) {
                    return;
                }
                std::thread([accepted, serve] {
                    Channel channel(accepted);
                    serve(channel);
                }).detach();
            }
        }).detach();
    }

private:
    int fd;
};

// What the platform fills into the templates of the deploy file. Names as in DEPLOY.md, with dots
// for fields of tables. Sections and placeholders as that page says, as far as deploy/*.yaml use them.
class Fields
{
public:
    std::map<std::string, std::string> values;
    std::map<std::string, std::vector<std::string>> lists;
    std::map<std::string, std::map<std::string, std::string>> tables;

    std::string render(const std::string &text) const
    {
        return this->renderWith(text, "", "");
    }

private:
    std::string renderWith(const std::string &text, const std::string &entry, const std::string &key)
        const
    {
        std::string result;
        size_t position = 0;
        while (true) {
            const size_t open = text.find("{{", position);
            if (open == std::string::npos) {
                return result + text.substr(position);
            }
            result += text.substr(position, open - position);
            const size_t close = text.find("}}", open);
            const std::string name = text.substr(open + 2, close - open - 2);
            position = close + 2;
            if (name[0] != '#') {
                result += this->value(name, entry, key);
                continue;
            }
            const std::string endMark = "{{/" + name.substr(1) + "}}";
            const size_t end = text.find(endMark, position);
            const std::string inner = text.substr(position, end - position);
            position = end + endMark.size();
            result += this->section(name.substr(1), inner);
        }
    }

    std::string section(const std::string &name, const std::string &inner) const
    {
        std::string result;
        if (const auto list = this->lists.find(name); list != this->lists.end()) {
            for (const std::string &item : list->second) {
                result += this->renderWith(inner, item, "");
            }
        } else if (const auto table = this->tables.find(name); table != this->tables.end()) {
            for (const auto &[key, item] : table->second) {
                result += this->renderWith(inner, item, key);
            }
        } else if (const auto value = this->values.find(name); value != this->values.end()) {
            result += this->renderWith(inner, value->second, "");
        }
        return result;
    }

    std::string
    value(const std::string &name, const std::string &entry, const std::string &key) const
    {
        if (name == ".") {
            return entry;
        }
        if (name == "@") {
            return key;
        }
        const auto found = this->values.find(name);
        return found == this->values.end() ? "" : found->second;
    }
};

// The ports are the same on all machines. Each machine has a loopback address of its own.
constexpr int InternalPort = 7340;
constexpr int ControlPort = 8229;
constexpr int FrontPort = 8227;
constexpr int ReadyPort = 8220;
constexpr int WorkerPort = 8080;

// The machines and processes of the deployment, started with the command of deploy/system.toml.
class Fleet
{
public:
    std::vector<std::string> controls;
    std::vector<std::string> entries;
    std::string net; // The first three numbers of every address.

    Fleet(int controlCount, int entryCount)
    {
        char pattern[] = "/tmp/review3-XXXXXX";
        this->folder = mkdtemp(pattern);
        this->net = freeNet();
        for (int i = 0; i < controlCount; ++i) {
            this->controls.push_back(format("%s.%d", this->net.c_str(), 1 + i));
        }
        for (int i = 0; i < entryCount; ++i) {
            this->entries.push_back(format("%s.%d", this->net.c_str(), 101 + i));
        }
    }

    // Ends all processes and removes the folder.
    void stop()
    {
        for (const auto &[ip, pid] : this->processes) {
            ::kill(pid, SIGKILL);
        }
        for (const auto &[ip, pid] : this->processes) {
            ::waitpid(pid, nullptr, 0);
        }
        this->processes.clear();
        std::error_code error;
        std::filesystem::remove_all(this->folder, error);
    }

    void start()
    {
        for (const std::string &ip : this->controls) {
            this->startMachine(ip, true);
        }
        for (const std::string &ip : this->entries) {
            this->startMachine(ip, true);
        }
    }

    void startMachine(const std::string &ip, bool founds = false)
    {
        const bool isControl
            = std::find(this->controls.begin(), this->controls.end(), ip) != this->controls.end();
        const std::string settings = this->writeSettings(ip, isControl, founds);
        const std::string log = this->folder + "/" + ip + ".log";
        const pid_t pid = ::fork();
        if (pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            const std::string argument = "--settings=" + settings;
            ::execl(Program, Program, argument.c_str(), nullptr);
            _exit(127);
        }
        this->processes[ip] = pid;
    }

    void kill(const std::string &ip)
    {
        ::kill(this->processes[ip], SIGKILL);
        ::waitpid(this->processes[ip], nullptr, 0);
        this->processes.erase(ip);
    }

    // Empties the machine's disk. Its process must have ended.
    void loseDisk(const std::string &ip) const
    {
        std::filesystem::remove_all(this->folder + "/" + ip);
    }

    // Returns the process's own log, for the figures that it states.
    std::string log(const std::string &ip) const
    {
        std::ifstream file(this->folder + "/" + ip + ".log");
        std::stringstream text;
        text << file.rdbuf();
        return text.str();
    }

    // Tells whether the machine answers the platform's question with 200.
    static bool isReady(const std::string &ip)
    {
        const auto channel = Channel::connect(ip, ReadyPort);
        if (!channel) {
            return false;
        }
        channel->setTimeout(1);
        channel->write("GET /v1/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        const auto answer = channel->read();
        return answer && answer->status() == 200;
    }

    bool waitUntilReady(double seconds) const
    {
        const double end = now() + seconds;
        for (const std::string &ip : this->entries) {
            while (!isReady(ip)) {
                if (now() > end) {
                    return false;
                }
                sleepFor(0.1);
            }
        }
        return true;
    }

private:
    static constexpr const char *Program = "target/platform/samphirebridge-platform";

    static bool isFree(const std::string &ip, int port)
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<uint16_t>(port));
        inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        const bool free = ::bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0;
        ::close(fd);
        return free;
    }

    static std::string freeNet()
    {
        for (int tried = 0; tried < 200; ++tried) {
            const int number = (::getpid() + tried * 97) % 60000;
            const std::string net = format("127.%d.%d", 20 + number / 250, 1 + number % 250);
            bool free = true;
            for (const int port : {InternalPort, InternalPort + 1, ControlPort}) {
                free = free && isFree(net + ".1", port);
            }
            if (free && isFree(net + ".101", FrontPort) && isFree(net + ".101", ReadyPort)) {
                return net;
            }
        }
        fprintf(stderr, "found no free loopback addresses\n");
        _exit(CouldNotRun);
    }

    std::string writeSettings(const std::string &ip, bool isControl, bool founds) const
    {
        Fields fields;
        const std::string data = this->folder + "/" + ip;
        ::mkdir(data.c_str(), 0755);
        fields.values = {{"Ip", ip},
                         {"Zone", "sierra-a"},
                         {"DataDir", data},
                         {"Bootstrap", founds ? "true" : "false"},
                         {"InternalPorts.0", std::to_string(InternalPort)},
                         {"InternalPorts.1", std::to_string(InternalPort + 1)},
                         {"ListenAddrs.Control", format("%s:%d", ip.c_str(), ControlPort)},
                         {"ListenAddrs.Front", format("%s:%d", ip.c_str(), FrontPort)},
                         {"ListenAddrs.Ready", format("%s:%d", ip.c_str(), ReadyPort)},
                         {"Limits.LinkMbps", "1000.0"},
                         {"Bounds.GraceS", "8"},
                         {"Bounds.ConfigApplyMs", "2000"},
                         {"Bounds.RetryBudgetRatio", "0.2"},
                         {"Bounds.BudgetSlack", "52"}};
        for (size_t i = 0; i < std::min<size_t>(3, this->controls.size()); ++i) {
            fields.lists["Seeds"].push_back(
                format("%s:%d", this->controls[i].c_str(), ControlPort));
        }
        fields.tables["Zones"] = {{"sierra-a", "ec-sierra"}};
        std::ifstream file(isControl ? "deploy/control.yaml" : "deploy/entry.yaml");
        std::stringstream text;
        text << file.rdbuf();
        const std::string path = this->folder + "/" + ip + ".yaml";
        std::ofstream(path) << fields.render(text.str());
        return path;
    }

    std::string folder;
    std::map<std::string, pid_t> processes;
};

// Ends the fleet and the script. Threads of stand-ins may still run, so nothing is destroyed.
[[noreturn]] inline void finish(Fleet &fleet, int result)
{
    fleet.stop();
    fflush(stdout);
    _exit(result);
}

// Sends one call to a control machine. Status 0: no answer.
inline std::pair<int, std::string> callControl(const std::string &ip,
                                               const std::string &method,
                                               const std::string &path,
                                               const std::string &body)
{
    const auto channel = Channel::connect(ip, ControlPort);
    if (!channel) {
        return {0, ""};
    }
    channel->setTimeout(1);
    channel->write(format("%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"
                          "Content-Length: %zu\r\nConnection: close\r\n\r\n",
                          method.c_str(),
                          path.c_str(),
                          ip.c_str(),
                          body.size())
                   + body);
    const auto answer = channel->read();
    return answer && answer->complete ? std::pair(answer->status(), answer->body)
                                      : std::pair(0, std::string());
}

// Sends a configuration as the operator does: unchanged, to one machine after the other, until a
// 200 or one of the answers that end the call. Returns the status, 0 after the given time.
inline int
replaceConfig(const Fleet &fleet, Record &record, const std::string &body, double seconds = 20)
{
    const double end = now() + seconds;
    for (size_t i = 0; now() < end; ++i) {
        const std::string &ip = fleet.controls[i % fleet.controls.size()];
        const auto [status, text] = callControl(ip, "POST", "/v1/Config.Replace", body);
        record.line(format("operator: Config.Replace to %s: %d %s",
                           ip.c_str(),
                           status,
                           text.substr(0, 200).c_str()));
        if (status == 200 || status == 400 || status == 409 || status == 412 || status == 413
            || status == 422) {
            return status;
        }
        sleepFor(0.2);
    }
    return 0;
}

// A worker: announces itself and serves requests, one at a time on a channel.
class Worker
{
public:
    // Answers one request; false closes the channel.
    using Handler = std::function<bool(Worker &, Channel &, const Message &)>;

    Worker(const Fleet &ownFleet,
           std::string workerId,
           std::string ownAddress,
           std::string ownService,
           Handler ownHandler)
        : id(std::move(workerId))
        , ip(std::move(ownAddress))
        , service(std::move(ownService))
        , fleet(ownFleet)
        , handler(std::move(ownHandler))
        , born(std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
                   .count())
        , listener(this->ip, WorkerPort, [this](Channel &channel) { this->serve(channel); })
    {
        std::thread([this] { this->announce(); }).detach();
    }

    const std::string id;
    const std::string ip;
    const std::string service;

private:
    void serve(Channel &channel)
    {
        while (const auto request = channel.read()) {
            if (!request->complete) {
                return;
            }
            const auto expected = request->headers.find("x-expect-instance");
            if (expected != request->headers.end() && expected->second != this->id) {
                channel.write("HTTP/1.1 421 Misdirected\r\nX-Not-Executed: 1\r\nContent-Length: "
                              "0\r\n\r\n");
                continue;
            }
            if (!this->handler(*this, channel, *request)) {
                return;
            }
        }
    }

    void announce()
    {
        size_t next = 0;
        for (uint64_t sequence = 1;; ++sequence) {
            const std::string body = format(
                R"({"Service":"%s","Address":"%s:%d","Zone":"sierra-a","Version":"v1","Slots":128,)"
                R"("State":"ready","ColdRemainingMs":0,"Stage":"both","Models":[{"Name":"m",)"
                R"("Version":1,"Adapters":[]}],"Sequence":%llu,"born":%lld})",
                this->service.c_str(),
                this->ip.c_str(),
                WorkerPort,
                static_cast<unsigned long long>(sequence),
                static_cast<long long>(this->born));
            for (size_t tried = 0; tried < this->fleet.controls.size(); ++tried) {
                const std::string &to = this->fleet.controls[next % this->fleet.controls.size()];
                if (callControl(to, "POST", "/v1/Instances.Heartbeat/" + this->id, body).first
                    == 200) {
                    break;
                }
                ++next;
            }
            sleepFor(1.2);
        }
    }

    const Fleet &fleet;
    const Handler handler;
    const int64_t born;
    Listener listener;
};

// Returns the head of a worker's answer, up to the empty line.
inline std::string
workerHead(const Worker &worker, const Message &request, int status, const std::string &fields)
{
    const auto id = request.headers.find("x-request-id");
    const std::string requestId = id == request.headers.end() ? "" : id->second;
    return format("HTTP/1.1 %d OK\r\nX-Request-Id: %s\r\nX-Response-Stamp: %s.%s\r\n",
                  status,
                  requestId.c_str(),
                  worker.id.c_str(),
                  requestId.c_str())
           + fields + "\r\n";
}

inline std::string chunkOf(const std::string &bytes)
{
    return format("%zx\r\n", bytes.size()) + bytes + "\r\n";
}

inline size_t countOf(const std::string &text, const std::string &part)
{
    size_t count = 0;
    for (size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++count;
    }
    return count;
}

} // namespace scene
