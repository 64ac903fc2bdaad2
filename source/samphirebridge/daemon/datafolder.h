// Initialises and opens the data folder of a control instance.
#pragma once

#include "samphirebridge/settings/settings.h"
#include "samphirebridge/storage/filestorage.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

namespace samphirebridge::daemon
{

// Initialises the data folder for one of a new fleet's first voters, which are all control
// instances of the settings. Errors: InvalidSettings if this instance lacks the role control;
// DataFolderMissing; StorageCorrupt if the folder belongs to another member; those of
// consensus::initialise().
absl::Status initialiseDataFolder(const settings::Settings &settings);

// Opens the data folder. An empty one is initialised for a first voter if the settings found a
// fleet with this instance, otherwise with the member name of a new generation, under which the
// instance asks to join: under its old name it may have voted, and it has lost the record of that.
absl::StatusOr<storage::FileStorage> openDataFolder(const settings::Settings &settings);

} // namespace samphirebridge::daemon
