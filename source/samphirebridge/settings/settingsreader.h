// Converts a parsed YAML document into checked settings.
#pragma once

#include "samphirebridge/settings/document.h"
#include "samphirebridge/settings/settings.h"

namespace samphirebridge::settings
{

// Reads and checks the settings. The result is valid only if no problem was added.
Settings readSettings(const DocumentNode &document, ProblemCollector &problems);

} // namespace samphirebridge::settings
