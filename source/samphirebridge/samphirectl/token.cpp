#include "samphirebridge/samphirectl/token.h"

#include "samphirebridge/core/errors.h"

#include <absl/strings/ascii.h>
#include <fmt/format.h>

#include <algorithm>
#include <fstream>

namespace samphirebridge::samphirectl
{

absl::Status checkToken(std::string_view token)
{
    const bool accepted
        = !token.empty() && std::all_of(token.begin(), token.end(), [](char character) {
              return absl::ascii_isgraph(static_cast<unsigned char>(character));
          });
    if (accepted) {
        return absl::OkStatus();
    }
    return core::makeError(core::ErrorCode::Unauthenticated,
                           "found no operator token of printable characters; accepted: one in the "
                           "file of --token-file or in SAMPHIREBRIDGE_TOKEN");
}

absl::StatusOr<std::string> readToken(const std::string &file, const char *variableValue)
{
    std::string token = variableValue == nullptr ? "" : variableValue;
    if (!file.empty()) {
        token.clear();
        std::ifstream stream(file, std::ios::binary);
        if (!std::getline(stream, token)) {
            return core::makeError(core::ErrorCode::Unauthenticated,
                                   fmt::format("{}: found no readable token file; accepted: a file "
                                               "whose first line is the operator token",
                                               file));
        }
    }
    while (token.ends_with('\r') || token.ends_with(' ')) {
        token.pop_back();
    }
    absl::Status status = checkToken(token);
    if (!status.ok()) {
        return status;
    }
    return token;
}

} // namespace samphirebridge::samphirectl
