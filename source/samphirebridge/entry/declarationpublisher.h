// Tells the entry instances of each declaration that was committed, until all have it in force.
#pragma once

#include "instance.pb.h"
#include "ledger.pb.h"
#include "samphirebridge/membership/instancedirectory.h"
#include "samphirebridge/telemetry/counters.h"
#include "samphirebridge/telemetry/logger.h"
#include "samphirebridge/transport/peerset.h"

#include <map>
#include <string>

namespace samphirebridge::entry
{

// Runs on a control instance, on its control thread.
class DeclarationPublisher
{
public:
    DeclarationPublisher(core::InstanceId self,
                         transport::PeerSet &peers,
                         telemetry::Counters &counters,
                         telemetry::Logger &logger);

    // Tells those behind the declaration. The leader does so at once; the others give it a moment
    // first, since the same news from each would only cost traffic.
    void tick(const proto::Declaration &committed,
              bool leads,
              const membership::InstanceDirectory &instances,
              core::TimePoint now);

private:
    // What it took to tell of one version.
    struct Spread {
        size_t messages = 0;
        size_t bytes = 0;
        bool isReported = false;
    };

    // Writes one line about a version: all instances in contact have it, or a newer one came.
    void reportSpread(size_t behind, core::TimePoint now);

    core::InstanceId self;
    transport::PeerSet &peers;
    telemetry::Counters &counters;
    telemetry::Logger &logger;
    uint64_t version = 0;
    core::TimePoint committedAt; // When this instance learned of the version.
    std::map<std::string, core::TimePoint> toldAt; // Of the present version, by instance.
    Spread spread; // Of the present version.
    size_t lastBehind = 0; // Instances in contact that were behind at the last look.
};

} // namespace samphirebridge::entry
