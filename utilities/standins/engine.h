// A stand-in for an inference engine that speaks the OpenAI chat completions format.
#pragma once

#include "samphirebridge/http/server.h"
#include "utilities/standins/faults.h"
#include "utilities/standins/runlog.h"
#include "utilities/standins/slots.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace samphirebridge::standins
{

struct EngineSettings {
    std::string id = "engine-1";
    std::string model = "letters";
    int64_t capacity = 16; // Requests that run at once; the others queue by priority.
    std::chrono::microseconds tokenDelay{1000}; // For each token of an answer.
    std::chrono::microseconds prefillDelay{0}; // For each prompt token that is not cached.
    int64_t answerTokens = 32; // Length of an answer that max_tokens does not cut.
    size_t cacheEntries = 4096; // Message prefixes that the prefix cache holds.
    bool checksFencing = true;
    std::string runLog; // Path; empty: none.
};

// Faults: `crash` (before the first token), `crash-after=N`, `stall-after=N`, `break-after=N`,
// `no-terminator`, `no-usage`, `wrong-attempt`, `wrong-length`, `refuse` (503), `error` (500).
// The text `[tokens=N]` in a prompt sets the answer's length. An answer's token k depends on the
// prompt and k alone; a resume whose text so far is not a prefix of the answer is answered 400.
class Engine
{
public:
    explicit Engine(const EngineSettings &settings);

    // Serves one request; the handler of an http::Server.
    void serve(const http::Request &request, http::ResponseWriter &writer);

    // Returns the announcement's `load`.
    [[nodiscard]] nlohmann::json load() const;

    // Returns `{"tokens", "prompt_tokens", "runs", "runs_per_key", "cancelled", "orders",
    // "stale_orders", "resumes"}`.
    [[nodiscard]] nlohmann::json stats() const;

private:
    struct Run;

    void serveChat(const http::Request &request, http::ResponseWriter &writer);
    void serveOrder(const http::Request &request, http::ResponseWriter &writer);
    void serveFault(const http::Request &request, http::ResponseWriter &writer);
    void serveTokenize(const http::Request &request, http::ResponseWriter &writer);
    bool prepare(const nlohmann::json &body, Run &run, std::string &error);
    void generate(Run &run, http::ResponseWriter &writer);
    bool produceTokens(Run &run, http::ResponseWriter &writer);
    bool produceToken(Run &run, http::ResponseWriter &writer, int64_t k);
    void finishStream(Run &run, http::ResponseWriter &writer);
    void finishWhole(Run &run, http::ResponseWriter &writer);
    static void stall(http::ResponseWriter &writer);
    void countRun(const Run &run);
    int64_t cachedTokens(const std::vector<std::string> &messages);
    [[nodiscard]] nlohmann::json chunk(const Run &run, nlohmann::json choices) const;
    [[nodiscard]] nlohmann::json usage(const Run &run) const;

    EngineSettings settings;
    Faults faults;
    RunLog log;
    Slots slots;
    std::atomic<int64_t> tokens{0};
    std::atomic<int64_t> nextAnswer{0};
    mutable std::mutex mutex;
    std::map<std::string, int64_t> runsPerKey; // Under the mutex, as all that follows.
    int64_t runs = 0;
    int64_t promptTokens = 0;
    int64_t cancelled = 0;
    int64_t resumes = 0;
    std::set<uint64_t> cachedPrefixes;
    uint64_t highestFencing = 0;
    int64_t staleOrders = 0;
    nlohmann::json orders = nlohmann::json::array();
};

} // namespace samphirebridge::standins
