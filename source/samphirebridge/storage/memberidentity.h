// The name under which a data folder's member votes. It is written once: a folder that lost its
// content gets a name of a new generation.
#pragma once

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
    explicit MemberIdentity(Storage &storage);

    // Returns the name, or nothing in a folder that was never initialised. StorageCorrupt.
    absl::StatusOr<std::optional<std::string>> load();

    // Writes the name, durable on return. InvalidName; StorageCorrupt if another name is there.
    absl::Status save(std::string_view member);
};

} // namespace samphirebridge::storage
