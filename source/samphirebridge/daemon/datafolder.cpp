#include "samphirebridge/daemon/datafolder.h"

#include "samphirebridge/consensus/durablenode.h"
#include "samphirebridge/core/errors.h"
#include "samphirebridge/storage/memberidentity.h"

#include <random>
#include <string>
#include <vector>

namespace samphirebridge::daemon
{

namespace
{

// The generation of a fleet's first voters.
constexpr uint64_t FirstGeneration = 0;

// Later generations are random, so that no two lives of a disk share one.
uint64_t newGeneration()
{
    std::random_device device;
    std::uniform_int_distribution<uint64_t> distribution(1);
    return distribution(device);
}

} // namespace

absl::Status initialiseFolder(const settings::Settings &settings)
{
    if (!settings.roles.control) {
        return core::makeError(core::ErrorCode::InvalidSettings,
                               "found no role control; --initialise is for control instances");
    }
    auto storage = storage::FileStorage::open(settings.dataFolder);
    if (!storage.ok()) {
        return storage.status();
    }
    std::vector<std::string> voters;
    for (const settings::Peer &peer : settings.peers) {
        if (peer.roles.control) {
            voters.push_back(storage::memberName(peer.id.value, FirstGeneration));
        }
    }
    return consensus::initialise(
        *storage, voters, storage::memberName(settings.instance.value, FirstGeneration));
}

absl::StatusOr<storage::FileStorage> openFolder(const settings::Settings &settings)
{
    auto storage = storage::FileStorage::open(settings.dataFolder);
    if (!storage.ok()) {
        return storage.status();
    }
    const auto initialised = consensus::isInitialised(*storage);
    if (!initialised.ok()) {
        return initialised.status();
    }
    if (!*initialised) {
        const absl::Status joining = consensus::initialiseJoining(
            *storage, storage::memberName(settings.instance.value, newGeneration()));
        if (!joining.ok()) {
            return joining;
        }
    }
    return storage;
}

} // namespace samphirebridge::daemon
