// A member's term and vote on disk.
#pragma once

#include "samphirebridge/storage/storage.h"

#include "consensus.pb.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

namespace samphirebridge::storage
{

// Keeps the hard state and replaces it at once.
template <Storage Storage>
class HardStateStore
{
public:
    explicit HardStateStore(Storage &storage);

    // Returns the stored state; the empty one if there was none yet. StorageCorrupt.
    absl::StatusOr<proto::HardState> load();

    // Makes the state durable before it returns.
    absl::Status save(const proto::HardState &state);
};

} // namespace samphirebridge::storage
