// Binary deltas between two byte strings: ranges copied from the base, and inserted bytes.
#pragma once

#include <absl/status/statusor.h>
#include <ledger.pb.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace samphirebridge::delta
{

// The largest target that applyDelta() produces, in bytes.
inline constexpr size_t MaximumContentBytes = size_t{64} * 1024 * 1024;

// Returns a delta that turns the base into the target. Its size grows with the differences; with an
// empty base it holds the whole target, compressed.
proto::ContentDelta makeDelta(std::string_view base, std::string_view target);

// Returns the target that the delta makes of the base. VersionConflict if the delta was made for
// another base; StorageCorrupt if the delta is inconsistent or the target too large.
absl::StatusOr<std::string> applyDelta(std::string_view base, const proto::ContentDelta &delta);

} // namespace samphirebridge::delta
