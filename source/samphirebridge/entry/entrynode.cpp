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

// The time that one registration may take before it is tried anew.
constexpr core::Duration RegistrationTimeout = std::chrono::seconds(3);

// The time between two readings of the gauges.
constexpr core::Duration LevelsInterval = std::chrono::seconds(1);

// The time between two looks at who the control instances are.
constexpr core::Duration ControlCheckInterval = std::chrono::milliseconds(500);

// How far a life is moved ahead of one that the ledger holds for older than another. The clock that
// numbers lives may have been set back by more than the process was down.
constexpr core::Incarnation IncarnationStep = 10'000;

// The demand that escrow covers under a declaration: an instance must serve through the time that
// it may be cut off from the ledger.
constexpr core::Duration DeclarationEscrowHorizon = std::chrono::seconds(9);

// Escrow is topped up early, since a cut may come at any moment.
constexpr double DeclarationRefillPart = 0.8;

// What a caller is told whose request neither this instance's escrow nor a loan covers: by then
// other requests were settled, or a cut is over.
constexpr core::Duration DeclarationRetryAfter = std::chrono::milliseconds(1000);

// Without an answer of the ledger for this long, a request that the escrow does not cover is
// refused at once under a declaration.
constexpr core::Duration DeclarationContactTimeout = std::chrono::milliseconds(600);

membership::MembershipOptions membershipOptions(const EntryOptions &options)
{
    membership::MembershipOptions membership;
    if (options.discovers) {
        membership.introducePeers = true;
        membership.directPeers = 16;
        membership.keepSilentInstance = std::chrono::seconds(60);
    }
    return membership;
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
                this->options.dataCentre,
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
}

void EntryNode::tick(core::TimePoint now)
{
    if (!this->registered && !this->registering && !this->shuttingDown) {
        this->registerHolder();
    }
    this->manifestKeeper.tick();
    this->declarationKeeper.tick(now);
    this->fleetView.tick(now);
    if (this->options.discovers && now - this->lastControlCheck >= ControlCheckInterval) {
        this->lastControlCheck = now;
        std::vector<core::InstanceId> control = this->fleetView.controlInstances(now);
        this->fleetView.setWatchers(control);
        this->chooseWitness(now);
        if (!control.empty()) {
            this->client.setControlInstances(std::move(control));
        }
    }
    const bool nowServing = this->registered && this->isConfigured() && !this->shuttingDown;
    if (nowServing != this->isServing.exchange(nowServing)) {
        this->logger.change(nowServing ? "serving" : "not_serving");
    }
    if (now - this->lastLevels >= LevelsInterval) {
        this->lastLevels = now;
        this->updateLevels();
        this->reportFailedMessages();
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
        this->manifestKeeper.onVersionSeen(this->fleetView.newestVersion(now));
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
        = this->registration.command(this->options.holder, this->machineClock.read());
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

// The clock may have been set back since the life before this one began. Nothing was done under
// the present number yet, so a higher one may take its place.
void EntryNode::renewIncarnation()
{
    this->options.holder.incarnation += IncarnationStep;
    this->registration.restart();
    this->escrowKeeper.setHolder(this->options.holder);
    this->fleetView.setIncarnation(this->options.holder.incarnation);
    this->logger.change("incarnation_renewed",
                        {{"incarnation", std::to_string(this->options.holder.incarnation)}});
}

bool EntryNode::isConfigured() const
{
    return this->declarationKeeper.obeysDeclarations() ? this->declarationKeeper.confirmed()
                                                       : this->manifestKeeper.confirmed();
}

void EntryNode::onDeclaration(const forwarding::Declaration &declaration)
{
    budget::EscrowOptions escrow = escrowOptions(this->options.escrowFlushInterval);
    escrow.horizon = DeclarationEscrowHorizon;
    escrow.exposureLimit = forwarding::MaximumExposure;
    escrow.contactTimeout = DeclarationContactTimeout;
    escrow.refillFraction = DeclarationRefillPart;
    escrow.minIsolationRate = forwarding::MinimumIsolationTokensPerSecond;
    escrow.retryAfter = DeclarationRetryAfter;
    this->escrowKeeper.setPolicy(escrow, core::Duration::zero());
    this->escrowKeeper.setContactExposure(forwarding::ContactExposure);
    this->fleetView.onDeclaration(declaration, this->clock.now());
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

// The witness is the entry instance in contact with the highest rendezvous weight, so that the
// holders' witnesses are spread over the fleet.
void EntryNode::chooseWitness(core::TimePoint now)
{
    core::HolderId chosen;
    uint64_t heaviest = 0;
    std::vector<core::InstanceId> others;
    for (const membership::InstanceView &view : this->fleetView.instances().view(now)) {
        const proto::InstanceRecord &record = view.record;
        if (!record.serves() || record.leaving() || !view.inContact
            || record.id() == this->options.holder.instance.value) {
            continue;
        }
        others.emplace_back(record.id());
        const uint64_t weight = core::rendezvousWeight(
            core::checksumOf(this->options.holder.instance.value), core::checksumOf(record.id()));
        if (chosen.instance.empty() || weight > heaviest) {
            chosen = {core::InstanceId(record.id()), record.incarnation()};
            heaviest = weight;
        }
    }
    this->escrowKeeper.setWitness(chosen);
    this->escrowKeeper.setLenders(std::move(others));
}

void EntryNode::updateLevels()
{
    core::Tokens escrow;
    for (const budget::BudgetShare &share : this->escrowKeeper.state().shares()) {
        escrow += share.escrow;
    }
    this->counters.set(telemetry::Level::EscrowTokens, static_cast<double>(escrow.count));
}

void EntryNode::reportFailedMessages()
{
    const double messages = this->counters.total(telemetry::Event::ControlMessagesFailed);
    const double bytes = this->counters.total(telemetry::Event::ControlBytesFailed);
    if (messages <= this->reportedFailures) {
        return;
    }
    this->logger.change("messages_given_up",
                        {{"messages", fmt::format("{:.0f}", messages - this->reportedFailures)},
                         {"bytes", fmt::format("{:.0f}", bytes - this->reportedFailedBytes)}});
    this->reportedFailures = messages;
    this->reportedFailedBytes = bytes;
}

} // namespace samphirebridge::entry
