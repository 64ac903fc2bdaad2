// Parses the announcements that targets send over HTTP.
#pragma once

#include "membership.pb.h"

#include <absl/status/statusor.h>

#include <string_view>

namespace samphirebridge::gateway
{

// Parses the JSON body of an announcement. InvalidAnnouncement names the member, what was found and
// what is accepted. Checks the members' types and the state; membership::checkTarget checks the
// other values.
absl::StatusOr<proto::TargetRecord> parseAnnouncement(std::string_view body);

} // namespace samphirebridge::gateway
