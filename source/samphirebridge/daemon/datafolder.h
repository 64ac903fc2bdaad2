// The first steps on a control instance's data folder.
#pragma once

#include "samphirebridge/settings/settings.h"
#include "samphirebridge/storage/filestorage.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

namespace samphirebridge::daemon
{

// Writes the folder of one of a new fleet's first voters: all control instances of the settings.
// InvalidSettings without the role control; DataFolderMissing; StorageCorrupt if the folder is in
// use already.
absl::Status initialiseFolder(const settings::Settings &settings);

// Opens the folder. One that is empty gets the name of a new generation, under which the instance
// asks to join: its earlier self may have voted.
absl::StatusOr<storage::FileStorage> openFolder(const settings::Settings &settings);

} // namespace samphirebridge::daemon
