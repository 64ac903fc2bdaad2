// The load: the whole fleet loses power, and callers come back before the targets have announced
// themselves again.
#include "samphirebridge/control/targetkeeper.h"
#include "samphirebridge/membership/targetdirectory.h"
#include "samphirebridge/storage/memorystorage.h"

#include <catch2/catch.hpp>

using namespace samphirebridge;
using namespace std::chrono_literals;

namespace
{

// The directory of one control instance, without links to others.
class LoneView
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
        this->count(announced->effect);
    }

    void onUpdate(const proto::MembershipUpdate &update, core::TimePoint now)
    {
        this->count(this->directory.merge(update, {}, now));
    }

    void tick(core::TimePoint now)
    {
        this->count(this->directory.tick({}, now));
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

private:
    void count(const membership::DirectoryEffect &effect)
    {
        for (const proto::TargetRecord &record : effect.changed) {
            ++this->changes;
            this->departures += record.state() == proto::READY ? 0 : 1;
        }
    }

    membership::TargetDirectory directory{core::InstanceId("control"), {}};
    uint64_t changes = 0;
    uint64_t departures = 0;
};

using Keeper = control::TargetKeeper<storage::MemoryStorage, LoneView>;

struct Life {
    explicit Life(storage::MemoryStorage &storage)
        : keeper(storage, this->view, this->logger)
    {
    }

    telemetry::Logger logger{"control"};
    LoneView view;
    Keeper keeper;
};

constexpr core::TimePoint Start = core::TimePoint(100s);

} // namespace

TEST_CASE("after a loss of power the targets are known before they announce themselves")
{
    storage::MemoryStorage storage;
    Life before(storage);
    before.view.announce("one", proto::READY, Start);
    before.view.announce("two", proto::READY, Start);
    before.keeper.flush(Start);
    storage.crash();

    Life after(storage);
    after.keeper.restore(Start + 1s);
    REQUIRE(after.view.targets().records().size() == 2);
    CHECK(after.view.targets().find("one")->state() == proto::READY);
    // What they ran is over.
    CHECK_FALSE(after.view.targets().find("one")->has_load());
}

TEST_CASE("a target that does not come back after the loss of power is given up")
{
    storage::MemoryStorage storage;
    Life before(storage);
    before.view.announce("stays", proto::READY, Start);
    before.view.announce("gone", proto::READY, Start);
    before.keeper.flush(Start);

    Life after(storage);
    after.keeper.restore(Start);
    for (int step = 0; step < 20; ++step) {
        const core::TimePoint now = Start + step * 500ms;
        after.view.announce("stays", proto::READY, now);
        after.view.tick(now);
    }
    CHECK(after.view.targets().find("stays")->state() == proto::READY);
    CHECK(after.view.targets().find("gone")->state() == proto::GONE);
}

TEST_CASE("a target that was leaving gets no work after a loss of power")
{
    storage::MemoryStorage storage;
    Life before(storage);
    before.view.announce("leaves", proto::READY, Start);
    before.keeper.flush(Start);
    // Sooner than arrivals would be stored.
    before.view.announce("leaves", proto::LEAVING, Start + 1ms);
    before.keeper.flush(Start + 1ms);
    storage.crash();

    Life after(storage);
    after.keeper.restore(Start + 1s);
    CHECK(after.view.targets().find("leaves")->state() == proto::LEAVING);
    // Not even when a late word of its readiness arrives.
    after.view.announce("leaves", proto::READY, Start + 2s);
    CHECK(after.view.targets().find("leaves")->state() == proto::LEAVING);
}

TEST_CASE("arrivals that follow each other cost one sync, and no change costs none")
{
    storage::MemoryStorage storage;
    Life life(storage);
    for (int number = 0; number < 20; ++number) {
        const core::TimePoint now = Start + number * 10ms;
        life.view.announce("target-" + std::to_string(number), proto::READY, now);
        life.keeper.flush(now);
    }
    CHECK(storage.syncCount() == 1);
    life.keeper.flush(Start + 1s);
    CHECK(storage.syncCount() == 2);
    life.view.announce("target-0", proto::READY, Start + 2s);
    life.keeper.flush(Start + 2s);
    CHECK(storage.syncCount() == 2);
}

TEST_CASE("a damaged list of targets is left out, and a new one replaces it")
{
    storage::MemoryStorage storage;
    Life before(storage);
    before.view.announce("one", proto::READY, Start);
    before.keeper.flush(Start);
    storage.damage("targets", 12);

    Life after(storage);
    after.keeper.restore(Start);
    CHECK(after.view.targets().records().empty());
    after.view.announce("two", proto::READY, Start);
    after.keeper.flush(Start + 1s);
    Life last(storage);
    last.keeper.restore(Start + 1s);
    CHECK(last.view.targets().records().size() == 1);
}
