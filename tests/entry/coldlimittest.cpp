// Tests that a declaration's limits for cold targets take effect in the view of the fleet.
#include "samphirebridge/entry/fleetview.h"

#include <catch2/catch.hpp>

#include <string>

using namespace samphirebridge;
using namespace std::chrono_literals;

namespace
{

// One instance that votes and serves, without peers.
struct SingleInstance {
    telemetry::Counters counters;
    telemetry::Logger logger{"a"};
    transport::PeerSet peers{std::vector<transport::PeerAddress>{}, counters};
    entry::FleetView view{
        core::InstanceId("a"), 1, routing::RoutingOptions(), {}, peers, counters, logger, 1};
    core::TimePoint now = core::TimePoint(1000s);

    SingleInstance()
    {
        this->view.setRoles(true, true);
    }

    void declare(double coldRequestsPerSecond)
    {
        forwarding::Declaration declaration;
        forwarding::Service &service = declaration.services.emplace_back();
        service.id = core::ServiceId("chat");
        service.coldRequestsPerSecond = coldRequestsPerSecond;
        service.coldStart = 3s;
        this->view.onDeclaration(declaration, this->now);
    }

    // Lets the time pass while a cold target announces itself.
    void run(core::Duration duration)
    {
        for (const core::TimePoint end = this->now + duration; this->now < end;) {
            this->now += 50ms;
            if (this->now.time_since_epoch() % 1s == 0s) {
                this->announce();
            }
            this->view.tick(this->now);
        }
    }

    void announce()
    {
        proto::TargetRecord record;
        record.set_id("t");
        record.set_incarnation(1);
        record.set_address("127.0.0.1:9001");
        record.set_kind("chat");
        record.set_state(proto::READY);
        record.mutable_load()->set_capacity(1000);
        record.mutable_load()->set_cold_remaining_ms(3000);
        REQUIRE(this->view.announce(record, this->now).ok());
    }

    // Returns how many of 100 requests are sent to the target now.
    size_t offer()
    {
        size_t sent = 0;
        for (int number = 0; number < 100; ++number) {
            routing::RouteRequest request;
            request.service = core::ServiceId("chat");
            const auto decision = this->view.router().choose(request, this->now);
            if (const auto *choice = std::get_if<routing::Choice>(&decision)) {
                ++sent;
                this->view.router().onSent(choice->ticket, this->now);
                this->view.router().onFinished(choice->ticket, {}, this->now);
            }
        }
        this->view.tick(this->now);
        return sent;
    }

    [[nodiscard]] bool hasMetric(const std::string &line) const
    {
        return this->counters.text().find("\nsamphirebridge_" + line + "\n") != std::string::npos;
    }
};

} // namespace

TEST_CASE("a declared limit for cold targets holds once this instance may use its share")
{
    SingleInstance instance;
    instance.declare(14);
    instance.announce();
    instance.run(2500ms);
    CHECK(instance.offer() == 0); // It is starting.
    instance.run(1500ms);
    CHECK(instance.offer() == 7); // It is new.
    instance.run(300s);
    CHECK(instance.offer() == 14);
    instance.run(1s);
    CHECK(instance.offer() == 14);
    instance.run(1s);
    CHECK(instance.hasMetric("targets_cold 1"));
    CHECK(instance.hasMetric("cold_allotments_used_total 35"));
    CHECK(instance.hasMetric("cold_targets_skipped_total 365"));
}

// Guards against a change for services that state no limit, and against a limit that outlives its
// declaration.
TEST_CASE("without a declared limit a cold target is not restricted")
{
    SingleInstance instance;
    instance.declare(14);
    instance.announce();
    instance.run(1s);
    CHECK(instance.offer() == 0);
    instance.declare(0);
    CHECK(instance.offer() == 100);
    instance.run(2s);
    CHECK(instance.hasMetric("targets_cold 0"));
}
