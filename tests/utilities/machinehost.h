// A request machine with real exchanges to stand-ins, as a daemon would host it.
#pragma once

#include "samphirebridge/http/client.h"
#include "samphirebridge/http/server.h"
#include "samphirebridge/requests/requestmachine.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace samphirebridge::standins
{

// Serves a stand-in on a free port.
template <typename Target>
struct Served {
    Target target;
    std::unique_ptr<http::Server> server;

    template <typename Settings>
    explicit Served(const Settings &settings)
        : target(settings)
    {
        auto started = http::Server::start(
            {}, [this](const http::Request &request, http::ResponseWriter &writer) {
                this->target.serve(request, writer);
            });
        this->server = *std::move(started);
    }

    [[nodiscard]] std::string url() const
    {
        return "http://127.0.0.1:" + std::to_string(this->server->port());
    }
};

// What a caller and a ledger got of a request.
struct HostedEnd {
    int status = 0;
    std::string body; // Streamed or whole.
    bool ended = false; // The answer came to its proper end.
    std::optional<requests::Settle> settle;
    bool released = false;
    std::optional<requests::Refuse> refuse;
    std::vector<core::RetryReason> retries;
};

// Runs a request to its end, sending attempt n to targets[n modulo their number].
HostedEnd host(requests::RequestSpecification specification,
               const std::vector<std::string> &targets);

} // namespace samphirebridge::standins
