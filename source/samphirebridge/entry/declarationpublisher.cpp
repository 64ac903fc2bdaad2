#include "samphirebridge/entry/declarationpublisher.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

namespace samphirebridge::entry
{

namespace
{

// The time behind after which an instance is logged.
constexpr core::Duration LoggedLag = std::chrono::milliseconds(1000);

// An instance that has just started lacks versions that are much older than it.
core::Duration behindFor(const InstanceLag &lag)
{
    return std::min(lag.age, lag.seenFor);
}

std::string millisecondsOf(core::Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

} // namespace

DeclarationPublisher::DeclarationPublisher(core::InstanceId ownId,
                                           transport::PeerSet &peerSet,
                                           telemetry::Counters &processCounters,
                                           telemetry::Logger &processLogger)
    : self(ownId)
    , peers(peerSet)
    , counters(processCounters)
    , logger(processLogger)
    , schedule(std::move(ownId))
{
}

void DeclarationPublisher::tick(uint64_t committedRevision,
                                const membership::InstanceDirectory &instances,
                                core::TimePoint now)
{
    if (committedRevision > this->schedule.version()) {
        this->logPropagation(now);
        this->propagation = {};
        this->schedule.onApplied(committedRevision, now);
    }
    if (this->schedule.version() == 0) {
        return;
    }
    for (const core::InstanceId &receiver : this->schedule.takeDue(instances.view(now), now)) {
        this->sendNotice(receiver);
    }
    if (this->schedule.lags().empty()) {
        this->logPropagation(now);
    }
    this->logLags();
}

void DeclarationPublisher::sendNotice(const core::InstanceId &receiver)
{
    transport::PeerChannel *channel = this->peers.channelTo(receiver);
    if (channel == nullptr) {
        return;
    }
    proto::Envelope envelope;
    envelope.set_from(this->self.value);
    envelope.mutable_declaration_notice()->set_from(this->self.value);
    envelope.mutable_declaration_notice()->set_version(this->schedule.version());
    this->counters.count(telemetry::Event::DeclarationBytesSent,
                         static_cast<double>(envelope.ByteSizeLong()));
    ++this->propagation.noticeCount;
    this->propagation.receivers.insert(receiver);
    channel->deliver(envelope);
}

void DeclarationPublisher::logPropagation(core::TimePoint now)
{
    if (this->propagation.isLogged || this->propagation.noticeCount == 0) {
        return;
    }
    this->propagation.isLogged = true;
    this->logger.change("declaration_spread",
                        {{"version", std::to_string(this->schedule.version())},
                         {"instances", std::to_string(this->propagation.receivers.size())},
                         {"behind", std::to_string(this->schedule.lags().size())},
                         {"notices", std::to_string(this->propagation.noticeCount)},
                         {"took_ms", millisecondsOf(now - this->schedule.appliedAt())}});
}

void DeclarationPublisher::logLags()
{
    core::Duration longest{};
    std::map<std::string, InstanceLag> stillBehind;
    for (const InstanceLag &lag : this->schedule.lags()) {
        const core::Duration behind = behindFor(lag);
        longest = std::max(longest, behind);
        const bool wasLogged = this->loggedLags.contains(lag.instance);
        if (behind < LoggedLag && !wasLogged) {
            continue;
        }
        stillBehind[lag.instance] = lag;
        if (!wasLogged) {
            this->logger.change("instance_behind",
                                {{"peer", lag.instance},
                                 {"held", std::to_string(lag.heldVersion)},
                                 {"version", std::to_string(this->schedule.version())},
                                 {"behind_ms", millisecondsOf(behindFor(lag))},
                                 {"rank", std::to_string(lag.rank)},
                                 {"notices", std::to_string(lag.noticeCount)},
                                 {"last_notice_ms", millisecondsOf(lag.sinceLastNotice)}});
        }
    }
    for (const auto &[instance, lag] : this->loggedLags) {
        if (!stillBehind.contains(instance)) {
            this->logger.change("instance_up_to_date",
                                {{"peer", instance},
                                 {"behind_ms", millisecondsOf(behindFor(lag))},
                                 {"notices", std::to_string(lag.noticeCount)}});
        }
    }
    this->loggedLags = std::move(stillBehind);
    this->counters.set(telemetry::Gauge::DeclarationLag,
                       std::chrono::duration<double>(longest).count());
}

} // namespace samphirebridge::entry
