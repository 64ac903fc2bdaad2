// All instances of the fleet lose power, and callers return before the targets have announced
// themselves again.
#include "samphirebridge/control/targetkeeper.h"
#include "samphirebridge/membership/crashdirectory.h"
#include "samphirebridge/membership/targetdirectory.h"
#include "samphirebridge/storage/memorystorage.h"

#include <catch2/catch.hpp>

using namespace samphirebridge;
using namespace std::chrono_literals;

namespace
{

// The target directory of one control instance without peers.
class SingleInstanceView
{
public:
    void announce(const std::string &id, proto::TargetState state, core::TimePoint now)
    {
        proto::TargetRecord record;
        record.set_id(id);
        record.set_incarnation(1);
        record.set_address("10.0.0.1:80");
        record.set_kind("chat");
        record.set_data_centre("a");
        record.set_state(state);
        record.mutable_load()->set_running(7);
        const auto announced = this->directory.announce(record, {}, now);
        REQUIRE(announced.ok());
        this->countChanges(announced->effect);
    }

    void onUpdate(const proto::MembershipUpdate &update, core::TimePoint now)
    {
        this->countChanges(this->directory.merge(update, {}, now));
        std::vector<membership::Outgoing> relayed;
        this->crashes.merge(update, {}, now, relayed);
    }

    void tick(core::TimePoint now)
    {
        this->countChanges(this->directory.tick({}, now));
    }

    [[nodiscard]] const membership::TargetDirectory &targets() const
    {
        return this->directory;
    }
    [[nodiscard]] uint64_t targetChanges() const
    {
        return this->changes;
    }
    [[nodiscard]] uint64_t targetDepartures() const
    {
        return this->departures;
    }

    [[nodiscard]] std::vector<proto::CrashReport> partReports(core::TimePoint now) const
    {
        return this->crashes.partReports(now);
    }
    [[nodiscard]] uint64_t partReportChanges() const
    {
        return this->crashes.partChanges();
    }

private:
    void countChanges(const membership::DirectoryEffect &effect)
    {
        for (const proto::TargetRecord &record : effect.changed) {
            ++this->changes;
            this->departures += record.state() == proto::READY ? 0 : 1;
        }
    }

    membership::TargetDirectory directory{core::InstanceId("control"), {}};
    membership::CrashDirectory crashes{core::InstanceId("control"), {}};
    uint64_t changes = 0;
    uint64_t departures = 0;
};

using Keeper = control::TargetKeeper<storage::MemoryStorage, SingleInstanceView>;

struct ControlProcess {
    explicit ControlProcess(storage::MemoryStorage &storage)
        : keeper(storage, this->view, this->logger)
    {
    }

    telemetry::Logger logger{"control"};
    SingleInstanceView view;
    Keeper keeper;
};

constexpr core::TimePoint Start = core::TimePoint(100s);

} // namespace

TEST_CASE("after a power loss the targets are known before they announce themselves")
{
    storage::MemoryStorage storage;
    ControlProcess before(storage);
    before.view.announce("one", proto::READY, Start);
    before.view.announce("two", proto::READY, Start);
    before.keeper.flush(Start);
    storage.crash();

    ControlProcess after(storage);
    after.keeper.restore(Start + 1s);
    REQUIRE(after.view.targets().records().size() == 2);
    CHECK(after.view.targets().find("one")->state() == proto::READY);
    // The load from before the power loss is not restored.
    CHECK_FALSE(after.view.targets().find("one")->has_load());
}

// Guards against a fleet that lost power and lets a part of prompts crash as many targets again.
TEST_CASE("the evidence of a harmful prompt part outlasts a power loss")
{
    storage::MemoryStorage storage;
    ControlProcess before(storage);
    before.keeper.flush(Start);
    proto::MembershipUpdate update;
    proto::CrashReport &report = *update.add_crashes();
    report.set_fingerprint(std::string(16, 'p'));
    report.set_target("ended");
    report.set_target_incarnation(1);
    report.set_finding(proto::TARGET_CRASHED);
    report.set_subject(proto::PROMPT_PART);
    report.set_request(5);
    before.view.onUpdate(update, Start);
    before.keeper.flush(Start + 1s);
    storage.crash();

    ControlProcess after(storage);
    after.keeper.restore(Start + 2s);
    const auto restored = after.view.partReports(Start + 2s);
    REQUIRE(restored.size() == 1);
    CHECK(restored.front().target() == "ended");
    CHECK(restored.front().finding() == proto::TARGET_CRASHED);
    CHECK(restored.front().request() == 5);
}

TEST_CASE("a restored target that does not announce itself again is declared gone")
{
    storage::MemoryStorage storage;
    ControlProcess before(storage);
    before.view.announce("stays", proto::READY, Start);
    before.view.announce("gone", proto::READY, Start);
    before.keeper.flush(Start);

    ControlProcess after(storage);
    after.keeper.restore(Start);
    for (int step = 0; step < 20; ++step) {
        const core::TimePoint now = Start + step * 500ms;
        after.view.announce("stays", proto::READY, now);
        after.view.tick(now);
    }
    CHECK(after.view.targets().find("stays")->state() == proto::READY);
    CHECK(after.view.targets().find("gone")->state() == proto::GONE);
}

TEST_CASE("a target that was leaving is still leaving after a power loss")
{
    storage::MemoryStorage storage;
    ControlProcess before(storage);
    before.view.announce("leaves", proto::READY, Start);
    before.keeper.flush(Start);
    // Within the save interval: only departures are stored this soon.
    before.view.announce("leaves", proto::LEAVING, Start + 1ms);
    before.keeper.flush(Start + 1ms);
    storage.crash();

    ControlProcess after(storage);
    after.keeper.restore(Start + 1s);
    CHECK(after.view.targets().find("leaves")->state() == proto::LEAVING);
    // A late announcement as ready does not change that.
    after.view.announce("leaves", proto::READY, Start + 2s);
    CHECK(after.view.targets().find("leaves")->state() == proto::LEAVING);
}

// A departure that a full disk refused was not stored before the next change of a target.
TEST_CASE("a departure that a full disk refused is stored once it has room")
{
    storage::MemoryStorage storage;
    ControlProcess before(storage);
    before.view.announce("leaves", proto::READY, Start);
    before.keeper.flush(Start);
    before.view.announce("leaves", proto::LEAVING, Start + 1s);
    storage.fillAfter(0);
    before.keeper.flush(Start + 1s);
    storage.makeRoom();
    before.keeper.flush(Start + 2s);
    const uint64_t syncs = storage.syncCount();
    before.keeper.flush(Start + 3s);
    CHECK(storage.syncCount() == syncs);
    storage.crash();

    ControlProcess after(storage);
    after.keeper.restore(Start + 4s);
    CHECK(after.view.targets().find("leaves")->state() == proto::LEAVING);
}

TEST_CASE("arrivals within the save interval cost one sync, and unchanged targets cost none")
{
    storage::MemoryStorage storage;
    ControlProcess process(storage);
    for (int number = 0; number < 20; ++number) {
        const core::TimePoint now = Start + number * 10ms;
        process.view.announce("target-" + std::to_string(number), proto::READY, now);
        process.keeper.flush(now);
    }
    CHECK(storage.syncCount() == 1);
    process.keeper.flush(Start + 1s);
    CHECK(storage.syncCount() == 2);
    process.view.announce("target-0", proto::READY, Start + 2s);
    process.keeper.flush(Start + 2s);
    CHECK(storage.syncCount() == 2);
}

TEST_CASE("a damaged list of targets is ignored, and the next save replaces it")
{
    storage::MemoryStorage storage;
    ControlProcess before(storage);
    before.view.announce("one", proto::READY, Start);
    before.keeper.flush(Start);
    storage.damage("targets", 12);

    ControlProcess after(storage);
    after.keeper.restore(Start);
    CHECK(after.view.targets().records().empty());
    after.view.announce("two", proto::READY, Start);
    after.keeper.flush(Start + 1s);
    ControlProcess last(storage);
    last.keeper.restore(Start + 1s);
    CHECK(last.view.targets().records().size() == 1);
}
