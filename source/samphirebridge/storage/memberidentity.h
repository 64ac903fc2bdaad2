// The name under which a data folder's member votes. It is written once: a folder that lost its
// content gets a name of a new generation.
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

// Returns the part before the last '/', the instance, or the whole name if there is none.
std::string_view instanceOf(std::string_view member);

// Keeps the member's name.
template <Storage Storage>
class MemberIdentity
{
public:
    // Its file in the data folder.
    static constexpr std::string_view FileName = "member";

    explicit MemberIdentity(Storage &storage)
        : storage(storage)
    {
    }

    // Returns the name, or nothing in a folder that was never initialised. StorageCorrupt.
    absl::StatusOr<std::optional<std::string>> load()
    {
        return loadRecordFile(this->storage, FileName);
    }

    // Writes the name, durable on return. InvalidName; StorageCorrupt if another name is there.
    absl::Status save(std::string_view member)
    {
        if (absl::Status status = core::checkName(member); !status.ok()) {
            return status;
        }
        const absl::StatusOr<std::optional<std::string>> present = this->load();
        if (!present.ok()) {
            return present.status();
        }
        if (!*present) {
            return saveRecordFile(this->storage, FileName, member);
        }
        if (**present != member) {
            return core::makeError(
                core::ErrorCode::StorageCorrupt,
                fmt::format("file {}: found the member name {} in place of {}; a folder keeps its "
                            "name for ever",
                            FileName,
                            **present,
                            member));
        }
        return absl::OkStatus();
    }

private:
    Storage &storage;
};

} // namespace samphirebridge::storage
