// Notifies the entry instances of a committed declaration until all of them have it in force. An
// instance fetches the declaration from the control instance that notified it.
#pragma once

#include "instance.pb.h"
#include "samphirebridge/entry/noticeschedule.h"
#include "samphirebridge/membership/instancedirectory.h"
#include "samphirebridge/telemetry/counters.h"
#include "samphirebridge/telemetry/logger.h"
#include "samphirebridge/transport/peerset.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
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

    // Sends the notices that are due, see NoticeSchedule.
    void tick(uint64_t committedRevision,
              const membership::InstanceDirectory &instances,
              core::TimePoint now);

private:
    // The notices sent for one version.
    struct Propagation {
        size_t noticeCount = 0;
        std::set<core::InstanceId> receivers;
        bool isLogged = false; // The log line of the version is written.
    };

    void sendNotice(const core::InstanceId &receiver);

    // Logs once for each version when all instances in contact have it, or when a newer one was
    // committed before. Versions without a notice are not logged.
    void logPropagation(core::TimePoint now);

    // Logs once for each instance that it has been behind for long, and once that it no longer is.
    void logLags();

    core::InstanceId self;
    transport::PeerSet &peers;
    telemetry::Counters &counters;
    telemetry::Logger &logger;
    NoticeSchedule schedule;
    Propagation propagation; // For the newest version.
    std::map<std::string, InstanceLag> loggedLags; // By instance.
};

} // namespace samphirebridge::entry
