// Faults that a stand-in shows on demand, so that a test can see how the fleet takes them.
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

// A fault is asked for by a marker in a request's text, `[kind]`, `[kind=N]` or `[kind=N@id]` (only
// on the stand-in of that id), which holds for each arrival, or by the admin endpoint, which holds
// for the next `count` requests. Usable from many threads.
class Faults
{
public:
    explicit Faults(std::string standinId);

    // Returns the fault's number (0 without one) if the request is to show it. A fault of the admin
    // endpoint is used up by that.
    std::optional<int64_t> take(std::string_view kind, std::string_view text);

    // Adds `{"kind": "stall-after", "value": 3, "count": 1}`. False: not acceptable.
    bool add(const nlohmann::json &fault);

    // Forgets the faults of the admin endpoint.
    void clear();

private:
    struct Pending {
        std::string kind;
        int64_t value = 0;
        int64_t count = 0;
    };

    std::string standinId;
    std::mutex mutex;
    std::vector<Pending> pending;
};

} // namespace samphirebridge::standins
