#include "samphirebridge/entry/entrynode.h"

#include "samphirebridge/core/digest.h"
#include "samphirebridge/core/errors.h"
#include "samphirebridge/core/rendezvous.h"

#include <fmt/format.h>

#include <chrono>
#include <string>
#include <utility>

namespace samphirebridge::entry
{

namespace
{

// How long one registration command may take before it is sent again.
constexpr core::Duration RegistrationTimeout = std::chrono::seconds(3);

// The time between two updates of the gauges.
constexpr core::Duration GaugeInterval = std::chrono::seconds(1);

// The time between two updates of the control instances, the witness and the lenders.
constexpr core::Duration ControlCheckInterval = std::chrono::milliseconds(500);

// Added to an incarnation that the ledger has refused as older than a registered one. Incarnations
// are taken from a clock, which may have been set back by more than the process was down.
constexpr core::Incarnation IncarnationStep = 10'000;

// How much demand the escrow covers under a declaration: enough to keep serving while the instance
// is out of contact with the ledger.
constexpr core::Duration DeclarationEscrowHorizon = std::chrono::seconds(9);

// Escrow is refilled early, as contact may be lost at any moment.
constexpr double DeclarationRefillFraction = 0.8;

// The Retry-After if the ledger has confirmed that too few tokens are left for a request. By then
// other requests may have been settled. Out of contact budget::RetryPacer chooses it.
constexpr core::Duration DeclarationRetryAfter = std::chrono::milliseconds(1000);

// Under a declaration, a request that the escrow does not cover is refused at once when the ledger
// has not answered for this long.
constexpr core::Duration DeclarationContactTimeout = std::chrono::milliseconds(600);

// How long after an evacuation its targets may still be cold, with room for clocks that differ.
constexpr std::chrono::seconds RecentEvacuation{30};

// Tells whether the data centre was evacuated until a moment ago, by the wall clocks of this
// instance and of the leader.
bool hasEndedRecently(const proto::Evacuation &evacuation)
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto age = now - std::chrono::milliseconds(evacuation.changed_at_ms());
    return evacuation.revision() > 0 && age < RecentEvacuation && -age < RecentEvacuation;
}

membership::MembershipOptions membershipOptions(const EntryOptions &options)
{
    membership::MembershipOptions membership;
    if (options.discoversPeers) {
        membership.discoverPeers = true;
        membership.directPeerLimit = 16;
        membership.silentInstanceRetention = std::chrono::seconds(60);
    }
    return membership;
}

routing::RoutingOptions routingOptions(const EntryOptions &options)
{
    routing::RoutingOptions routing;
    routing.subset.dataCentre = options.dataCentre.value;
    routing.dataCentreRegions = options.dataCentreRegions;
    return routing;
}

budget::EscrowOptions escrowOptions(core::Duration flushInterval)
{
    budget::EscrowOptions options;
    options.flushInterval = flushInterval;
    return options;
}

std::string_view evidenceName(proto::IsolationEvidence evidence)
{
    switch (evidence) {
    case proto::LEADER_CLOCK:
        return "leader_clock";
    case proto::MACHINE_CLOCK:
        return "machine_clock";
    case proto::MEMBERS_CLOCKS:
        return "members_clocks";
    default:
        return "none";
    }
}

} // namespace

EntryNode::EntryNode(EntryOptions entryOptions,
                     control::LedgerClient &ledgerClient,
                     transport::PeerSet &peers,
                     telemetry::Counters &processCounters,
                     telemetry::Logger &processLogger)
    : options(std::move(entryOptions))
    , client(ledgerClient)
    , counters(processCounters)
    , logger(processLogger)
    , fleetView(this->options.holder.instance,
                this->options.holder.incarnation,
                routingOptions(this->options),
                membershipOptions(this->options),
                peers,
                processCounters,
                processLogger,
                this->options.seed)
    , escrowKeeper(this->options.holder,
                   escrowOptions(this->options.escrowFlushInterval),
                   ledgerClient,
                   processCounters,
                   processLogger)
    , claimKeeper(this->escrowKeeper, ledgerClient, processCounters)
    , manifestKeeper(ledgerClient,
                     processCounters,
                     processLogger,
                     [this](const manifest::Catalogue &catalogue) { this->onManifest(catalogue); })
    , declarationKeeper(
          this->options.holder.instance,
          ledgerClient,
          processCounters,
          processLogger,
          [this](const forwarding::Declaration &declaration) { this->onDeclaration(declaration); })
{
    this->fleetView.setRoles(this->options.votes, this->options.serves);
    this->fleetView.setRetryBounds(this->options.retrySharePercent, this->options.retrySlack);
    this->declarationKeeper.setRevisionCallback(
        [this](uint64_t revision, const Evacuations &evacuations) {
            this->onRevision(revision, evacuations);
        });
    this->declarationKeeper.setContactCallback([this] { this->fleetView.reportToControl(); });
}

void EntryNode::tick(core::TimePoint now)
{
    if (!this->registered && !this->registering && !this->shuttingDown) {
        this->registerHolder();
    }
    this->manifestKeeper.tick();
    if (this->followsRevision()) {
        this->declarationKeeper.tick(now);
    }
    this->fleetView.tick(now);
    if (this->options.discoversPeers && now - this->lastControlCheck >= ControlCheckInterval) {
        this->lastControlCheck = now;
        std::vector<core::InstanceId> control = this->fleetView.controlInstances(now);
        this->fleetView.setWatchers(control);
        this->chooseWitnessAndLenders(now);
        if (!control.empty()) {
            this->client.setControlInstances(std::move(control));
        }
    }
    this->updateColdKinds();
    const bool canServe
        = this->registered && this->hasConfirmedConfiguration() && !this->shuttingDown;
    if (canServe != this->isServing.exchange(canServe)) {
        this->logger.change(canServe ? "serving" : "not_serving");
    }
    if (now - this->lastGaugeUpdate >= GaugeInterval) {
        this->lastGaugeUpdate = now;
        this->updateGauges();
        this->logFailedMessages();
    }
}

void EntryNode::flush(core::TimePoint now)
{
    this->escrowKeeper.flush(now);
}

void EntryNode::onEnvelope(const proto::Envelope &envelope, core::TimePoint now)
{
    for (const proto::MembershipUpdate &update : envelope.updates()) {
        this->fleetView.onUpdate(update, now);
    }
    for (const proto::MembershipDigest &digest : envelope.digests()) {
        this->fleetView.onDigest(digest, now);
    }
    if (envelope.has_declaration_notice()) {
        this->declarationKeeper.onNotice(envelope.declaration_notice(), now);
    }
    if (envelope.updates_size() > 0) {
        this->manifestKeeper.onVersionSeen(this->fleetView.newestManifestVersion(now));
    }
}

void EntryNode::beginDrain()
{
    this->draining = true;
    this->fleetView.leave();
    this->logger.change("draining");
}

void EntryNode::beginShutdown()
{
    this->shuttingDown = true;
    this->isServing = false;
    this->escrowKeeper.beginShutdown();
}

bool EntryNode::ready() const
{
    return this->isServing && !this->draining;
}

bool EntryNode::serving() const
{
    return this->isServing;
}

bool EntryNode::stopping() const
{
    return this->shuttingDown;
}

ManifestKeeper &EntryNode::manifest()
{
    return this->manifestKeeper;
}

DeclarationKeeper &EntryNode::declaration()
{
    return this->declarationKeeper;
}

EscrowKeeper &EntryNode::escrow()
{
    return this->escrowKeeper;
}

ClaimKeeper &EntryNode::claims()
{
    return this->claimKeeper;
}

FleetView &EntryNode::fleet()
{
    return this->fleetView;
}

void EntryNode::registerHolder()
{
    this->registering = true;
    const proto::Command command
        = this->registration.makeCommand(this->options.holder, this->machineClock.read());
    this->client.submit(command, RegistrationTimeout, [this](const auto &result) {
        this->registering = false;
        this->onRegistered(result);
    });
}

void EntryNode::onRegistered(const absl::StatusOr<proto::CommandResult> &result)
{
    if (!result.ok()) {
        return;
    }
    if (result->error_code() == static_cast<uint32_t>(core::ErrorCode::HolderRetired)) {
        this->renewIncarnation();
        return;
    }
    if (result->error_code() != 0) {
        this->logger.change("registration_refused", {{"error", result->error_message()}});
        return;
    }
    this->registered = true;
    this->escrowKeeper.setRegistered();
    this->logger.change("registered",
                        {{"incarnation", std::to_string(this->options.holder.incarnation)}});
    this->logPredecessor(result->register_holder());
}

void EntryNode::logPredecessor(const proto::RegisterHolderResult &result)
{
    if (!result.predecessor_ended()) {
        return;
    }
    this->logger.change("escrow_set_aside",
                        {{"predecessor", std::to_string(result.predecessor())},
                         {"tokens", std::to_string(result.set_aside_tokens())},
                         {"recorded", std::to_string(result.recorded_tokens())},
                         {"awaits_witness", result.awaits_witness() ? "true" : "false"},
                         {"evidence", std::string(evidenceName(result.evidence()))},
                         {"isolated_at_most_ms", std::to_string(result.isolated_at_most_ms())}});
}

// The clock may have been set back since the previous incarnation started. The current incarnation
// was never registered, so it can be replaced by a higher one.
void EntryNode::renewIncarnation()
{
    this->options.holder.incarnation += IncarnationStep;
    this->registration.restart();
    this->escrowKeeper.setHolder(this->options.holder);
    this->fleetView.setIncarnation(this->options.holder.incarnation);
    this->logger.change("incarnation_renewed",
                        {{"incarnation", std::to_string(this->options.holder.incarnation)}});
}

bool EntryNode::hasConfirmedConfiguration() const
{
    const bool hasManifest
        = this->declarationKeeper.usesDeclarations() || this->manifestKeeper.isConfirmed();
    return hasManifest && (!this->followsRevision() || this->declarationKeeper.isConfirmed());
}

bool EntryNode::followsRevision() const
{
    return this->options.serves || this->declarationKeeper.usesDeclarations();
}

void EntryNode::onDeclaration(const forwarding::Declaration &declaration)
{
    budget::EscrowOptions escrow = escrowOptions(this->options.escrowFlushInterval);
    escrow.horizon = DeclarationEscrowHorizon;
    escrow.exposureLimit = forwarding::MaximumExposure;
    escrow.contactTimeout = DeclarationContactTimeout;
    escrow.refillFraction = DeclarationRefillFraction;
    escrow.minIsolationRate = forwarding::MinimumIsolationTokensPerSecond;
    escrow.retryAfter = DeclarationRetryAfter;
    this->escrowKeeper.setPolicy(escrow, core::Duration::zero());
    this->escrowKeeper.setContactExposure(forwarding::ContactExposure);
    this->fleetView.onDeclaration(declaration, this->clock.now());
}

void EntryNode::onRevision(uint64_t revision, const Evacuations &evacuations)
{
    std::vector<std::string> dataCentres;
    for (const proto::Evacuation &evacuation : evacuations) {
        if (evacuation.evacuated()) {
            dataCentres.push_back(evacuation.data_centre());
        } else if (!this->revisionSeen && hasEndedRecently(evacuation)) {
            // This instance did not see the end, so it must not take the targets for warm.
            this->fleetView.router().assumeCold(evacuation.data_centre(), this->clock.now());
        }
    }
    this->revisionSeen = true;
    this->fleetView.onRevision(revision, std::move(dataCentres), this->clock.now());
}

void EntryNode::onManifest(const manifest::Catalogue &catalogue)
{
    const manifest::EffectivePolicy &policy = catalogue.policy();
    budget::EscrowOptions escrow = escrowOptions(this->options.escrowFlushInterval);
    escrow.horizon = policy.escrowHorizon;
    escrow.exposureLimit = policy.exposure;
    this->escrowKeeper.setPolicy(escrow, policy.outOfContactServe);
    this->fleetView.onManifest(catalogue, this->clock.now());
}

// The witness is the entry instance in contact with the highest rendezvous weight, which spreads
// the witnesses of all holders over the fleet. All entry instances in contact are lenders.
void EntryNode::chooseWitnessAndLenders(core::TimePoint now)
{
    core::HolderId witness;
    uint64_t highestWeight = 0;
    std::vector<core::InstanceId> lenders;
    for (const membership::InstanceView &view : this->fleetView.instances().view(now)) {
        const proto::InstanceRecord &record = view.record;
        if (!record.serves() || record.leaving() || !view.inContact
            || record.id() == this->options.holder.instance.value) {
            continue;
        }
        lenders.emplace_back(record.id());
        const uint64_t weight = core::rendezvousWeight(
            core::checksumOf(this->options.holder.instance.value), core::checksumOf(record.id()));
        if (witness.instance.empty() || weight > highestWeight) {
            witness = {core::InstanceId(record.id()), record.incarnation()};
            highestWeight = weight;
        }
    }
    this->escrowKeeper.setWitness(witness);
    this->escrowKeeper.setLenders(std::move(lenders));
}

void EntryNode::updateColdKinds()
{
    const proto::Declaration *applied = this->client.appliedDeclaration();
    if (applied == nullptr || applied->version() == this->coldKindsVersion) {
        return;
    }
    this->coldKindsVersion = applied->version();
    this->fleetView.setColdKinds(
        {applied->cold_limited_services().begin(), applied->cold_limited_services().end()});
}

void EntryNode::updateGauges()
{
    core::Tokens escrow;
    for (const budget::BudgetShare &share : this->escrowKeeper.escrowBook().shares()) {
        escrow += share.escrow;
    }
    this->counters.set(telemetry::Gauge::EscrowTokens, static_cast<double>(escrow.count));
}

void EntryNode::logFailedMessages()
{
    const double messages = this->counters.total(telemetry::Event::ControlMessagesFailed);
    const double bytes = this->counters.total(telemetry::Event::ControlBytesFailed);
    if (messages <= this->loggedFailedMessages) {
        return;
    }
    this->logger.change("messages_given_up",
                        {{"messages", fmt::format("{:.0f}", messages - this->loggedFailedMessages)},
                         {"bytes", fmt::format("{:.0f}", bytes - this->loggedFailedBytes)}});
    this->loggedFailedMessages = messages;
    this->loggedFailedBytes = bytes;
}

} // namespace samphirebridge::entry
