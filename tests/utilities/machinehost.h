// Drives a request machine over real HTTP exchanges with stand-ins, in place of the daemon.
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

// A stand-in target and an HTTP server that serves it on a free port of 127.0.0.1.
template <typename Target>
struct ServedTarget {
    Target target;
    std::unique_ptr<http::Server> server;

    template <typename Settings>
    explicit ServedTarget(const Settings &settings)
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

// What the request machine passed to the caller and to the ledger.
struct RequestResult {
    int status = 0;
    std::string body; // All bytes of the answer, streamed or not.
    bool completed = false; // The answer was sent to its end.
    std::optional<requests::Settle> settle;
    bool released = false; // The reservation was released.
    std::optional<requests::Refuse> refuse;
    std::vector<core::RetryReason> retries; // In the order of the attempts.
};

// Runs a request until its machine has finished. Attempts go to the targets in rotation.
RequestResult runRequest(requests::RequestSpecification specification,
                         const std::vector<std::string> &targets);

} // namespace samphirebridge::standins
