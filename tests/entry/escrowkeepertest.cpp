// Requests that wait for tokens, and what their answers may set off inside the keeper's loops.
#include "samphirebridge/entry/escrowkeeper.h"
#include "samphirebridge/control/ledgerclient.h"
#include "samphirebridge/runtime/taskqueue.h"
#include "samphirebridge/transport/peerset.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace samphirebridge;
using namespace std::chrono_literals;

namespace
{

// A keeper that is not registered yet, so that requests wait until they expire.
class WaitingKeeper
{
public:
    void reserve(core::TimePoint now, core::Duration wait, entry::OnReservation onAnswer)
    {
        entry::ReservationRequest request;
        request.budget = core::BudgetId("letters");
        request.tokens = core::Tokens{100};
        request.deadline = now + wait;
        this->keeper.reserve(request, now, std::move(onAnswer));
    }

    void flush(core::TimePoint now)
    {
        this->keeper.flush(now);
    }

private:
    core::InstanceId self{"entry"};
    telemetry::Counters counters;
    telemetry::Logger logger{"entry"};
    runtime::TaskQueue queue;
    transport::PeerSet peers{std::vector<transport::PeerAddress>(), this->counters};
    control::LedgerClient client{this->self, {}, this->peers, this->queue};
    entry::EscrowKeeper keeper{
        {this->self, 1}, budget::EscrowOptions(), this->client, this->counters, this->logger};
};

} // namespace

// Guards against one caller that ends the process: the refusal of its waiting request is written at
// once, and a second request that it has pipelined on the same connection reserves inside the call.
TEST_CASE("a request that arrives inside the refusal of another leaves the waiting ones intact")
{
    WaitingKeeper keeper;
    const core::TimePoint start{100s};
    int pipelined = 0;
    std::vector<int> refusals(3, 0);
    for (size_t number = 0; number < refusals.size(); ++number) {
        keeper.reserve(start, 100ms, [&, number](const entry::ReservationAnswer &answer) {
            CHECK_FALSE(answer.reservation);
            ++refusals[number];
            if (number == 0) {
                keeper.reserve(
                    start + 200ms, 100ms, [&](const entry::ReservationAnswer &) { ++pipelined; });
            }
        });
    }
    keeper.flush(start + 200ms);
    CHECK(refusals == std::vector<int>(3, 1));
    CHECK(pipelined == 0);
    keeper.flush(start + 400ms);
    CHECK(refusals == std::vector<int>(3, 1));
    CHECK(pipelined == 1);
}
