// Tells the entry instances that a declaration was committed, until all have it in force. They
// fetch it from who told them.
#pragma once

#include "instance.pb.h"
#include "samphirebridge/membership/instancedirectory.h"
#include "samphirebridge/telemetry/counters.h"
#include "samphirebridge/telemetry/logger.h"
#include "samphirebridge/transport/peerset.h"

#include <map>
#include <span>
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

    // Tells those behind the version. Each entry instance has a home among the control instances in
    // contact, which tells it at once; the others give the home a moment first.
    void tick(uint64_t committedVersion,
              const membership::InstanceDirectory &instances,
              core::TimePoint now);

private:
    // What it took to tell of one version.
    struct Spread {
        size_t notices = 0;
        bool isReported = false;
    };

    // Tells whether this instance is the home among the control instances in contact.
    [[nodiscard]] bool isHomeOf(const std::string &instance,
                                std::span<const membership::InstanceView> views) const;

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
