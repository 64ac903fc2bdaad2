// Tests which instances are counted for the limits of cold targets, and when an instance may use
// its share.
#include "samphirebridge/membership/allotmentmembers.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace samphirebridge;
using namespace std::chrono_literals;
using membership::AllotmentMembers;
using membership::ShareState;

namespace
{

// One instance, "self", and what it hears of the others.
class Instance
{
public:
    explicit Instance(membership::MembershipOptions options = discovering())
        : directory(core::InstanceId("self"), 1, options)
        , members(core::InstanceId("self"), options)
    {
        this->directory.setRoles(false, true);
    }

    static membership::MembershipOptions discovering()
    {
        membership::MembershipOptions options;
        options.discoverPeers = true;
        options.silentInstanceRetention = 60s;
        return options;
    }

    void hear(const std::string &id, bool votes, bool leaving = false)
    {
        proto::MembershipUpdate update;
        proto::InstanceRecord &record = *update.add_instances();
        record.set_id(id);
        record.set_incarnation(1);
        record.set_heartbeat(++this->heartbeat);
        record.set_votes(votes);
        record.set_serves(!votes);
        record.set_leaving(leaving);
        this->directory.merge(update, this->now);
    }

    // Lets the time pass while the given instances are heard of every second.
    void run(core::Duration duration, const std::vector<std::string> &heard)
    {
        const core::TimePoint end = this->now + duration;
        while (this->now < end) {
            if (this->now.time_since_epoch() % 1s == 0s) {
                for (const std::string &id : heard) {
                    this->hear(id, id.front() == 'c');
                }
            }
            this->now += 100ms;
            this->step();
        }
    }

    void step()
    {
        this->directory.tick(this->now);
        this->members.onRunning(this->now, this->now + this->suspendedFor);
        this->members.update(this->directory, this->now);
    }

    [[nodiscard]] ShareState state() const
    {
        return this->members.state();
    }

    [[nodiscard]] double part() const
    {
        return this->members.part();
    }

    [[nodiscard]] size_t count() const
    {
        return this->members.members().size();
    }

    core::TimePoint now = core::TimePoint(100s);
    core::Duration suspendedFor{}; // The boot clock is ahead by it.
    membership::InstanceDirectory directory;

private:
    AllotmentMembers members;
    uint64_t heartbeat = 0;
};

const std::vector<std::string> Fleet{"c1", "c2", "c3", "e1", "e2"};

} // namespace

TEST_CASE("an instance may use its share once its record has had time to reach every other one")
{
    Instance instance;
    instance.run(10s, {});
    CHECK(instance.state() == ShareState::Starting); // It knows nobody.
    instance.run(3s, Fleet);
    CHECK(instance.state() == ShareState::Starting);
    instance.run(300ms, Fleet);
    CHECK(instance.state() == ShareState::Ready);
    CHECK(instance.count() == 3); // Those that vote only send nothing to targets.
    // An instance that was isolated before the start may use its share for 30 s still.
    CHECK(instance.part() == 0.5);
    instance.run(28s, Fleet);
    CHECK(instance.part() == 1);
}

TEST_CASE("an instance gives up its share half a retention before the others stop counting it")
{
    Instance instance;
    instance.run(10s, Fleet);
    REQUIRE(instance.state() == ShareState::Ready);
    instance.run(29s, {"c1", "e1"});
    CHECK(instance.state() == ShareState::Ready);
    instance.run(3s, {"c1", "e1"});
    CHECK(instance.state() == ShareState::Isolated);
    CHECK(instance.count() == 3);
    // Guards against a minority that takes itself for the whole once the others are forgotten.
    instance.run(300s, {"c1", "e1"});
    CHECK(instance.state() == ShareState::Isolated);
    // Guards against the use of a list that is not complete yet after the isolation.
    instance.run(2s, Fleet);
    CHECK(instance.state() == ShareState::Isolated);
    instance.run(2s, Fleet);
    CHECK(instance.state() == ShareState::Ready);
}

TEST_CASE("a silent instance is counted until the others have forgotten it, a leaving one for 2 s")
{
    Instance instance;
    instance.run(10s, Fleet);
    instance.run(55s, {"c1", "c2", "c3", "e1"});
    CHECK(instance.count() == 3);
    instance.run(10s, {"c1", "c2", "c3", "e1"});
    CHECK(instance.count() == 2);
    instance.hear("e1", false, true);
    instance.run(1900ms, {"c1", "c2", "c3"});
    CHECK(instance.count() == 2);
    instance.run(200ms, {"c1", "c2", "c3"});
    CHECK(instance.count() == 1);
}

// Guards against records from before a partition, which are still relayed once within it.
TEST_CASE("an instance that starts must hear from a majority for as long as it settles")
{
    Instance instance;
    instance.run(1s, Fleet);
    instance.run(20s, {"c1", "e1"});
    CHECK(instance.state() == ShareState::Starting);
}

// Guards against a share that is too large because an instance of the settings is still unheard of.
TEST_CASE("a seed that was never heard of counts as an entry instance and as a voting one")
{
    Instance instance;
    const std::vector<core::InstanceId> seeds{core::InstanceId("c1"), core::InstanceId("c2")};
    instance.directory.addSeeds(seeds);
    instance.run(10s, {"c1"});
    CHECK(instance.count() == 2);
    CHECK(instance.state() == ShareState::Starting);
    instance.run(4s, {"c1", "c2"});
    CHECK(instance.count() == 1);
    CHECK(instance.state() == ShareState::Ready);
}

// The steady clock shows a stopped process, but not a suspended machine.
TEST_CASE("an instance starts again after it was suspended")
{
    Instance instance;
    instance.run(10s, Fleet);
    REQUIRE(instance.state() == ShareState::Ready);
    SECTION("with its machine")
    {
        instance.suspendedFor = 2s;
        instance.step();
    }
    SECTION("alone")
    {
        instance.now += 1100ms;
        instance.step();
    }
    CHECK(instance.state() == ShareState::Suspended);
    instance.run(2900ms, Fleet);
    CHECK(instance.state() == ShareState::Suspended);
    instance.run(1300ms, Fleet); // It may have to hear from the others first.
    CHECK(instance.state() == ShareState::Ready);
}

TEST_CASE("a leaving instance uses no share, since the others stop counting it")
{
    Instance instance;
    instance.run(10s, Fleet);
    instance.directory.leave();
    instance.step();
    CHECK(instance.state() == ShareState::Leaving);
}

// Guards against a fleet that forgets an isolated instance early because it has shrunk: the
// isolated one still waits for as long as in the large fleet.
TEST_CASE("after a fleet has shrunk, a silent instance is counted for as long as before")
{
    Instance instance;
    std::vector<std::string> large{"c1", "c2", "c3", "isolated"};
    for (int index = 0; index < 96; ++index) {
        large.push_back("e" + std::to_string(index));
    }
    instance.run(60s, large);
    REQUIRE(instance.directory.intervalFactor() == 4);
    // Most of the others fall silent, the isolated instance a little later.
    instance.run(200s, {"c1", "c2", "c3", "isolated"});
    const auto counts = [&instance] {
        return instance.count();
    };
    instance.run(100s, {"c1", "c2", "c3"});
    CHECK(instance.directory.intervalFactor() == 1);
    CHECK(instance.directory.lastHeard("isolated") == std::nullopt);
    CHECK(counts() >= 2);
}
