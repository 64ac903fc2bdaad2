// What the membership package asks its host to send.
#pragma once

#include "membership.pb.h"
#include "samphirebridge/core/ids.h"

namespace samphirebridge::membership
{

// One update for one peer. Delivery is best effort: what is lost comes by anti-entropy.
struct Outgoing {
    core::InstanceId to;
    proto::MembershipUpdate update;
};

} // namespace samphirebridge::membership
