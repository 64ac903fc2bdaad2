// The name of the Raft member whose state a data folder holds. It is written once and never
// changes. After its content was lost, a folder gets a member name with a new generation, since the
// old member may have voted.
#pragma once

#include "samphirebridge/core/errors.h"
#include "samphirebridge/core/ids.h"
#include "samphirebridge/storage/recordfile.h"
#include "samphirebridge/storage/storage.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace samphirebridge::storage
{

// Returns "<instance>/<generation>".
std::string memberName(std::string_view instance, uint64_t generation);

// Returns the instance of a member: the part before the last '/', or the whole name without one.
std::string_view instanceOf(std::string_view member);

// Stores the member name of a data folder.
template <Storage Storage>
class MemberIdentity
{
public:
    // The name of the file in the data folder.
    static constexpr std::string_view FileName = "member";

    explicit MemberIdentity(Storage &storage)
        : storage(storage)
    {
    }

    // Returns the name, or nothing if the folder was never initialised. StorageCorrupt if the file
    // is damaged.
    absl::StatusOr<std::optional<std::string>> load()
    {
        return loadRecordFile(this->storage, FileName);
    }

    // Stores the name; it is durable on return. InvalidName if it is no valid name; StorageCorrupt
    // if the folder has another name.
    absl::Status save(std::string_view member)
    {
        if (absl::Status status = core::checkName(member); !status.ok()) {
            return status;
        }
        const absl::StatusOr<std::optional<std::string>> stored = this->load();
        if (!stored.ok()) {
            return stored.status();
        }
        if (!*stored) {
            return saveRecordFile(this->storage, FileName, member);
        }
        if (**stored != member) {
            return core::makeError(
                core::ErrorCode::StorageCorrupt,
                fmt::format("file {}: found the member name {} in place of {}; the member name of "
                            "a folder never changes",
                            FileName,
                            **stored,
                            member));
        }
        return absl::OkStatus();
    }

private:
    Storage &storage;
};

} // namespace samphirebridge::storage
