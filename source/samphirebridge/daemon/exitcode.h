// How samphirebridged ends, for supervisors; docs/reference/samphirebridged.md lists them.
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
    StorageFailed = 6, // A write or sync failed, or what was stored is damaged.
};

} // namespace samphirebridge::daemon
