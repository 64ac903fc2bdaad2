// Simulates how a committed declaration, or a committed evacuation, reaches the entry instances of
// a fleet. Time is virtual, and all random choices come from one seed. A version is a revision
// here.
#pragma once

#include "samphirebridge/control/commitfreshness.h"
#include "samphirebridge/control/declarationsource.h"
#include "samphirebridge/entry/declarationfetch.h"
#include "samphirebridge/entry/noticeschedule.h"
#include "samphirebridge/entry/versionwatch.h"
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
    control::CommitFreshness freshness;
    Trouble trouble = Trouble::None;
    core::TimePoint nextHeartbeat; // When it hears the leader again, unless it is in trouble.
    core::TimePoint lastPublished;
    // Work that waits until the process is no longer frozen.
    std::vector<std::function<void()>> held;
};

struct EntryProcess {
    core::InstanceId id;
    std::unique_ptr<membership::InstanceDirectory> directory;
    std::unique_ptr<DeclarationFetch> fetch;
    std::unique_ptr<VersionWatch> watch;
    std::vector<core::InstanceId> controlInstances;
    uint64_t heldVersion = 0;
    std::string heldContent;
    core::TimePoint lastControlCheck;
    bool isCutOff = false; // No message reaches or leaves the instance.
    core::TimePoint backSince; // When its last isolation ended; unset: it had none.
};

// When a version was acknowledged, and the entry instances in which it, or a newer one, is in
// force.
struct Spread {
    core::TimePoint acknowledged;
    std::set<std::string> inForceAt;
};

// One control instance without trouble leads; elections take no time.
class SpreadFleet
{
public:
    SpreadFleet(size_t controlInstances, size_t entryInstances, uint64_t seed);

    // Advances the time in steps of 10 ms.
    void run(core::Duration time);

    // Commits the next version, which the operator's acknowledgement follows at once. The leader
    // has applied it, and the others without trouble do so at the leader's next heartbeat.
    void commit();

    // Commits an order to evacuate the data centre, or to end that, as the next version. Does
    // nothing if the data centre is in that state.
    void commitEvacuation(const std::string &dataCentre, bool evacuated);

    // Returns how often an entry instance put something else in force than what was committed under
    // that version.
    [[nodiscard]] size_t wrongStates() const;

    // Sets or ends the trouble of a control instance. One that is well again applies what it lacks.
    void setTrouble(size_t control, Trouble trouble);

    // Cuts an entry instance off from all others, or ends that.
    void setCutOff(size_t entry, bool isCutOff);

    // Returns the longest time from an acknowledgement to force at an entry instance. A version
    // that is not in force there yet counts with the time that it waits already. The time of an
    // isolation, and the first of ContactTime after it, do not count: an instance that is back need
    // not be in time before.
    [[nodiscard]] core::Duration longestWait() const;

    // Returns whether every control instance without trouble has the entry instance in contact.
    [[nodiscard]] bool isInContact(size_t entry) const;

    // Returns how many notices were sent.
    [[nodiscard]] size_t notices() const;

    // Returns how many questions for the newest version were sent.
    [[nodiscard]] size_t questions() const;

    core::TimePoint now{std::chrono::hours(1)};
    std::mt19937_64 random;

private:
    void start(size_t controlInstances, size_t entryInstances);
    // Commits a command that makes the next version.
    void commit(const proto::Command &command);
    void apply(ControlProcess &control, uint64_t version);
    // Applies the change to what the entry instance holds.
    void putInForce(EntryProcess &entry, const proto::DeclarationChange &change);
    void hearLeader(ControlProcess &control);
    void stepControl(ControlProcess &control);
    void stepEntry(EntryProcess &entry);
    using OnReply = std::function<void(const absl::StatusOr<proto::FetchDeclarationReply> &)>;
    void sendRequest(EntryProcess &entry,
                     const core::InstanceId &source,
                     const proto::FetchDeclarationRequest &request,
                     OnReply onReply);
    proto::FetchDeclarationReply answer(ControlProcess &control,
                                        const proto::FetchDeclarationRequest &request);
    void sendNextFetch(EntryProcess &entry);
    void sendNextQuestion(EntryProcess &entry);
    void noteVersion(EntryProcess &entry,
                     const core::InstanceId &source,
                     core::TimePoint sentAt,
                     const absl::StatusOr<proto::FetchDeclarationReply> &reply);
    void onFetchReply(EntryProcess &entry,
                      const core::InstanceId &source,
                      const absl::StatusOr<proto::FetchDeclarationReply> &reply);
    // Returns how long the version has been waiting at the instance, see longestWait().
    [[nodiscard]] core::Duration waitOf(const Spread &spread, const EntryProcess &entry) const;
    // Adds the waits of the instance for the versions up to this one to those that are over.
    void endWaits(const EntryProcess &entry, uint64_t version);
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
    std::map<uint64_t, Spread> versions;
    ledger::Ledger reference; // Has applied all that is committed.
    std::vector<proto::Command> commands; // Of each version from 1 on.
    std::vector<proto::Declaration> states; // After each of them.
    uint64_t newestDeclaration = 0;
    size_t wrongStateCount = 0;
    core::Duration longestPastWait{}; // Of waits that force or an isolation has ended.
    uint64_t newestVersion = 0;
    size_t noticeCount = 0;
    size_t questionCount = 0;
};

} // namespace samphirebridge::entry::tests
