// Reads the operator token from a file or the environment.
#pragma once

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace samphirebridge::samphirectl
{

// The environment variable that is read if no --token-file is given.
inline constexpr const char *TokenVariable = "SAMPHIREBRIDGE_TOKEN";

// Returns Unauthenticated if the token is empty or has characters other than printable ASCII
// without the space, which keeps it valid in an HTTP header.
absl::Status checkToken(std::string_view token);

// Returns the first line of the file or, if the file name is empty, the environment variable's
// value, which may be null. Returns Unauthenticated if there is no usable token. The message never
// contains the token.
absl::StatusOr<std::string> readToken(const std::string &file, const char *variableValue);

} // namespace samphirebridge::samphirectl
