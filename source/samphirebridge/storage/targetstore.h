// Stores on disk the targets that a control instance knew last, and the reports about prompt parts
// that crash them.
#pragma once

#include "samphirebridge/storage/recordfile.h"
#include "samphirebridge/storage/storage.h"

#include "membership.pb.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <optional>
#include <string>
#include <string_view>

namespace samphirebridge::storage
{

// Stores one list of targets and replaces it atomically.
template <Storage Storage>
class TargetStore
{
public:
    // The name of the file in the data folder.
    static constexpr std::string_view FileName = "targets";

    explicit TargetStore(Storage &storage)
        : storage(storage)
    {
    }

    // Returns the stored targets, or an empty list if none has been stored. StorageCorrupt if the
    // file is damaged.
    absl::StatusOr<proto::MembershipUpdate> load()
    {
        const absl::StatusOr<std::optional<std::string>> record
            = loadRecordFile(this->storage, FileName);
        if (!record.ok()) {
            return record.status();
        }
        proto::MembershipUpdate targets;
        if (*record && !targets.ParseFromString(**record)) {
            return corruptFileError(
                FileName, 0, "a record that cannot be parsed as a list of targets");
        }
        return targets;
    }

    // Replaces the list; it is durable on return.
    absl::Status save(const proto::MembershipUpdate &targets)
    {
        return saveRecordFile(this->storage, FileName, targets.SerializeAsString());
    }

private:
    Storage &storage;
};

} // namespace samphirebridge::storage
