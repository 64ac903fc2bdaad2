#include "utilities/soak/round.h"

#include "tests/support/fleet.h"
#include "utilities/soak/caller.h"
#include "utilities/soak/injector.h"
#include "utilities/soak/observer.h"
#include "utilities/soak/operators.h"

#include <absl/cleanup/cleanup.h>
#include <fmt/format.h>

#include <atomic>
#include <fstream>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>

namespace samphirebridge::soak
{

namespace
{

constexpr int ShutdownGraceMs = 30'000; // Longer than any call.
constexpr int64_t DepartureSlackMs = 4'000; // A departure takes effect everywhere within this time.

// Makes control instances lose unsynced writes when they end; some rounds also have slow disks.
std::string storageSettings(uint64_t seed)
{
    constexpr uint64_t SlowDiskInterval = 4; // One of this many rounds has slow disks.
    constexpr int SlowSyncMs = 20;
    const int delayMs = seed % SlowDiskInterval == 0 ? SlowSyncMs : 0;
    return fmt::format("fault_injection: {{lose_unsynced: true, sync_delay_ms: {}}}\n", delayMs);
}

// The components of a round that is being played.
class Round
{
public:
    explicit Round(const RoundSettings &settings)
        : settings(settings)
        , fleet({.basePort = settings.basePort,
                 .instances = settings.shape.instances,
                 .controlInstances = settings.shape.controlInstances,
                 .relays = true,
                 .shutdownGraceMs = ShutdownGraceMs,
                 .additionalSettings = storageSettings(settings.seed)})
        , witness(PaymentPrice)
        , injector(this->fleet, settings.shape, settings.basePort)
        , operators(this->fleet, settings.shape, this->witness)
        , observer(this->fleet, settings.shape, this->injector, this->operators, this->witness)
        , callLog(this->fleet.folder() / "calls.jsonl")
    {
        for (int index = 0; index < settings.shape.instances; ++index) {
            this->callerSettings.urls.push_back(this->fleet.httpUrl(index));
        }
        this->callerSettings.chatKey = testing::CallerKeyA;
        this->callerSettings.paymentKey = testing::CallerKeyB;
    }

    RoundResult play()
    {
        try {
            this->start();
            this->playFaults();
            this->recover();
            this->check();
        } catch (const std::runtime_error &error) {
            this->witness.addViolation(error.what());
        }
        for (const std::string &failure : this->injector.failures()) {
            this->witness.addViolation(failure);
        }
        RoundResult result{this->witness.violations(), this->witness.summary()};
        if (!result.violations.empty() && !this->settings.keep.empty()) {
            this->copyFailedRound(result);
        }
        return result;
    }

private:
    void start()
    {
        this->fleet.start();
        for (int index = 0; index < this->settings.shape.instances; ++index) {
            this->fleet.waitUntilReady(index);
        }
        this->operators.applyFirstManifest();
        for (int index = 0; index < this->settings.shape.targets(); ++index) {
            this->injector.startTarget(index);
        }
        for (int index = 0; index < this->settings.shape.instances; ++index) {
            this->fleet.waitForTargets(index, this->settings.shape.targets());
        }
    }

    void playFaults()
    {
        std::atomic<bool> stopping = false;
        std::jthread observerThread([this] { this->observer.run(this->stopObserver); });
        const absl::Cleanup endObserver([this] { this->stopObserver = true; });
        std::vector<std::jthread> threads;
        const absl::Cleanup stop([&stopping] { stopping = true; });
        for (int number = 0; number < this->settings.shape.callers; ++number) {
            threads.emplace_back([this, number, &stopping] {
                const uint64_t seed
                    = this->settings.seed * CallerSeedStride + static_cast<uint64_t>(number);
                Caller caller(this->callerSettings,
                              fmt::format("s{}-c{}", this->settings.seed, number),
                              seed,
                              [this](const Call &call) { this->recordCall(call); });
                caller.run(stopping);
            });
        }
        threads.emplace_back([this, &stopping] { this->operators.run(stopping); });
        for (int index = 0; index < this->settings.shape.controlInstances; ++index) {
            threads.emplace_back(
                [this, index, &stopping] { this->operators.checkVersions(index, stopping); });
        }
        this->injector.run(this->settings.faults);
    }

    // Waits until every instance serves all kinds of calls with the newest manifest.
    void recover()
    {
        const Shape &shape = this->settings.shape;
        int64_t version = 0;
        for (int index = 0; index < shape.instances; ++index) {
            this->fleet.waitUntilReady(index);
        }
        this->operators.raisePurchases();
        testing::Fleet::waitFor("a last manifest is accepted", [&] {
            version = this->operators.currentVersion(0).value_or(version) + 1;
            return this->operators.changeManifest(0, version, fmt::format("last-{}", version));
        });
        for (int index = 0; index < shape.instances; ++index) {
            testing::Fleet::waitFor(
                fmt::format("instance {} has version {} in force", index, version), [&] {
                    const double inForce
                        = this->fleet.metric(index, "samphirebridge_manifest_version");
                    return inForce >= static_cast<double>(version);
                });
            for (const CallKind kind : {CallKind::Stream, CallKind::Whole, CallKind::Payment}) {
                this->waitUntilServed(index, kind);
            }
        }
    }

    void waitUntilServed(int index, CallKind kind)
    {
        http::Client client;
        int attempt = 0;
        testing::Fleet::waitFor(
            fmt::format("instance {} serves call kind {}", index, static_cast<int>(kind)), [&] {
                const std::string name = fmt::format("s{}-last-{}-{}-{}",
                                                     this->settings.seed,
                                                     index,
                                                     static_cast<int>(kind),
                                                     ++attempt);
                const CallSpec spec{.kind = kind, .name = name, .tokens = 3, .instance = index};
                const Call call = performCall(client, this->callerSettings, spec);
                this->recordCall(call);
                return call.end == CallEnd::Answered;
            });
    }

    void check()
    {
        const auto state = [this](const std::string &id) {
            const nlohmann::json budget = this->fleet.readBudget(0, id);
            return BudgetState{budget.at("purchased_tokens"),
                               budget.at("billed_tokens"),
                               budget.at("escrow_tokens"),
                               budget.at("quarantined_tokens"),
                               budget.at("pool_tokens")};
        };
        std::optional<std::string> unaccounted;
        try {
            testing::Fleet::waitFor("the ledger accounts for what was served", [&] {
                this->observer.readRunLogs();
                unaccounted = this->witness.describeUnaccounted(state("letters"), state("fees"));
                return !unaccounted;
            });
        } catch (const testing::FleetError &error) {
            this->witness.addViolation(unaccounted.value_or(error.what()));
        }
        this->witness.checkBilling(state("letters"), state("fees"));
        const Purchase purchase = this->operators.purchaseAt(this->operators.highestConfirmed());
        this->witness.checkPurchase(state("letters"), purchase.chatTokens);
        this->witness.checkPurchase(state("fees"), purchase.paymentTokens);
        this->witness.checkRuns();
        for (const Shutdown &shutdown : this->injector.shutdowns()) {
            this->witness.checkShutdown(shutdown);
        }
        for (const Departure &departure : this->injector.departures()) {
            this->witness.checkDeparture(departure, DepartureSlackMs);
        }
    }

    void recordCall(const Call &call)
    {
        this->witness.addCall(call);
        const std::lock_guard lock(this->callLogMutex);
        this->callLog << toJson(call).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)
                      << '\n';
    }

    void copyFailedRound(const RoundResult &result)
    {
        this->callLog.flush();
        std::ofstream report(this->fleet.folder() / "round.case");
        for (const std::string &violation : result.violations) {
            report << "# " << violation << '\n';
        }
        report << "seed " << this->settings.seed << '\n';
        for (const Fault &fault : this->settings.faults) {
            report << describe(fault) << '\n';
        }
        report.close();
        const auto kept = this->settings.keep / fmt::format("seed-{}", this->settings.seed);
        std::filesystem::create_directories(kept);
        std::filesystem::copy(this->fleet.folder(),
                              kept,
                              std::filesystem::copy_options::recursive
                                  | std::filesystem::copy_options::overwrite_existing);
    }

    // Keeps the seeds of the callers of different rounds apart.
    static constexpr uint64_t CallerSeedStride = 1'000;

    RoundSettings settings;
    testing::Fleet fleet;
    Witness witness;
    Injector injector;
    Operators operators;
    Observer observer;
    CallerSettings callerSettings;
    std::mutex callLogMutex;
    std::ofstream callLog;
    std::atomic<bool> stopObserver = false;
};

} // namespace

RoundResult playRound(const RoundSettings &settings)
{
    Round round(settings);
    return round.play();
}

} // namespace samphirebridge::soak
