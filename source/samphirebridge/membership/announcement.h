// Validates target records before an instance stores them.
#pragma once

#include "membership.pb.h"

#include <absl/status/status.h>

#include <cstddef>

namespace samphirebridge::membership
{

// The maximum number of models in one record.
inline constexpr int MaximumModels = 256;

// The maximum length of an address in bytes.
inline constexpr size_t MaximumAddressLength = 255;

// Validates a record that a target announced. Returns InvalidAnnouncement, with the field, the
// value found and the values accepted, unless id, kind, data centre and models are valid names, the
// incarnation is above 0, the address is host:port, the state is READY or LEAVING and the load is
// plausible. An empty data centre is valid. The revision is not checked: instances assign it.
absl::Status checkTarget(const proto::TargetRecord &record);

// Validates a record that a peer sent, which may also be GONE.
absl::Status checkRelayedTarget(const proto::TargetRecord &record);

} // namespace samphirebridge::membership
