// Serves callers' requests: authenticates them, reserves their tokens, claims their keys and runs
// them with a RequestDriver.
#pragma once

#include "samphirebridge/gateway/requestdriver.h"

#include <atomic>
#include <cstdint>
#include <string>

namespace samphirebridge::gateway
{

// Thread-safe. Each request runs on the traffic thread that calls serve().
class CallerService
{
public:
    explicit CallerService(DriverContext context);

    // Serves one request; blocks until its answer or a refusal has been sent.
    void serve(const http::Request &request, http::ResponseWriter &writer);

private:
    // Returns a key that is unique in the fleet: the instance, its incarnation and a serial number.
    [[nodiscard]] std::string generateKey();
    void runPlan(const RequestPlan &plan, http::ResponseWriter &writer, core::TimePoint now);
    // Reserves the request's tokens and runs it.
    void reserveAndRun(const RequestPlan &plan, http::ResponseWriter &writer, core::TimePoint now);
    // Reserves the request's tokens, claims its key at the quorum and runs it. If the key's request
    // has finished already, replays the stored answer.
    void claimAndRun(const RequestPlan &plan, http::ResponseWriter &writer, core::TimePoint now);
    // Counts the refusal and answers with a problem document.
    void refuse(http::ResponseWriter &writer,
                core::RefusalReason reason,
                core::Outcome outcome,
                std::string_view requestKey,
                std::optional<core::Duration> retryAfter,
                std::string_view detail = {});

    DriverContext context;
    core::SteadyClock clock;
    std::atomic<uint64_t> generatedKeys = 0;
    std::atomic<int64_t> inFlight = 0;
};

} // namespace samphirebridge::gateway
