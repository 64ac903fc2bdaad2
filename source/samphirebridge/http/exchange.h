// One request to a target and its answer, event by event.
#pragma once

#include "samphirebridge/core/time.h"
#include "samphirebridge/http/headers.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace samphirebridge::http
{

// Whether a request may travel on a connection that served another one before.
enum class ConnectionUse : uint8_t {
    Fresh, // A connection of its own and never a resend: for requests that may not be repeated.
    Pooled, // May reuse one; a resend after a dead reused connection is possible.
};

// What to send.
struct ClientRequest {
    std::string method = "GET";
    std::string url; // http://host:port/path?query
    Headers headers; // Content-Length is set from the body.
    std::string body;
    ConnectionUse connection = ConnectionUse::Fresh;
    core::Duration connectTimeout = std::chrono::seconds(2);
    core::Duration deadline = core::Duration::zero(); // Of the whole exchange; zero: none.
};

// What went wrong with an exchange.
enum class ExchangeError : uint8_t {
    ConnectFailed, // No byte of the request can have left.
    ConnectionBroken,
    Timeout, // ClientRequest::deadline passed.
    WrongLength, // The body ended before its announced length or its terminating chunk.
};

// Returns the error's stable name in snake_case.
std::string_view exchangeErrorName(ExchangeError error);

enum class ExchangeEventKind : uint8_t {
    Headers, // Once, first; status and headers are set.
    Data, // bytes are set.
    End, // The answer is complete. Last.
    Error, // error and message are set. Last.
    Nothing, // The wait was over or interrupted; the exchange goes on.
};

// What `Exchange::next` found.
struct ExchangeEvent {
    ExchangeEventKind kind = ExchangeEventKind::Nothing;
    int status = 0;
    http::Headers headers;
    std::string bytes;
    ExchangeError error = ExchangeError::ConnectionBroken;
    std::string message; // For people.
};

class Connector;

// An exchange under way. It belongs to one thread, but for interrupt. Nothing is read from the
// target while nobody calls next, so a slow caller slows the target down and memory stays bounded.
class Exchange
{
public:
    // Client::start makes it.
    Exchange(std::shared_ptr<Connector> connector, const ClientRequest &request);
    ~Exchange();
    Exchange(Exchange &&other) noexcept;
    Exchange &operator=(Exchange &&other) noexcept;

    // Waits for the next event for at most `timeout`. After End, Error or cancel: Nothing at once.
    ExchangeEvent next(core::Duration timeout);

    // Tells whether a byte of the request can have reached the target. Once true, it stays true.
    // False is certain.
    [[nodiscard]] bool bytesMayHaveLeft() const;

    // Closes the connection at once.
    void cancel();

    // Makes a running or the following `next` return. Callable from any thread while this lives.
    void interrupt();

    // Tells whether End, Error or cancel was reached.
    [[nodiscard]] bool over() const;

private:
    struct Implementation;

    std::unique_ptr<Implementation> implementation;
};

} // namespace samphirebridge::http
