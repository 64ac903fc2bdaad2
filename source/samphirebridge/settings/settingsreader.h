// From a document's tree to checked settings.
#pragma once

#include "samphirebridge/settings/document.h"
#include "samphirebridge/settings/settings.h"

namespace samphirebridge::settings
{

// Reads and checks the settings; they are only good if no problem was added.
Settings readSettings(const DocumentNode &document, ProblemCollector &problems);

} // namespace samphirebridge::settings
