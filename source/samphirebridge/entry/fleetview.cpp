#include "samphirebridge/entry/fleetview.h"

#include "samphirebridge/core/digest.h"
#include "samphirebridge/core/errors.h"
#include "samphirebridge/membership/crashfinding.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <set>
#include <string>
#include <utility>

namespace samphirebridge::entry
{

namespace
{

// The time between two checks for silent targets.
constexpr core::Duration SweepInterval = std::chrono::milliseconds(500);

// The time between two digests, each sent to a random peer.
constexpr core::Duration DigestInterval = std::chrono::seconds(2);

// The same while no target is ready, so that an instance that has just started learns of the
// targets soon.
constexpr core::Duration FirstDigestInterval = std::chrono::milliseconds(100);

constexpr core::Duration RouterTickInterval = std::chrono::seconds(1);

// The time between two updates of the instances among which the limits of cold targets are divided.
// Well below routing::ColdAllotment::PermissionLifetime.
constexpr core::Duration ColdMembersInterval = std::chrono::milliseconds(100);

// Crash reports are gathered for this time into one message.
constexpr core::Duration CrashReportInterval = std::chrono::milliseconds(50);

std::string stateName(proto::TargetState state)
{
    switch (state) {
    case proto::READY:
        return "ready";
    case proto::LEAVING:
        return "leaving";
    case proto::GONE:
        return "gone";
    default:
        return "unspecified";
    }
}

std::string findingName(proto::CrashFinding finding)
{
    switch (finding) {
    case proto::CONNECTION_BROKEN:
        return "connection_broken";
    case proto::TARGET_ANSWERED:
        return "target_answered";
    case proto::TARGET_CRASHED:
        return "target_crashed";
    case proto::REQUEST_CLEARED:
        return "request_cleared";
    default:
        return "unspecified";
    }
}

std::string coldSourceName(routing::ColdSource source)
{
    switch (source) {
    case routing::ColdSource::Announcement:
        return "announcement";
    case routing::ColdSource::Answer:
        return "answer";
    default:
        return "evacuation";
    }
}

std::string shareStateName(membership::ShareState state)
{
    switch (state) {
    case membership::ShareState::Isolated:
        return "isolated";
    case membership::ShareState::Suspended:
        return "suspended";
    case membership::ShareState::Leaving:
        return "leaving";
    default:
        return "starting";
    }
}

std::string subjectName(proto::CrashSubject subject)
{
    return subject == proto::PROMPT_PART ? "prompt_part" : "request";
}

} // namespace

FleetView::FleetView(core::InstanceId ownId,
                     core::Incarnation incarnation,
                     const routing::RoutingOptions &routingOptions,
                     const membership::MembershipOptions &membershipOptions,
                     transport::PeerSet &peers,
                     telemetry::Counters &processCounters,
                     telemetry::Logger &processLogger,
                     uint64_t seed)
    : self(std::move(ownId))
    , peerSet(peers)
    , counters(processCounters)
    , logger(processLogger)
    , random(seed)
    , targetDirectory(this->self, membershipOptions)
    , instanceDirectory(this->self, incarnation, membershipOptions)
    , crashDirectory(this->self, membershipOptions)
    , coldMembers(this->self, membershipOptions)
    , bootClock(core::drawClockId())
    , targetRouter(this->self, routingOptions, std::mt19937_64(seed + 1))
{
    this->targetDirectory.setFleetSize(peers.ids().size() + 1);
    this->instanceDirectory.addSeeds(peers.ids(), core::SteadyClock().now());
}

absl::Status FleetView::announce(const proto::TargetRecord &record, core::TimePoint now)
{
    return this->applyAnnouncement(
        this->targetDirectory.announce(record, this->instanceDirectory.peers(now), now), now);
}

absl::Status FleetView::withdraw(std::string_view target,
                                 std::optional<core::Incarnation> incarnation,
                                 core::TimePoint now)
{
    return this->applyAnnouncement(
        this->targetDirectory.withdraw(
            target, incarnation, this->instanceDirectory.peers(now), now),
        now);
}

absl::Status
FleetView::applyAnnouncement(const absl::StatusOr<membership::AnnouncementEffect> &announced,
                             core::TimePoint now)
{
    if (!announced.ok()) {
        return announced.status();
    }
    this->applyEffect(announced->effect, now);
    return absl::OkStatus();
}

void FleetView::onUpdate(const proto::MembershipUpdate &update, core::TimePoint now)
{
    for (const core::InstanceId &reconnected : this->instanceDirectory.merge(update, now)) {
        this->sendDigestTo(reconnected);
    }
    const std::vector<core::InstanceId> peers = this->instanceDirectory.peers(now);
    this->applyEffect(this->targetDirectory.merge(update, peers, now), now);
    std::vector<membership::Outgoing> outgoing;
    const auto crashes = this->crashDirectory.merge(update, peers, now, outgoing);
    this->targetRouter.onCrashReports(crashes, now);
    this->counters.count(telemetry::Event::CrashReportsReceived,
                         static_cast<double>(crashes.size()));
    this->send(outgoing);
}

void FleetView::onDigest(const proto::MembershipDigest &digest, core::TimePoint now)
{
    const membership::DigestAnswer answer = this->targetDirectory.answer(digest, now);
    const auto crashes = this->crashDirectory.answer(digest, now);
    transport::PeerChannel *channel = this->peerSet.channelTo(core::InstanceId(digest.from()));
    if (channel == nullptr || (!answer.update && !answer.digest && !crashes)) {
        return;
    }
    proto::Envelope envelope;
    envelope.set_from(this->self.value);
    if (answer.update) {
        *envelope.add_updates() = *answer.update;
    }
    if (crashes) {
        *envelope.add_updates() = *crashes;
    }
    if (answer.digest) {
        *envelope.add_digests() = *answer.digest;
    }
    channel->deliver(envelope);
}

void FleetView::tick(core::TimePoint now)
{
    this->send(this->instanceDirectory.tick(now));
    if (now - this->lastSweep >= SweepInterval) {
        this->lastSweep = now;
        this->applyEffect(this->targetDirectory.tick(this->instanceDirectory.peers(now), now), now);
    }
    const core::Duration digestInterval
        = this->targetRouter.readyTargets() == 0 ? FirstDigestInterval : DigestInterval;
    if (now - this->lastDigest >= digestInterval) {
        this->lastDigest = now;
        this->sendDigest(now);
    }
    this->updateColdMembers(now);
    this->reportColdTargets();
    if (now - this->lastRouterTick >= RouterTickInterval) {
        this->lastRouterTick = now;
        this->targetRouter.tick(now);
        this->logPartVerdicts();
        this->updateRetryShare(now);
        this->crashDirectory.tick(now);
        this->countWithheldReports();
        this->counters.set(telemetry::Gauge::TargetsCold,
                           static_cast<double>(this->targetRouter.coldTargets(now)));
        this->countEvacuationSkips();
        this->counters.set(telemetry::Gauge::CrashSuspects,
                           static_cast<double>(this->targetRouter.crashSuspects()));
        this->counters.set(telemetry::Gauge::HarmfulParts,
                           static_cast<double>(this->targetRouter.harmfulParts()));
    }
    if (now - this->lastCrashReports >= CrashReportInterval) {
        this->lastCrashReports = now;
        this->sendCrashReports(now);
    }
    this->counters.set(telemetry::Gauge::TargetsReady,
                       static_cast<double>(this->targetRouter.readyTargets()));
}

void FleetView::onManifest(const manifest::Catalogue &catalogue, core::TimePoint now)
{
    std::vector<proto::TargetKind> kinds;
    for (const proto::TargetKind *kind : catalogue.targetKinds()) {
        kinds.push_back(*kind);
    }
    std::vector<proto::Organisation> organisations;
    for (const proto::Organisation *organisation : catalogue.organisations()) {
        organisations.push_back(*organisation);
    }
    proto::Policy policy;
    policy.set_retry_share_percent(catalogue.policy().retrySharePercent);
    this->targetRouter.setKinds(kinds);
    this->targetRouter.setOrganisations(organisations);
    this->targetRouter.setPolicy(policy);
    this->instanceDirectory.setManifestVersion(catalogue.version());
    this->send(this->instanceDirectory.tick(now));
}

void FleetView::onDeclaration(const forwarding::Declaration &declaration, core::TimePoint now)
{
    std::vector<proto::TargetKind> kinds;
    for (const forwarding::Service &service : declaration.services) {
        proto::TargetKind &kind = kinds.emplace_back();
        kind.set_id(service.id.value);
        kind.set_service(service.id.value);
    }
    this->targetRouter.setKinds(kinds);
    this->setColdLimits(declaration, now);
}

void FleetView::setColdLimits(const forwarding::Declaration &declaration, core::TimePoint now)
{
    std::vector<routing::ColdLimit> limits;
    std::set<std::string, std::less<>> kinds;
    for (const forwarding::Service &service : declaration.services) {
        if (service.coldRequestsPerSecond > 0) {
            limits.push_back({service.id, service.coldRequestsPerSecond, service.coldStart});
            kinds.insert(service.id.value);
        }
    }
    this->targetRouter.setColdLimits(limits, now);
    this->setColdKinds(std::move(kinds));
}

void FleetView::setColdKinds(std::set<std::string, std::less<>> kinds)
{
    this->targetDirectory.setColdKinds(std::move(kinds));
}

// The state is kept without limits too, so that a declaration that adds one need not wait for it.
void FleetView::updateColdMembers(core::TimePoint now)
{
    this->coldMembers.onRunning(
        now, core::TimePoint(std::chrono::milliseconds(this->bootClock.read().atMs)));
    const bool wasReady = this->loggedShareState == membership::ShareState::Ready;
    const bool isReady = this->coldMembers.state() == membership::ShareState::Ready;
    if (now - this->lastColdMembers < ColdMembersInterval && wasReady == isReady) {
        return;
    }
    this->lastColdMembers = now;
    this->coldMembers.update(this->instanceDirectory, now);
    this->targetRouter.setColdMembers(this->coldMembers.members(),
                                      this->coldMembers.state() == membership::ShareState::Ready,
                                      now,
                                      this->coldMembers.part());
    this->logColdShare();
}

void FleetView::logColdShare()
{
    const membership::ShareState state = this->coldMembers.state();
    const membership::ShareState before = std::exchange(this->loggedShareState, state);
    const bool isReady = state == membership::ShareState::Ready;
    const bool wasReady = before == membership::ShareState::Ready;
    const bool isConcerned
        = this->targetRouter.hasColdLimits() && this->instanceDirectory.own().serves();
    if (isReady == wasReady || !isConcerned) {
        return;
    }
    this->logger.change(isReady ? "cold_share_ready" : "cold_share_lost",
                        {{"reason", shareStateName(isReady ? before : state)},
                         {"instances", std::to_string(this->coldMembers.members().size())}});
}

void FleetView::reportColdTargets()
{
    for (const routing::ColdChange &change : this->targetRouter.takeColdChanges()) {
        const auto remaining
            = std::chrono::duration_cast<std::chrono::milliseconds>(change.remaining);
        this->logger.change("target_cold",
                            {{"target", change.target},
                             {"incarnation", std::to_string(change.incarnation)},
                             {"remaining_ms", std::to_string(remaining.count())},
                             {"share", std::to_string(change.share.requests)},
                             {"source", coldSourceName(change.source)}});
    }
    const routing::RoutingCounters &counts = this->targetRouter.counters();
    this->counters.count(
        telemetry::Event::ColdAllotmentsUsed,
        static_cast<double>(counts.coldChoices
                            - std::exchange(this->countedColdChoices, counts.coldChoices)));
    this->counters.count(
        telemetry::Event::ColdTargetsSkipped,
        static_cast<double>(counts.coldSkips
                            - std::exchange(this->countedColdSkips, counts.coldSkips)));
}

void FleetView::onRevision(uint64_t revision,
                           std::vector<std::string> dataCentres,
                           core::TimePoint now)
{
    this->targetRouter.setEvacuated(dataCentres, now);
    this->logEvacuations(dataCentres, revision);
    this->evacuatedDataCentres = std::move(dataCentres);
    this->counters.set(telemetry::Gauge::EvacuatedDataCentres,
                       static_cast<double>(this->evacuatedDataCentres.size()));
    this->instanceDirectory.setDeclarationVersion(revision);
    this->send(this->instanceDirectory.tick(now));
}

void FleetView::logEvacuations(std::span<const std::string> dataCentres, uint64_t revision)
{
    const auto logMissing = [&](std::span<const std::string> from,
                                std::span<const std::string> in,
                                std::string_view state) {
        for (const std::string &dataCentre : from) {
            if (std::ranges::find(in, dataCentre) == in.end()) {
                this->logger.change("evacuation_in_force",
                                    {{"data_centre", dataCentre},
                                     {"state", std::string(state)},
                                     {"revision", std::to_string(revision)}});
            }
        }
    };
    logMissing(dataCentres, this->evacuatedDataCentres, "started");
    logMissing(this->evacuatedDataCentres, dataCentres, "ended");
    if (std::ranges::equal(dataCentres, this->evacuatedDataCentres)) {
        return;
    }
    for (const std::string &service : this->targetRouter.evacuatedServices()) {
        this->logger.change("evacuation_leaves_no_target",
                            {{"service", service}, {"revision", std::to_string(revision)}});
    }
}

void FleetView::countEvacuationSkips()
{
    const uint64_t skips = this->targetRouter.counters().evacuatedSkips;
    this->counters.count(
        telemetry::Event::EvacuatedCandidatesSkipped,
        static_cast<double>(skips - std::exchange(this->countedEvacuationSkips, skips)));
}

void FleetView::addSeeds(std::span<const core::InstanceId> seeds)
{
    this->instanceDirectory.addSeeds(seeds);
}

void FleetView::setRoles(bool votes, bool serves)
{
    this->instanceDirectory.setRoles(votes, serves);
}

void FleetView::setRetryBounds(uint32_t sharePercent, double fleetBurst)
{
    this->retrySharePercent = sharePercent;
    this->fleetRetryBurst = fleetBurst;
}

void FleetView::setIncarnation(core::Incarnation incarnation)
{
    this->instanceDirectory.setIncarnation(incarnation);
}

std::vector<core::InstanceId> FleetView::controlInstances(core::TimePoint now) const
{
    std::vector<core::InstanceId> inContactIds;
    std::vector<core::InstanceId> silentIds;
    for (const membership::InstanceView &view : this->instanceDirectory.view(now)) {
        if (view.record.votes() && !view.record.leaving()) {
            (view.inContact ? inContactIds : silentIds).emplace_back(view.record.id());
        }
    }
    inContactIds.insert(inContactIds.end(), silentIds.begin(), silentIds.end());
    return inContactIds;
}

void FleetView::setWatchers(std::vector<core::InstanceId> instances)
{
    this->targetDirectory.setFleetSize(instances.size());
    this->targetDirectory.setWatchers(std::move(instances));
}

bool FleetView::isControlInContact(core::TimePoint now) const
{
    bool inContact = false;
    this->instanceDirectory.visit(now, [&](const proto::InstanceRecord &record, bool isInContact) {
        inContact = inContact || (record.votes() && isInContact);
    });
    return inContact;
}

// The retries are divided among all instances that serve callers, also those out of contact: an
// isolated instance still uses its part.
void FleetView::updateRetryShare(core::TimePoint now)
{
    if (this->fleetRetryBurst <= 0) {
        return;
    }
    size_t serving = 0;
    this->instanceDirectory.visit(now, [&](const proto::InstanceRecord &record, bool) {
        serving += record.serves() ? 1 : 0;
    });
    const double instances = std::max<double>(1, static_cast<double>(serving));
    this->targetRouter.setRetryShare(this->retrySharePercent, this->fleetRetryBurst / instances);
}

void FleetView::reportToControl()
{
    this->instanceDirectory.reportToControl();
}

void FleetView::leave()
{
    this->send(this->instanceDirectory.leave());
}

void FleetView::sendCrashReports(core::TimePoint now)
{
    const std::vector<proto::CrashReport> reports = this->targetRouter.takeCrashReports();
    if (reports.empty()) {
        return;
    }
    this->counters.count(telemetry::Event::CrashReportsMade, static_cast<double>(reports.size()));
    this->logCrashReports(reports);
    this->send(
        this->crashDirectory.addLocalReports(reports, this->instanceDirectory.peers(now), now));
}

void FleetView::countWithheldReports()
{
    const uint64_t withheld
        = this->crashDirectory.withheldReports() + this->crashDirectory.droppedReports();
    this->counters.count(
        telemetry::Event::CrashReportsWithheld,
        static_cast<double>(withheld - std::exchange(this->countedWithheldReports, withheld)));
}

void FleetView::logCrashReports(std::span<const proto::CrashReport> reports)
{
    for (const proto::CrashReport &report : reports) {
        this->logger.request(telemetry::Importance::Failure,
                             "crash_report",
                             {{"subject", subjectName(report.subject())},
                              {"fingerprint", core::toHex(report.fingerprint())},
                              {"target", report.target()},
                              {"incarnation", std::to_string(report.target_incarnation())},
                              {"finding", findingName(membership::findingOf(report))},
                              {"age_ms", std::to_string(report.age_ms())}});
    }
}

void FleetView::logPartVerdicts()
{
    for (const routing::PartVerdict &verdict : this->targetRouter.takePartVerdicts()) {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(verdict.age);
        this->logger.change(verdict.harmful ? "part_refused" : "part_no_longer_refused",
                            {{"fingerprint", core::toHex(verdict.part)},
                             {"targets", std::to_string(verdict.targets)},
                             {"requests", std::to_string(verdict.requests)},
                             {"age_ms", std::to_string(age.count())}});
    }
}

uint64_t FleetView::newestManifestVersion(core::TimePoint now) const
{
    uint64_t newest = 0;
    this->instanceDirectory.visit(now, [&](const proto::InstanceRecord &record, bool) {
        newest = std::max<uint64_t>(newest, record.manifest_version());
    });
    return newest;
}

FleetView::Router &FleetView::router()
{
    return this->targetRouter;
}

const membership::TargetDirectory &FleetView::targets() const
{
    return this->targetDirectory;
}

const membership::InstanceDirectory &FleetView::instances() const
{
    return this->instanceDirectory;
}

uint64_t FleetView::targetChanges() const
{
    return this->targetChangeCount;
}

uint64_t FleetView::targetDepartures() const
{
    return this->targetDepartureCount;
}

std::vector<proto::CrashReport> FleetView::partReports(core::TimePoint now) const
{
    return this->crashDirectory.partReports(now);
}

uint64_t FleetView::partReportChanges() const
{
    return this->crashDirectory.partChanges();
}

void FleetView::send(const std::vector<membership::Outgoing> &outgoing)
{
    for (const membership::Outgoing &message : outgoing) {
        transport::PeerChannel *channel = this->peerSet.channelTo(message.to);
        if (channel == nullptr) {
            continue;
        }
        proto::Envelope envelope;
        envelope.set_from(this->self.value);
        *envelope.add_updates() = message.update;
        channel->deliver(envelope);
    }
}

void FleetView::applyEffect(const membership::DirectoryEffect &effect, core::TimePoint now)
{
    for (const proto::TargetRecord &record : effect.changed) {
        this->logger.change("target_changed",
                            {{"target", record.id()},
                             {"incarnation", std::to_string(record.incarnation())},
                             {"state", stateName(record.state())}});
        ++this->targetChangeCount;
        this->targetDepartureCount += record.state() == proto::READY ? 0 : 1;
        this->targetRouter.onTarget(record, now);
    }
    for (const proto::TargetRecord &record : effect.colder) {
        this->targetRouter.onLoad(record.id(), record.incarnation(), record.load(), now);
    }
    for (const proto::TargetRecord &record : effect.renewed) {
        this->targetRouter.onLoad(record.id(), record.incarnation(), record.load(), now);
        this->targetRouter.onAnnounced(record.id(), record.incarnation(), now);
    }
    this->send(effect.outgoing);
}

void FleetView::sendDigest(core::TimePoint now)
{
    // Targets announce themselves to control instances, so these are asked while no target is
    // ready.
    std::vector<core::InstanceId> partners;
    if (this->targetRouter.readyTargets() == 0) {
        partners = this->controlInstances(now);
    }
    if (partners.empty()) {
        partners = this->instanceDirectory.digestPartners(now);
    }
    if (partners.empty()) {
        return;
    }
    std::uniform_int_distribution<size_t> partnerIndex(0, partners.size() - 1);
    this->sendDigestTo(partners[partnerIndex(this->random)]);
}

void FleetView::sendDigestTo(const core::InstanceId &peer)
{
    transport::PeerChannel *channel = this->peerSet.channelTo(peer);
    if (channel == nullptr) {
        return;
    }
    proto::Envelope envelope;
    envelope.set_from(this->self.value);
    proto::MembershipDigest &digest = *envelope.add_digests();
    digest = this->targetDirectory.digest();
    this->crashDirectory.addChecksums(digest);
    channel->deliver(envelope);
}

} // namespace samphirebridge::entry
