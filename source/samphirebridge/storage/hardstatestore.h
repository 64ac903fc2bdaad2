// Stores a member's term and vote on disk.
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

// Stores the hard state and replaces it atomically.
template <Storage Storage>
class HardStateStore
{
public:
    // The name of the file in the data folder.
    static constexpr std::string_view FileName = "hard-state";

    explicit HardStateStore(Storage &storage)
        : storage(storage)
    {
    }

    // Returns the stored state, or an empty one if none has been stored. StorageCorrupt if the file
    // is damaged.
    absl::StatusOr<proto::HardState> load()
    {
        const absl::StatusOr<std::optional<std::string>> record
            = loadRecordFile(this->storage, FileName);
        if (!record.ok()) {
            return record.status();
        }
        proto::HardState state;
        if (*record && !state.ParseFromString(**record)) {
            return corruptFileError(FileName, 0, "a record that cannot be parsed as a hard state");
        }
        return state;
    }

    // Replaces the state; it is durable on return.
    absl::Status save(const proto::HardState &state)
    {
        return saveRecordFile(this->storage, FileName, state.SerializeAsString());
    }

private:
    Storage &storage;
};

} // namespace samphirebridge::storage
