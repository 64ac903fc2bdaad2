// A member's term and vote on disk.
#pragma once

#include "samphirebridge/storage/recordfile.h"
#include "samphirebridge/storage/storage.h"

#include "consensus.pb.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <optional>
#include <string>
#include <string_view>

namespace samphirebridge::storage
{

// Keeps the hard state and replaces it at once.
template <Storage Storage>
class HardStateStore
{
public:
    // Its file in the data folder.
    static constexpr std::string_view FileName = "hard-state";

    explicit HardStateStore(Storage &storage)
        : storage(storage)
    {
    }

    // Returns the stored state; the empty one if there was none yet. StorageCorrupt.
    absl::StatusOr<proto::HardState> load()
    {
        const absl::StatusOr<std::optional<std::string>> record
            = loadRecordFile(this->storage, FileName);
        if (!record.ok()) {
            return record.status();
        }
        proto::HardState state;
        if (*record && !state.ParseFromString(**record)) {
            return corruptFile(FileName, 0, "a record that is no hard state");
        }
        return state;
    }

    // Makes the state durable before it returns.
    absl::Status save(const proto::HardState &state)
    {
        return saveRecordFile(this->storage, FileName, state.SerializeAsString());
    }

private:
    Storage &storage;
};

} // namespace samphirebridge::storage
