// Digests: SHA-256 for secrets and manifests; xxHash for fingerprints of requests and commands, for
// checksums of records and for hashes of names.
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

// Returns the 16 bytes of XXH3-128 over the parts. Each part is preceded by its length, so that
// {"ab", "c"} and {"a", "bc"} differ.
std::string fingerprintOf(std::initializer_list<std::string_view> parts);

// Returns the XXH3-64 of the bytes. It detects corruption of records on disk, not forgery.
uint64_t checksumOf(std::string_view bytes);

// Returns the 32 bytes of the SHA-256 of the bytes.
std::string sha256Of(std::string_view bytes);

// Compares two digests in constant time for a given length, so that the timing does not reveal
// where they differ.
bool equalDigests(std::string_view left, std::string_view right);

// Returns the bytes as lower-case hexadecimal, two digits a byte.
std::string toHex(std::string_view bytes);

} // namespace samphirebridge::core
