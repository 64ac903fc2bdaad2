// A stand-in for a payment service: what must run at most once.
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
    bool deduplicates = false; // A second request of a key gets the first one's answer.
    std::chrono::milliseconds delay{0}; // Of each run.
    std::string runLog; // Path; empty: none.
};

// `POST /v1/payments` runs a payment named by Idempotency-Key, else by the body's `id`;
// `GET /v1/payments/<id>` tells how often it ran. Faults: `crash-before`, `crash-after` (the run),
// `break` (the answer), `wrong-length`, `wrong-attempt`, `refuse` (503), `delay=N` (milliseconds).
class Payments
{
public:
    explicit Payments(const PaymentsSettings &settings);

    // Serves one request; the handler of an http::Server.
    void serve(const http::Request &request, http::ResponseWriter &writer);

    // Returns the announcement's `load`.
    [[nodiscard]] nlohmann::json load() const;

    // Returns `{"runs", "runs_per_key"}`.
    [[nodiscard]] nlohmann::json stats() const;

private:
    void servePayment(const http::Request &request, http::ResponseWriter &writer);
    void serveStatus(const std::string &id, http::ResponseWriter &writer) const;
    bool run(const std::string &key, const std::string &attempt);
    [[nodiscard]] int64_t runsOf(const std::string &key) const;

    PaymentsSettings settings;
    Faults faults;
    RunLog log;
    mutable std::mutex mutex;
    std::map<std::string, int64_t> runsPerKey;
    int64_t running = 0;
};

} // namespace samphirebridge::standins
