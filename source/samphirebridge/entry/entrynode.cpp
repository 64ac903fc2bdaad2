#include "samphirebridge/entry/entrynode.h"

#include "samphirebridge/core/errors.h"

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

budget::EscrowOptions escrowOptions(core::Duration flushInterval)
{
    budget::EscrowOptions options;
    options.flushInterval = flushInterval;
    return options;
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
{
}

void EntryNode::tick(core::TimePoint now)
{
    if (!this->registered && !this->registering && !this->shuttingDown) {
        this->registerHolder();
    }
    this->manifestKeeper.tick();
    this->fleetView.tick(now);
    const bool nowServing
        = this->registered && this->manifestKeeper.confirmed() && !this->shuttingDown;
    if (nowServing != this->isServing.exchange(nowServing)) {
        this->logger.change(nowServing ? "serving" : "not_serving");
    }
    if (now - this->lastLevels >= LevelsInterval) {
        this->lastLevels = now;
        this->updateLevels();
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
    proto::Command command;
    proto::Holder *holder = command.mutable_register_holder()->mutable_holder();
    holder->set_instance(this->options.holder.instance.value);
    holder->set_incarnation(this->options.holder.incarnation);
    this->client.submit(command, RegistrationTimeout, [this](const auto &result) {
        this->registering = false;
        if (!result.ok()) {
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
    });
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

void EntryNode::updateLevels()
{
    core::Tokens escrow;
    for (const budget::BudgetShare &share : this->escrowKeeper.state().shares()) {
        escrow += share.escrow;
    }
    this->counters.set(telemetry::Level::EscrowTokens, static_cast<double>(escrow.count));
}

} // namespace samphirebridge::entry
