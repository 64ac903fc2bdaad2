// Notifies the entry instances of a committed declaration until all of them have it in force. An
// instance fetches the declaration from the control instance that notified it.
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

// Runs on a control instance. Not thread-safe: used on the control thread only.
class DeclarationPublisher
{
public:
    DeclarationPublisher(core::InstanceId self,
                         transport::PeerSet &peers,
                         telemetry::Counters &counters,
                         telemetry::Logger &logger);

    // Sends the notices that are due to the instances in contact with an older version. Each entry
    // instance has a primary notifier among the control instances in contact, which notifies it at
    // once; the others do so only if it still has an older version some time later.
    void tick(uint64_t committedVersion,
              const membership::InstanceDirectory &instances,
              core::TimePoint now);

private:
    // The notices sent for one version.
    struct Propagation {
        size_t noticeCount = 0;
        bool isLogged = false; // The log line of the version is written.
    };

    // Returns whether this control instance has the highest rendezvous weight for the instance
    // among the control instances that are in contact and not leaving.
    [[nodiscard]] bool isPrimaryNotifierOf(const std::string &instance,
                                           std::span<const membership::InstanceView> views) const;

    // Logs once for each version when all instances in contact have it, or when a newer one was
    // committed before. Versions without a notice are not logged.
    void logPropagation(size_t instancesBehind, core::TimePoint now);

    core::InstanceId self;
    transport::PeerSet &peers;
    telemetry::Counters &counters;
    telemetry::Logger &logger;
    uint64_t version = 0;
    core::TimePoint committedAt; // When this instance learned of the commit.
    std::map<std::string, core::TimePoint> notifiedAt; // By instance, for the current version.
    Propagation propagation; // For the current version.
    size_t lastBehindCount = 0; // Instances in contact with an older version, at the last tick.
};

} // namespace samphirebridge::entry
