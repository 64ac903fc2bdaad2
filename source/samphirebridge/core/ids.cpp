#include "samphirebridge/core/ids.h"

#include "samphirebridge/core/errors.h"

#include <absl/strings/ascii.h>
#include <fmt/format.h>

#include <algorithm>

namespace samphirebridge::core
{

namespace
{

bool isNameCharacter(char character)
{
    const auto byte = static_cast<unsigned char>(character);
    return absl::ascii_isalnum(byte) || byte == '-' || byte == '_' || byte == '.' || byte == '/'
           || byte == ':';
}

} // namespace

absl::Status checkName(std::string_view name)
{
    if (name.empty()) {
        return makeError(ErrorCode::InvalidName,
                         "found an empty name; accepted are 1 to 128 bytes");
    }
    if (name.size() > MaximumIdLength) {
        return makeError(ErrorCode::InvalidName,
                         fmt::format("found a name of {} bytes; accepted are 1 to {}",
                                     name.size(),
                                     MaximumIdLength));
    }
    if (!std::all_of(name.begin(), name.end(), isNameCharacter)) {
        return makeError(
            ErrorCode::InvalidName,
            "found an invalid character; accepted are letters, digits, '-', '_', '.', ':' and '/'");
    }
    return absl::OkStatus();
}

} // namespace samphirebridge::core
