// The messages that the membership package asks its caller to send.
#pragma once

#include "membership.pb.h"
#include "samphirebridge/core/ids.h"

namespace samphirebridge::membership
{

// One update for one peer. Delivery is best effort: anti-entropy repairs losses.
struct Outgoing {
    core::InstanceId to;
    proto::MembershipUpdate update;
};

} // namespace samphirebridge::membership
