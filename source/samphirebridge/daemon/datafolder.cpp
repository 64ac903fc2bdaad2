#include "samphirebridge/daemon/datafolder.h"

#include "samphirebridge/consensus/durablenode.h"
#include "samphirebridge/core/errors.h"
#include "samphirebridge/storage/memberidentity.h"

#include <algorithm>
#include <random>
#include <string>
#include <vector>

namespace samphirebridge::daemon
{

namespace
{

// The generation in the member names of a fleet's first voters.
constexpr uint64_t FirstGeneration = 0;

// Returns a random generation, so that an instance that loses its disk repeatedly never reuses one.
uint64_t newGeneration()
{
    std::random_device device;
    std::uniform_int_distribution<uint64_t> distribution(1);
    return distribution(device);
}

// Returns the member names of a new fleet's first voters: the seeds, if instances are discovered,
// and all peers with the role control.
std::vector<std::string> firstVoters(const settings::Settings &settings)
{
    std::vector<std::string> voters;
    if (settings.discovery) {
        for (const settings::Address &seed : settings.discovery->seeds) {
            voters.push_back(storage::memberName(settings::formatAddress(seed), FirstGeneration));
        }
    }
    for (const settings::Peer &peer : settings.peers) {
        if (peer.roles.control) {
            voters.push_back(storage::memberName(peer.id.value, FirstGeneration));
        }
    }
    return voters;
}

// Returns whether the settings make this instance one of the first voters of a new fleet.
bool foundsFleet(const settings::Settings &settings)
{
    if (!settings.discovery || !settings.discovery->foundsFleet) {
        return false;
    }
    const std::vector<settings::Address> &seeds = settings.discovery->seeds;
    return std::any_of(seeds.begin(), seeds.end(), [&settings](const settings::Address &seed) {
        return settings::formatAddress(seed) == settings.instance.value;
    });
}

absl::StatusOr<storage::FileStorage> openStorage(const settings::Settings &settings)
{
    const settings::FaultInjectionSettings &faults = settings.faultInjection;
    return storage::FileStorage::open(
        settings.dataFolder,
        {.losesUnsynced = faults.losesUnsynced, .syncDelay = faults.syncDelay});
}

} // namespace

absl::Status initialiseDataFolder(const settings::Settings &settings)
{
    if (!settings.roles.control) {
        return core::makeError(
            core::ErrorCode::InvalidSettings,
            "found an instance without the role control; --initialise is for control instances");
    }
    auto storage = openStorage(settings);
    if (!storage.ok()) {
        return storage.status();
    }
    const std::vector<std::string> voters = firstVoters(settings);
    return consensus::initialise(
        *storage, voters, storage::memberName(settings.instance.value, FirstGeneration));
}

absl::StatusOr<storage::FileStorage> openDataFolder(const settings::Settings &settings)
{
    auto storage = openStorage(settings);
    if (!storage.ok()) {
        return storage.status();
    }
    const auto initialised = consensus::isInitialised(*storage);
    if (!initialised.ok()) {
        return initialised.status();
    }
    if (!*initialised && foundsFleet(settings)) {
        const std::vector<std::string> voters = firstVoters(settings);
        const absl::Status status = consensus::initialise(
            *storage, voters, storage::memberName(settings.instance.value, FirstGeneration));
        if (!status.ok()) {
            return status;
        }
        return storage;
    }
    if (!*initialised) {
        const absl::Status status = consensus::initialiseJoining(
            *storage, storage::memberName(settings.instance.value, newGeneration()));
        if (!status.ok()) {
            return status;
        }
    }
    return storage;
}

} // namespace samphirebridge::daemon
