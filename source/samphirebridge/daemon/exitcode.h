// The exit codes of samphirebridged, for supervisors; listed in docs/reference/samphirebridged.md.
#pragma once

#include <cstdint>

namespace samphirebridge::daemon
{

enum class ExitCode : int {
    Success = 0,
    Usage = 2,
    InvalidSettings = 3,
    AddressInUse = 4,
    DataFolder = 5, // Missing, not initialised, or of another instance.
    StorageFailed = 6, // A write or sync failed, or stored data is damaged.
};

} // namespace samphirebridge::daemon
