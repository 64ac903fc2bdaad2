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
constexpr size_t ReadBufferBytes = 65536;
constexpr std::chrono::milliseconds WakeUpInterval{10};
constexpr int StatusBadRequest = 400;
constexpr int StatusTooLarge = 413;
constexpr int StatusTooManyHeaders = 431;
constexpr int CivetWebMaximumHeaders = 64; // CivetWeb drops further ones, even Content-Length.
constexpr int StatusInternalError = 500;
constexpr int StatusUnavailable = 503;

// Returns a problem document. `code` is the name of a core::RefusalReason or core::ErrorCode; the
// texts must not contain characters that JSON escapes.
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

Request requestHeadOf(const mg_request_info &info)
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

// If two parsers could disagree about the end of a body, a request could be smuggled inside
// another.
bool framingIsAmbiguous(const Headers &headers)
{
    const size_t lengths = headers.count("Content-Length");
    const size_t encodings = headers.count("Transfer-Encoding");
    return lengths + encodings > 1;
}

bool isAnnouncedTooLarge(const mg_connection *connection, uint64_t maximumBytes)
{
    const long long announced = ::mg_get_request_info(connection)->content_length;
    return announced > 0 && static_cast<uint64_t>(announced) > maximumBytes;
}

enum class BodyResult { Complete, TooLarge, Broken };

BodyResult readBody(mg_connection *connection, uint64_t maximumBytes, std::string &body)
{
    if (isAnnouncedTooLarge(connection, maximumBytes)) {
        return BodyResult::TooLarge;
    }
    const long long announced = ::mg_get_request_info(connection)->content_length;
    std::vector<char> buffer(ReadBufferBytes);
    while (true) {
        const int count = ::mg_read(connection, buffer.data(), buffer.size());
        if (count < 0) {
            return BodyResult::Broken;
        }
        if (count == 0) {
            break;
        }
        body.append(buffer.data(), static_cast<size_t>(count));
        if (body.size() > maximumBytes) {
            return BodyResult::TooLarge;
        }
    }
    const bool isShort = announced > 0 && body.size() != static_cast<uint64_t>(announced);
    return isShort ? BodyResult::Broken : BodyResult::Complete;
}

absl::Status checkSettings(const ServerSettings &settings)
{
    if (settings.address.empty() || settings.threads == 0) {
        return core::makeError(
            core::ErrorCode::InvalidSettings,
            fmt::format("found server address '{}' with {} threads; accepted are an "
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
    std::string log; // Not used.
    std::mutex mutex;
    std::condition_variable changed;
    uint32_t handlers = 0; // Running handlers; guarded by the mutex.
    bool draining = false; // Guarded by the mutex.

    bool admitHandler();
    void endHandler();
    void serve(mg_connection *connection);
    void handle(const Request &request, ResponseWriter &writer);
    absl::Status listen();
    void close(mg_context *closing);
};

namespace
{

// Counts a handler as running during its lifetime, unless the server is draining.
template <typename Owner>
class RunningHandler
{
public:
    explicit RunningHandler(Owner &owner)
        : owner(owner)
        , admitted(owner.admitHandler())
    {
    }

    ~RunningHandler()
    {
        if (this->admitted) {
            this->owner.endHandler();
        }
    }

    RunningHandler(const RunningHandler &) = delete;
    RunningHandler &operator=(const RunningHandler &) = delete;

    [[nodiscard]] bool isAdmitted() const
    {
        return this->admitted;
    }

private:
    Owner &owner;
    bool admitted;
};

} // namespace

bool Server::Implementation::admitHandler()
{
    const std::lock_guard lock(this->mutex);
    if (this->draining) {
        return false;
    }
    ++this->handlers;
    return true;
}

void Server::Implementation::endHandler()
{
    const std::lock_guard lock(this->mutex);
    --this->handlers;
    this->changed.notify_all();
}

void Server::Implementation::serve(mg_connection *connection)
{
    ResponseWriter writer(connection, this->port.load());
    const RunningHandler<Implementation> running(*this);
    if (!running.isAdmitted()) {
        refuse(writer, StatusUnavailable, "stopping", "The instance is shutting down");
        return;
    }
    if (::mg_get_request_info(connection)->num_headers >= CivetWebMaximumHeaders) {
        refuse(writer, StatusTooManyHeaders, "too_large", "There are too many header fields");
        return;
    }
    Request request = requestHeadOf(*::mg_get_request_info(connection));
    if (framingIsAmbiguous(request.headers)) {
        refuse(writer, StatusBadRequest, "invalid_request", "The length of the body is ambiguous");
        return;
    }
    const bool asksForBody = !isAnnouncedTooLarge(connection, this->settings.maximumBodyBytes);
    if (asksForBody
        && equalIgnoringCase(request.headers.find("Expect").value_or(""), "100-continue")) {
        constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";
        ::mg_write(connection, Continue.data(), Continue.size());
    }
    switch (readBody(connection, this->settings.maximumBodyBytes, request.body)) {
    case BodyResult::TooLarge:
        refuse(writer, StatusTooLarge, "too_large", "The body exceeds the accepted length");
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
        // The caller gets 500, or a truncated stream if one was started.
    }
    if (!writer.started()) {
        refuse(writer, StatusInternalError, "internal", "The handler sent no response");
    }
}

absl::Status Server::Implementation::listen()
{
    const std::string listeningAddress
        = fmt::format("{}:{}", this->settings.address, this->settings.port);
    const std::string threads = std::to_string(this->settings.threads);
    const std::string connectionQueue = std::to_string(this->settings.waitingConnections);
    const std::string headerBytes = std::to_string(this->settings.maximumHeaderBytes);
    const std::string timeout
        = millisecondsOf(std::max(this->settings.readTimeout, this->settings.writeTimeout));
    std::vector<const char *> options{
        "listening_ports",
        listeningAddress.c_str(),
        "num_threads",
        threads.c_str(),
        "connection_queue",
        connectionQueue.c_str(),
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
        refuse(writer, status, "invalid_request", "The request is not valid HTTP");
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
                                           listeningAddress,
                                           text.data(),
                                           code));
    }
    mg_server_port boundPort{};
    ::mg_get_server_ports(this->context, 1, &boundPort);
    this->port = static_cast<uint16_t>(boundPort.port);
    return absl::OkStatus();
}

// CivetWeb's accepting thread checks whether it must stop only every 2 s or on a new connection, so
// connections are opened until it has stopped.
void Server::Implementation::close(mg_context *closing)
{
    std::atomic<bool> closed{false};
    std::thread closer([closing, &closed] {
        ::mg_stop(closing);
        closed = true;
    });
    Client client;
    ClientRequest wakeUpRequest;
    wakeUpRequest.url = fmt::format("http://{}:{}/", this->settings.address, this->port.load());
    wakeUpRequest.connectTimeout = WakeUpInterval;
    while (!closed) {
        client.start(wakeUpRequest).next(WakeUpInterval);
        std::this_thread::sleep_for(WakeUpInterval);
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
