// Announcements of targets as they arrive over HTTP.
#pragma once

#include "membership.pb.h"

#include <absl/status/statusor.h>

#include <string_view>

namespace samphirebridge::gateway
{

// Reads an announcement. InvalidAnnouncement names the member, what was found and what is accepted.
// What the members mean is checked by membership::checkTarget.
absl::StatusOr<proto::TargetRecord> parseAnnouncement(std::string_view body);

} // namespace samphirebridge::gateway
