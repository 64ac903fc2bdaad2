// The callers' interface: authenticates, sets tokens aside, claims keys and drives requests.
#pragma once

#include "samphirebridge/gateway/requestdriver.h"

#include <atomic>
#include <cstdint>
#include <string>

namespace samphirebridge::gateway
{

// Thread-safe; each request runs on the thread that calls serve().
class CallerService
{
public:
    explicit CallerService(DriverContext context);

    void serve(const http::Request &request, http::ResponseWriter &writer);

private:
    [[nodiscard]] std::string generateKey();
    void runPlan(const RequestPlan &plan, http::ResponseWriter &writer, core::TimePoint now);
    void runReserved(const RequestPlan &plan, http::ResponseWriter &writer, core::TimePoint now);
    void runClaimed(const RequestPlan &plan, http::ResponseWriter &writer, core::TimePoint now);
    void refuse(http::ResponseWriter &writer,
                core::RefusalReason reason,
                core::Outcome outcome,
                std::string_view requestKey,
                std::optional<core::Duration> retryAfter,
                std::string_view detail = {});

    DriverContext context;
    core::SteadyClock clock;
    std::atomic<uint64_t> arrivals = 0;
    std::atomic<int64_t> inFlight = 0;
};

} // namespace samphirebridge::gateway
