// Tells the entry instances of each declaration that was committed, until all have it in force.
#pragma once

#include "instance.pb.h"
#include "ledger.pb.h"
#include "samphirebridge/membership/instancedirectory.h"
#include "samphirebridge/transport/peerset.h"

#include <map>
#include <string>

namespace samphirebridge::entry
{

// Runs on a control instance, on its control thread.
class DeclarationPublisher
{
public:
    DeclarationPublisher(core::InstanceId self, transport::PeerSet &peers);

    // Tells those behind the declaration. The leader does so at once; the others give it a moment
    // first, since the same news from each would only cost traffic.
    void tick(const proto::Declaration &committed,
              bool leads,
              const membership::InstanceDirectory &instances,
              core::TimePoint now);

private:
    core::InstanceId self;
    transport::PeerSet &peers;
    uint64_t version = 0;
    core::TimePoint committedAt; // When this instance learned of the version.
    std::map<std::string, core::TimePoint> toldAt; // Of the present version, by instance.
};

} // namespace samphirebridge::entry
