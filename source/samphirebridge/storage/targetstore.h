// The targets that a control instance knew last, on disk.
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

// Keeps one list of targets and replaces it at once.
template <Storage Storage>
class TargetStore
{
public:
    // Its file in the data folder.
    static constexpr std::string_view FileName = "targets";

    explicit TargetStore(Storage &storage)
        : storage(storage)
    {
    }

    // Returns the stored targets; none if there were none yet. StorageCorrupt.
    absl::StatusOr<proto::MembershipUpdate> load()
    {
        const absl::StatusOr<std::optional<std::string>> record
            = loadRecordFile(this->storage, FileName);
        if (!record.ok()) {
            return record.status();
        }
        proto::MembershipUpdate targets;
        if (*record && !targets.ParseFromString(**record)) {
            return corruptFile(FileName, 0, "a record that is no list of targets");
        }
        return targets;
    }

    // Makes the list durable before it returns.
    absl::Status save(const proto::MembershipUpdate &targets)
    {
        return saveRecordFile(this->storage, FileName, targets.SerializeAsString());
    }

private:
    Storage &storage;
};

} // namespace samphirebridge::storage
