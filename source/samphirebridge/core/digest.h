// Digests by library: SHA-256 for secrets, xxHash for recognising requests and damaged records.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace samphirebridge::core
{

// The length of a fingerprint in bytes.
inline constexpr size_t FingerprintLength = 16;

// The length of a SHA-256 digest in bytes.
inline constexpr size_t Sha256Length = 32;

// Returns the 16 bytes of XXH3-128 over the parts, each preceded by its length.
std::string fingerprintOf(std::initializer_list<std::string_view> parts);

// Returns XXH3-64 of the bytes; protects records on disk against damage, not against forgery.
uint64_t checksumOf(std::string_view bytes);

// Returns the 32 bytes of the secret's SHA-256.
std::string sha256Of(std::string_view secret);

// Compares in time that does not depend on where the two differ.
bool equalDigests(std::string_view left, std::string_view right);

// Returns two lower-case hexadecimal digits for each byte.
std::string toHex(std::string_view bytes);

} // namespace samphirebridge::core
