// The checks on what a target says about itself, before any of it is kept.
#pragma once

#include "membership.pb.h"

#include <absl/status/status.h>

#include <cstddef>

namespace samphirebridge::membership
{

// The most models that one target may announce.
inline constexpr int MaximumModels = 256;

// The longest address that is accepted, in bytes.
inline constexpr size_t MaximumAddressLength = 255;

// Accepts a record whose names are names, whose incarnation is above 0, whose address is host:port,
// whose state is READY or LEAVING and whose load is plausible. Otherwise InvalidAnnouncement, with
// the field, what was found and what would be accepted. The revision is ignored: instances set it.
absl::Status checkTarget(const proto::TargetRecord &record);

// The same for a record that a peer tells of, which may also be GONE.
absl::Status checkRelayedTarget(const proto::TargetRecord &record);

} // namespace samphirebridge::membership
