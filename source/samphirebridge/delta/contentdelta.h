// Differences between two contents of bytes, as copies from the first and bytes of its own.
#pragma once

#include <absl/status/statusor.h>
#include <ledger.pb.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace samphirebridge::delta
{

// The largest content that a delta may give, in bytes.
inline constexpr size_t MaximumContentBytes = size_t{64} * 1024 * 1024;

// Returns what turns the base into the target. Its size grows with what differs; without a base it
// holds the whole target, compressed.
proto::ContentDelta makeDelta(std::string_view base, std::string_view target);

// Returns the target. VersionConflict if the base is another one than the delta was made for;
// StorageCorrupt if the delta contradicts itself.
absl::StatusOr<std::string> applyDelta(std::string_view base, const proto::ContentDelta &delta);

} // namespace samphirebridge::delta
