// Simulates how a committed declaration reaches the entry instances of a fleet. Time is virtual,
// and all random choices come from one seed.
#pragma once

#include "samphirebridge/control/declarationsource.h"
#include "samphirebridge/entry/declarationfetch.h"
#include "samphirebridge/entry/noticeschedule.h"
#include "samphirebridge/ledger/ledger.h"
#include "samphirebridge/membership/instancedirectory.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace samphirebridge::entry::tests
{

// What is wrong with a control instance.
enum class Trouble : uint8_t {
    None,
    CutFromControl, // Exchanges messages with entry instances only.
    CutNear, // The same, and with a part of them only.
    Frozen, // Its process stands still.
    Full, // Its disk is full: it applies nothing new, but exchanges messages.
};

// A control instance: its ledger holds what it has applied.
struct ControlProcess {
    core::InstanceId id;
    std::unique_ptr<membership::InstanceDirectory> directory;
    std::unique_ptr<NoticeSchedule> schedule;
    ledger::Ledger ledger;
    control::DeclarationSource source;
    uint64_t logIndex = 0;
    Trouble trouble = Trouble::None;
    core::TimePoint lastPublished;
    // Work that waits until the process is no longer frozen.
    std::vector<std::function<void()>> held;
};

struct EntryProcess {
    core::InstanceId id;
    std::unique_ptr<membership::InstanceDirectory> directory;
    std::unique_ptr<DeclarationFetch> fetch;
    std::vector<core::InstanceId> controlInstances;
    uint64_t heldVersion = 0;
    core::TimePoint lastControlCheck;
};

// When a version was acknowledged, and when it, or a newer one, came into force at the last entry
// instance.
struct SpreadTimes {
    core::TimePoint acknowledged;
    std::map<std::string, core::TimePoint> inForce;
};

class SpreadFleet
{
public:
    SpreadFleet(size_t controlInstances, size_t entryInstances, uint64_t seed);

    // Advances the time in steps of 10 ms.
    void run(core::Duration time);

    // Commits the next version, which the operator's acknowledgement follows at once. The control
    // instances without trouble apply it within a heartbeat of the leader.
    void commit();

    // Sets or ends the trouble of a control instance. One that is well again applies what it lacks.
    void setTrouble(size_t control, Trouble trouble);

    // Returns the longest time from an acknowledgement to force at an entry instance. A version
    // that is not in force anywhere yet counts with the time that it waits already.
    [[nodiscard]] core::Duration longestWait() const;

    // Returns how many notices were sent.
    [[nodiscard]] size_t notices() const;

    core::TimePoint now{std::chrono::hours(1)};
    std::mt19937_64 random;

private:
    void start(size_t controlInstances, size_t entryInstances);
    void apply(ControlProcess &control, uint64_t version);
    void applyWithin(ControlProcess &control, uint64_t version, core::Duration longest);
    void stepControl(ControlProcess &control);
    void stepEntry(EntryProcess &entry);
    void sendNextFetch(EntryProcess &entry);
    void onFetchReply(EntryProcess &entry,
                      const absl::StatusOr<proto::FetchDeclarationReply> &reply);
    void sendHeartbeats(const std::string &from, const std::vector<membership::Outgoing> &outgoing);
    void onHeartbeat(const std::string &to, const proto::MembershipUpdate &update);
    [[nodiscard]] bool isBlocked(const std::string &from, const std::string &to) const;
    [[nodiscard]] ControlProcess *findControl(const std::string &id);
    [[nodiscard]] EntryProcess *findEntry(const std::string &id);
    // Runs the work on the instance after the latency of a message, unless the path is blocked.
    void send(const std::string &from, const std::string &to, std::function<void()> work);
    void runOn(const std::string &instance, std::function<void()> work);
    void at(core::TimePoint time, std::function<void()> work);
    [[nodiscard]] core::Duration randomUpTo(core::Duration longest);

    std::vector<std::unique_ptr<ControlProcess>> controls;
    std::vector<std::unique_ptr<EntryProcess>> entries;
    // The entry instances that a control instance with CutNear does not reach.
    std::set<std::pair<std::string, std::string>> unreachable;
    std::multimap<core::TimePoint, std::function<void()>> queue;
    std::map<uint64_t, SpreadTimes> versions;
    uint64_t newestVersion = 0;
    size_t noticeCount = 0;
};

} // namespace samphirebridge::entry::tests
