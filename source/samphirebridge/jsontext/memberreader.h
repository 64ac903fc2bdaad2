// Reads the members of one JSON object and remembers the first that is wrong.
#pragma once

#include "samphirebridge/core/errors.h"

#include <absl/status/status.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace samphirebridge::jsontext
{

// After a wrong member each read returns something harmless; result() tells what was wrong. The
// object outlives the reader.
class MemberReader
{
public:
    // Errors carry the code; their message begins with the place.
    MemberReader(const nlohmann::json &object, core::ErrorCode code, std::string_view place = {});

    // Members that must be there.
    std::string text(const char *member);
    uint64_t number(const char *member);
    uint32_t smallNumber(const char *member); // Below 2^32.
    double real(const char *member);

    // Members that may be missing.
    std::string textOr(const char *member, std::string_view fallback);
    uint64_t numberOr(const char *member, uint64_t fallback);
    double realOr(const char *member, double fallback);
    bool flagOr(const char *member, bool fallback);

    // Returns the member's list; an empty one if it is missing.
    const nlohmann::json &list(const char *member);

    // Tells whether the member is there.
    [[nodiscard]] bool has(const char *member) const;

    // Notes that a member is wrong.
    void fail(std::string_view member, std::string_view accepted);

    [[nodiscard]] const absl::Status &result() const
    {
        return this->status;
    }

private:
    const nlohmann::json &object;
    core::ErrorCode code;
    std::string place;
    absl::Status status;
};

} // namespace samphirebridge::jsontext
