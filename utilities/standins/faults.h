// Faults that a test or an operator injects into a stand-in.
#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace samphirebridge::standins
{

// Decides which requests show a fault. A marker in a request's text, `[kind]`, `[kind=N]` or
// `[kind=N@id]` (only on the stand-in with that id), applies whenever the request arrives; a fault
// from the admin endpoint applies to the next `count` requests. Thread-safe.
class Faults
{
public:
    explicit Faults(std::string standinId);

    // Returns the value of the fault (0 if it has none) if a request with this text is to show it.
    // A fault from the admin endpoint comes before a marker, and its remaining count is
    // decremented.
    std::optional<int64_t> consume(std::string_view kind, std::string_view text);

    // Adds a fault such as `{"kind": "stall-after", "value": 3, "count": 1}`. Returns false without
    // an effect if it is not an object or has no string `kind`.
    bool add(const nlohmann::json &fault);

    // Removes the faults from the admin endpoint.
    void clear();

private:
    struct PendingFault {
        std::string kind;
        int64_t value = 0;
        int64_t remaining = 0; // Requests that are still to show it.
    };

    std::string standinId;
    std::mutex mutex;
    std::vector<PendingFault> pendingFaults;
};

} // namespace samphirebridge::standins
