#include "samphirebridge/core/digest.h"

#include <absl/strings/escaping.h>
#include <openssl/crypto.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include <cstring>
#include <memory>

namespace samphirebridge::core
{

std::string fingerprintOf(std::initializer_list<std::string_view> parts)
{
    const std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state(XXH3_createState(),
                                                                         &XXH3_freeState);
    XXH3_128bits_reset(state.get());
    for (const std::string_view part : parts) {
        const uint64_t length = part.size();
        XXH3_128bits_update(state.get(), &length, sizeof(length));
        XXH3_128bits_update(state.get(), part.data(), part.size());
    }
    XXH128_canonical_t canonical;
    XXH128_canonicalFromHash(&canonical, XXH3_128bits_digest(state.get()));
    return {reinterpret_cast<const char *>(canonical.digest), sizeof(canonical.digest)};
}

uint64_t checksumOf(std::string_view bytes)
{
    return XXH3_64bits(bytes.data(), bytes.size());
}

std::string sha256Of(std::string_view bytes)
{
    std::array<unsigned char, Sha256Length> digest{};
    SHA256(reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(), digest.data());
    return {reinterpret_cast<const char *>(digest.data()), digest.size()};
}

bool equalDigests(std::string_view left, std::string_view right)
{
    if (left.size() != right.size()) {
        return false;
    }
    return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string toHex(std::string_view bytes)
{
    return absl::BytesToHexString(absl::string_view(bytes.data(), bytes.size()));
}

} // namespace samphirebridge::core
