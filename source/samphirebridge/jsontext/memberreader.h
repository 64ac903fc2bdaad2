// Reads the members of one JSON object and records the first invalid one.
#pragma once

#include "samphirebridge/core/errors.h"

#include <absl/status/status.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace samphirebridge::jsontext
{

// A read of an invalid member returns an empty or default value; result() returns the error for the
// first such member. The object must outlive the reader.
class MemberReader
{
public:
    // `code` is the code of result() on an error; its message begins with `place`, which says where
    // the object stands in its document.
    MemberReader(const nlohmann::json &object, core::ErrorCode code, std::string_view place = {});

    // Read required members; a missing one is an error.
    std::string text(const char *member);
    uint64_t number(const char *member);
    uint32_t smallNumber(const char *member); // Below 2^32.
    double real(const char *member);

    // Read optional members; a missing one gives the fallback, one of another type is an error.
    std::string textOr(const char *member, std::string_view fallback);
    uint64_t numberOr(const char *member, uint64_t fallback);
    double realOr(const char *member, double fallback);
    bool flagOr(const char *member, bool fallback);

    // Returns an optional list; an empty one if the member is missing or no list. The latter is an
    // error.
    const nlohmann::json &list(const char *member);

    // Tells whether the object has the member.
    [[nodiscard]] bool has(const char *member) const;

    // Records that a member is invalid and what is accepted instead, unless an error is recorded
    // already.
    void fail(std::string_view member, std::string_view accepted);

    // Returns OK, or the error for the first invalid member.
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
