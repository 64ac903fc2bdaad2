// Where samphirectl takes the operator token from.
#pragma once

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace samphirebridge::samphirectl
{

// The environment variable that is read where no --token-file is given.
inline constexpr const char *TokenVariable = "SAMPHIREBRIDGE_TOKEN";

// Checks that the token can be a header's value. Unauthenticated if it is empty or cannot.
absl::Status checkToken(std::string_view token);

// Returns the file's first line, or without a file name the variable's value, which may be null.
// Unauthenticated without a usable token. The message never shows it.
absl::StatusOr<std::string> findToken(const std::string &file, const char *variable);

} // namespace samphirebridge::samphirectl
