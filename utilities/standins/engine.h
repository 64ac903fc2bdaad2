// A stand-in for an inference engine with the OpenAI chat completions API.
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
    int64_t capacity = 16; // Requests that run at once; further ones wait by priority.
    std::chrono::microseconds tokenDelay{1000}; // Before each token of an answer.
    std::chrono::microseconds prefillDelay{0}; // For each prompt token outside the prefix cache.
    int64_t answerTokens = 32; // Length of an answer that max_tokens does not cut.
    size_t cacheEntries = 4096; // Entries above which the prefix cache is cleared.
    bool checksFencing = true; // Refuses orders with an outdated fencing number (409).
    std::string runLog; // Path of the run log; empty: none is written.
};

// Serves chat completions, orders, token counts, injected faults and its own statistics.
// Faults: `crash` (before the first token), `crash-after=N`, `stall-after=N`, `break-after=N`,
// `no-terminator`, `no-usage`, `wrong-attempt`, `wrong-length`, `refuse` (503), `error` (500).
// The text `[tokens=N]` in a prompt sets the answer's length. The answer is that of answerText(); a
// request to continue a text that is not a prefix of the answer is answered 400.
class Engine
{
public:
    explicit Engine(const EngineSettings &settings);

    // Serves one request, as the handler of an http::Server. Called from many threads.
    void serve(const http::Request &request, http::ResponseWriter &writer);

    // Returns the `load` of an announcement.
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
    // Fills `run` from the body of a request; false, with `error` set, if the body is invalid.
    bool parseChat(const nlohmann::json &body, Run &run, std::string &error);
    void generate(Run &run, http::ResponseWriter &writer);
    // Both return false if the answer ends early: by a fault or because the caller disconnected.
    bool generateTokens(Run &run, http::ResponseWriter &writer);
    bool generateToken(Run &run, http::ResponseWriter &writer, int64_t index);
    void finishStream(Run &run, http::ResponseWriter &writer);
    void sendCompletion(Run &run, http::ResponseWriter &writer);
    // Sends nothing until the caller disconnects.
    static void stall(http::ResponseWriter &writer);
    void recordRun(const Run &run);
    // Adds the prefixes of these messages to the cache and returns the prompt tokens found in it.
    int64_t lookUpPrefixes(const std::vector<std::string> &messages);
    [[nodiscard]] nlohmann::json makeChunk(const Run &run, nlohmann::json choices) const;
    [[nodiscard]] nlohmann::json makeUsage(const Run &run) const;

    EngineSettings settings;
    Faults faults;
    RunLog log;
    Slots slots;
    std::atomic<int64_t> tokens{0};
    std::atomic<int64_t> lastAnswerNumber{0};
    mutable std::mutex mutex;
    std::map<std::string, int64_t> runsPerKey; // Guarded by `mutex`, as are the members below.
    int64_t runs = 0;
    int64_t promptTokens = 0;
    int64_t cancelled = 0;
    int64_t resumes = 0;
    std::set<uint64_t> cachedPrefixes; // Checksums.
    uint64_t highestFencing = 0;
    int64_t staleOrders = 0;
    nlohmann::json orders = nlohmann::json::array();
};

} // namespace samphirebridge::standins
