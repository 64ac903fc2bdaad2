// One request to a target and its response as a sequence of events.
#pragma once

#include "samphirebridge/core/time.h"
#include "samphirebridge/http/headers.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace samphirebridge::http
{

// Whether a request may be sent on a reused connection.
enum class ConnectionUse : uint8_t {
    Fresh, // A new connection and no resend: for requests that must not be repeated.
    Pooled, // May reuse one, and resends the request if that was closed meanwhile.
};

// A request to send and the limits for its exchange.
struct ClientRequest {
    std::string method = "GET";
    std::string url; // http://host:port/path?query
    Headers headers; // Content-Length is set from the body.
    std::string body;
    ConnectionUse connection = ConnectionUse::Fresh;
    core::Duration connectTimeout = std::chrono::seconds(2);
    core::Duration deadline = core::Duration::zero(); // Timeout of the whole exchange; zero: none.
};

// Why an exchange failed.
enum class ExchangeError : uint8_t {
    ConnectFailed, // No byte of the request was sent.
    ConnectionBroken,
    Timeout, // ClientRequest::deadline passed.
    WrongLength, // The body ended before its announced length or its terminating chunk.
    InvalidAnswer, // The answer's head is malformed, or HTTP does not define its status.
};

// Returns the error's stable name in snake_case.
std::string_view exchangeErrorName(ExchangeError error);

enum class ExchangeEventKind : uint8_t {
    Headers, // Once, first; status and headers are set.
    Data, // bytes are set.
    End, // The answer is complete. Last.
    Error, // error and message are set. Last.
    Nothing, // The wait timed out or was interrupted, or the exchange had finished.
};

// An event returned by `Exchange::next`; the kind says which members are set.
struct ExchangeEvent {
    ExchangeEventKind kind = ExchangeEventKind::Nothing;
    int status = 0;
    http::Headers headers;
    std::string bytes;
    ExchangeError error = ExchangeError::ConnectionBroken;
    std::string message; // Description of the error for logs.
};

class Connector;

// A running exchange. All functions but interrupt belong to one thread. Data is read from the
// target only within next, so a slow caller slows the target down and memory stays bounded.
class Exchange
{
public:
    // Called by Client::start.
    Exchange(std::shared_ptr<Connector> connector, const ClientRequest &request);
    ~Exchange();
    Exchange(Exchange &&other) noexcept;
    Exchange &operator=(Exchange &&other) noexcept;

    // Runs the exchange until the next event, for at most `timeout`. Returns Nothing at once after
    // End, Error or cancel.
    ExchangeEvent next(core::Duration timeout);

    // Tells whether a byte of the request may have been sent to the target; false means that none
    // was. Once true, it stays true.
    [[nodiscard]] bool bytesMayHaveLeft() const;

    // Closes the connection at once and finishes the exchange without a further event.
    void cancel();

    // Makes the running call of next return, or else the following one. Callable from any thread
    // while the exchange exists.
    void interrupt();

    // Tells whether next has returned End or Error, or cancel was called.
    [[nodiscard]] bool finished() const;

private:
    struct Implementation;

    std::unique_ptr<Implementation> implementation;
};

} // namespace samphirebridge::http
