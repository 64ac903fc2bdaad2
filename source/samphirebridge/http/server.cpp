#include "samphirebridge/http/server.h"

#include "samphirebridge/core/errors.h"
#include "samphirebridge/http/client.h"

#include <civetweb.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <condition_variable>
#include <exception>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace samphirebridge::http
{

namespace
{

constexpr size_t ErrorTextBytes = 512;
constexpr size_t ReadStepBytes = 65536;
constexpr std::chrono::milliseconds KnockInterval{10};
constexpr int StatusBadRequest = 400;
constexpr int StatusTooLarge = 413;
constexpr int StatusTooManyHeaders = 431;
constexpr int CivetWebHeaders = 64; // CivetWeb drops the rest, which may hold the body's length.
constexpr int StatusInternalError = 500;
constexpr int StatusUnavailable = 503;

// The codes are those of core::RefusalReason and core::ErrorCode; the texts hold no character that
// JSON would escape.
std::string problemBody(int status, std::string_view code, std::string_view title)
{
    return fmt::format(R"({{"type":"urn:samphirebridge:{}","title":"{}","status":{},"detail":"{}",)"
                       R"("code":"{}","outcome":"not_run"}})",
                       code,
                       title,
                       status,
                       title,
                       code);
}

bool refuse(ResponseWriter &writer, int status, std::string_view code, std::string_view title)
{
    Headers headers{{"Content-Type", "application/problem+json"}};
    if (status == StatusUnavailable) {
        headers.add("Retry-After", "1");
    }
    return writer.send(status, headers, problemBody(status, code, title));
}

Request headOf(const mg_request_info &info)
{
    Request request;
    request.method = info.request_method;
    request.path = info.local_uri == nullptr ? "" : info.local_uri;
    request.query = info.query_string == nullptr ? "" : info.query_string;
    request.remote = info.remote_addr;
    for (int i = 0; i < info.num_headers; ++i) {
        request.headers.add(info.http_headers[i].name, info.http_headers[i].value);
    }
    return request;
}

// Two readings of where a body ends would let one request hide inside another.
bool framingIsAmbiguous(const Headers &headers)
{
    const size_t lengths = headers.count("Content-Length");
    const size_t encodings = headers.count("Transfer-Encoding");
    return lengths + encodings > 1;
}

enum class BodyResult { Complete, TooLarge, Broken };

BodyResult readBody(mg_connection *connection, uint64_t bound, std::string &body)
{
    const long long announced = ::mg_get_request_info(connection)->content_length;
    if (announced > 0 && static_cast<uint64_t>(announced) > bound) {
        return BodyResult::TooLarge;
    }
    std::vector<char> step(ReadStepBytes);
    while (true) {
        const int count = ::mg_read(connection, step.data(), step.size());
        if (count < 0) {
            return BodyResult::Broken;
        }
        if (count == 0) {
            break;
        }
        body.append(step.data(), static_cast<size_t>(count));
        if (body.size() > bound) {
            return BodyResult::TooLarge;
        }
    }
    const bool isShort = announced > 0 && body.size() != static_cast<uint64_t>(announced);
    return isShort ? BodyResult::Broken : BodyResult::Complete;
}

absl::Status checkSettings(const ServerSettings &settings)
{
    if (settings.address.empty() || settings.threads == 0) {
        return core::makeError(core::ErrorCode::InvalidSettings,
                               fmt::format("server address '{}' with {} threads; accepted are an "
                                           "address and at least one thread",
                                           settings.address,
                                           settings.threads));
    }
    return absl::OkStatus();
}

std::string millisecondsOf(core::Duration duration)
{
    const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    return std::to_string(count < 1 ? 1 : count);
}

} // namespace

struct Server::Implementation {
    ServerSettings settings;
    Handler handler;
    mg_context *context = nullptr;
    std::atomic<uint16_t> port{0};
    std::string log; // What CivetWeb said while it started.
    std::mutex mutex;
    std::condition_variable changed;
    uint32_t handlers = 0; // Under the mutex.
    bool draining = false; // Under the mutex.

    bool enter();
    void leave();
    void serve(mg_connection *connection);
    void handle(const Request &request, ResponseWriter &writer);
    absl::Status listen();
    void close(mg_context *closing);
};

namespace
{

// Counts a handler for as long as it runs.
template <typename Owner>
class Running
{
public:
    explicit Running(Owner &owner)
        : owner(owner)
        , admitted(owner.enter())
    {
    }

    ~Running()
    {
        if (this->admitted) {
            this->owner.leave();
        }
    }

    Running(const Running &) = delete;
    Running &operator=(const Running &) = delete;

    [[nodiscard]] bool isAdmitted() const
    {
        return this->admitted;
    }

private:
    Owner &owner;
    bool admitted;
};

} // namespace

bool Server::Implementation::enter()
{
    const std::lock_guard lock(this->mutex);
    if (this->draining) {
        return false;
    }
    ++this->handlers;
    return true;
}

void Server::Implementation::leave()
{
    const std::lock_guard lock(this->mutex);
    --this->handlers;
    this->changed.notify_all();
}

void Server::Implementation::serve(mg_connection *connection)
{
    ResponseWriter writer(connection, this->port.load());
    const Running<Implementation> running(*this);
    if (!running.isAdmitted()) {
        refuse(writer, StatusUnavailable, "stopping", "The instance shuts down");
        return;
    }
    if (::mg_get_request_info(connection)->num_headers >= CivetWebHeaders) {
        refuse(writer, StatusTooManyHeaders, "too_large", "There are too many header fields");
        return;
    }
    Request request = headOf(*::mg_get_request_info(connection));
    if (framingIsAmbiguous(request.headers)) {
        refuse(writer, StatusBadRequest, "invalid_request", "The length of the body is ambiguous");
        return;
    }
    if (equalIgnoringCase(request.headers.find("Expect").value_or(""), "100-continue")) {
        constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";
        ::mg_write(connection, Continue.data(), Continue.size());
    }
    switch (readBody(connection, this->settings.maximumBodyBytes, request.body)) {
    case BodyResult::TooLarge:
        refuse(writer, StatusTooLarge, "too_large", "The body is longer than accepted");
        return;
    case BodyResult::Broken:
        refuse(writer, StatusBadRequest, "invalid_request", "The body ended early");
        return;
    case BodyResult::Complete:
        this->handle(request, writer);
        return;
    }
}

void Server::Implementation::handle(const Request &request, ResponseWriter &writer)
{
    try {
        this->handler(request, writer);
    } catch (const std::exception &) {
        // The caller gets 500, or a broken stream if one had begun.
    }
    if (!writer.started()) {
        refuse(writer, StatusInternalError, "internal", "The handler gave no response");
    }
}

absl::Status Server::Implementation::listen()
{
    const std::string where = fmt::format("{}:{}", this->settings.address, this->settings.port);
    const std::string threads = std::to_string(this->settings.threads);
    const std::string waiting = std::to_string(this->settings.waitingConnections);
    const std::string headerBytes = std::to_string(this->settings.maximumHeaderBytes);
    const std::string timeout
        = millisecondsOf(std::max(this->settings.readTimeout, this->settings.writeTimeout));
    std::vector<const char *> options{
        "listening_ports",
        where.c_str(),
        "num_threads",
        threads.c_str(),
        "connection_queue",
        waiting.c_str(),
        "max_request_size",
        headerBytes.c_str(),
        "request_timeout_ms",
        timeout.c_str(),
        "enable_keep_alive",
        "no",
        "tcp_nodelay",
        "1",
        "enable_auth_domain_check",
        "no",
        nullptr,
    };
    mg_callbacks callbacks{};
    callbacks.begin_request = [](mg_connection *connection) {
        const mg_request_info *info = ::mg_get_request_info(connection);
        static_cast<Implementation *>(info->user_data)->serve(connection);
        return 1;
    };
    callbacks.http_error = [](mg_connection *connection, int status, const char *) {
        ResponseWriter writer(connection, 0);
        refuse(writer, status, "invalid_request", "The request is not acceptable HTTP");
        return 0;
    };
    callbacks.log_message = [](const mg_connection *, const char *) {
        return 1;
    };
    std::array<char, ErrorTextBytes> text{};
    unsigned code = 0;
    mg_error_data error{&code, text.data(), text.size()};
    mg_init_data init{&callbacks, this, options.data()};
    this->context = ::mg_start2(&init, &error);
    if (this->context == nullptr) {
        return core::makeError(core::ErrorCode::AddressInUse,
                               fmt::format("cannot listen on {}: {} ({}); accepted is a free port "
                                           "of an address of this machine",
                                           where,
                                           text.data(),
                                           code));
    }
    mg_server_port bound{};
    ::mg_get_server_ports(this->context, 1, &bound);
    this->port = static_cast<uint16_t>(bound.port);
    return absl::OkStatus();
}

// CivetWeb's accepting thread looks for its end every 2 s or at a connection, so it gets some.
void Server::Implementation::close(mg_context *closing)
{
    std::atomic<bool> closed{false};
    std::thread closer([closing, &closed] {
        ::mg_stop(closing);
        closed = true;
    });
    Client client;
    ClientRequest knock;
    knock.url = fmt::format("http://{}:{}/", this->settings.address, this->port.load());
    knock.connectTimeout = KnockInterval;
    while (!closed) {
        client.start(knock).next(KnockInterval);
        std::this_thread::sleep_for(KnockInterval);
    }
    closer.join();
}

absl::StatusOr<std::unique_ptr<Server>> Server::start(const ServerSettings &settings,
                                                      Handler handler)
{
    if (absl::Status checked = checkSettings(settings); !checked.ok()) {
        return checked;
    }
    auto implementation = std::make_unique<Implementation>();
    implementation->settings = settings;
    implementation->handler = std::move(handler);
    if (absl::Status listening = implementation->listen(); !listening.ok()) {
        return listening;
    }
    return std::unique_ptr<Server>(new Server(std::move(implementation)));
}

Server::Server(std::unique_ptr<Implementation> implementation)
    : implementation(std::move(implementation))
{
}

Server::~Server()
{
    this->stop();
}

void Server::stop()
{
    Implementation &self = *this->implementation;
    std::unique_lock lock(self.mutex);
    self.draining = true;
    self.changed.wait(lock, [&self] { return self.handlers == 0; });
    mg_context *context = std::exchange(self.context, nullptr);
    lock.unlock();
    if (context != nullptr) {
        self.close(context);
    }
}

uint16_t Server::port() const
{
    return this->implementation->port.load();
}

uint32_t Server::running() const
{
    const std::lock_guard lock(this->implementation->mutex);
    return this->implementation->handlers;
}

} // namespace samphirebridge::http
