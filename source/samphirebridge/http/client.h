// An HTTP/1.1 client over libcurl that forwards what arrives at once.
#pragma once

#include "samphirebridge/http/exchange.h"

#include <absl/status/statusor.h>

#include <memory>

namespace samphirebridge::http
{

// A whole answer.
struct Answer {
    int status = 0;
    Headers headers;
    std::string body;
};

// Makes exchanges and keeps idle connections for them. Usable from many threads. Follows no
// redirect and uses no proxy. Must outlive its exchanges.
class Client
{
public:
    Client();
    ~Client();

    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    // Starts an exchange; the connection is made within `Exchange::next`.
    Exchange start(const ClientRequest &request);

    // Runs a whole exchange within `timeout`. Errors: Unreachable (no byte of the request can have
    // left), ConnectionBroken, Timeout, TooLarge (a body of more than maximumBodyBytes).
    absl::StatusOr<Answer> fetch(const ClientRequest &request,
                                 core::Duration timeout,
                                 size_t maximumBodyBytes = size_t{16} << 20U);

private:
    std::shared_ptr<Connector> connector;
};

} // namespace samphirebridge::http
