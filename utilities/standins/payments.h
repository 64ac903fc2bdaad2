// A stand-in for a payment service, whose requests must run at most once.
#pragma once

#include "samphirebridge/http/server.h"
#include "utilities/standins/faults.h"
#include "utilities/standins/runlog.h"
#include "utilities/standins/slots.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace samphirebridge::standins
{

struct PaymentsSettings {
    std::string id = "payments-1";
    bool deduplicates = false; // Runs a payment once; repeats are answered only.
    std::chrono::milliseconds delay{0}; // Before each payment runs.
    std::string runLog; // Path of the run log; empty: none is written.
};

// `POST /v1/payments` runs the payment whose key is the Idempotency-Key, else the body's `id`;
// `GET /v1/payments/<id>` returns how often it ran. Faults: `crash-before` and `crash-after` the
// run, `break` (half of the answer is sent), `wrong-length`, `wrong-attempt`, `refuse` (503),
// `delay=N` (milliseconds).
class Payments
{
public:
    explicit Payments(const PaymentsSettings &settings);

    // Serves one request, as the handler of an http::Server. Called from many threads.
    void serve(const http::Request &request, http::ResponseWriter &writer);

    // Returns the `load` of an announcement.
    [[nodiscard]] nlohmann::json load() const;

    // Returns `{"runs", "runs_per_key"}`.
    [[nodiscard]] nlohmann::json stats() const;

private:
    void servePayment(const http::Request &request, http::ResponseWriter &writer);
    void serveStatus(const std::string &id, http::ResponseWriter &writer) const;
    // Counts and logs a run; false if it is a repeat that the service does not run.
    bool recordRun(const std::string &key, const std::string &attempt);
    [[nodiscard]] int64_t runsOf(const std::string &key) const;

    PaymentsSettings settings;
    Faults faults;
    RunLog log;
    mutable std::mutex mutex;
    std::map<std::string, int64_t> runsPerKey;
    int64_t running = 0;
};

} // namespace samphirebridge::standins
