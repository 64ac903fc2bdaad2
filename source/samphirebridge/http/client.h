// An HTTP/1.1 client over libcurl that passes data on as it arrives.
#pragma once

#include "samphirebridge/http/exchange.h"

#include <absl/status/statusor.h>

#include <memory>

namespace samphirebridge::http
{

// A complete response.
struct Answer {
    int status = 0;
    Headers headers;
    std::string body;
};

// Starts exchanges and keeps idle connections for reuse. Thread-safe. Follows no redirects and uses
// no proxy. Must outlive its exchanges.
class Client
{
public:
    Client();
    ~Client();

    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    // Prepares an exchange; `Exchange::next` opens the connection and sends the request.
    Exchange start(const ClientRequest &request);

    // Sends a request and returns the complete response, within `timeout`. Errors: Unreachable (no
    // byte of the request was sent), ConnectionBroken, Timeout, TooLarge (a body of more than
    // maximumBodyBytes).
    absl::StatusOr<Answer> fetch(const ClientRequest &request,
                                 core::Duration timeout,
                                 size_t maximumBodyBytes = size_t{16} << 20U);

private:
    std::shared_ptr<Connector> connector;
};

} // namespace samphirebridge::http
