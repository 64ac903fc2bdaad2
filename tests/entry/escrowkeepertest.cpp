// Requests that wait for tokens, and what their answers may set off inside the keeper's loops.
#include "samphirebridge/entry/escrowkeeper.h"
#include "samphirebridge/control/ledgerclient.h"
#include "samphirebridge/core/errors.h"
#include "samphirebridge/runtime/taskqueue.h"
#include "samphirebridge/transport/peerset.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <utility>
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

// A registered keeper with a ledger that answers when the test says so.
class LedgerKeeper
{
public:
    LedgerKeeper()
    {
        control::LocalControl local;
        local.submit = [this](const proto::SubmitRequest &request, const auto &respond) {
            this->batches.push_back({request.command().holder_batch().sequence(), respond});
        };
        this->client.setLocalControl(std::move(local));
        this->keeper.setRegistered();
    }

    // Asks for tokens until the deadline. Returns the number of the request.
    size_t reserve(core::Tokens tokens)
    {
        entry::ReservationRequest request;
        request.budget = core::BudgetId("letters");
        request.tokens = tokens;
        request.deadline = this->start + Wait;
        const size_t number = this->answers.size();
        this->answers.emplace_back();
        this->keeper.reserve(request, this->start, [this, number](const auto &answer) {
            this->answers[number].push_back(answer.reservation.has_value());
        });
        return number;
    }

    // Answers the batches that were sent, with the result that the function fills.
    void answerBatches(const std::function<void(proto::CommandResult &)> &fill)
    {
        for (const Batch &batch : std::exchange(this->batches, {})) {
            proto::SubmitReply reply;
            reply.set_status(proto::SubmitReply::APPLIED);
            reply.mutable_result()->mutable_holder_batch()->set_sequence(batch.sequence);
            fill(*reply.mutable_result());
            batch.respond(reply);
        }
        this->queue.runUntil(core::TimePoint{}, this->clock);
    }

    void answerWithError(core::ErrorCode code)
    {
        this->answerBatches([code](proto::CommandResult &result) {
            result.set_error_code(static_cast<uint32_t>(code));
        });
    }

    void answerWithGrant(core::Tokens granted)
    {
        this->answerBatches([granted](proto::CommandResult &result) {
            proto::EscrowGrant *grant = result.mutable_holder_batch()->add_grants();
            grant->set_budget("letters");
            grant->set_granted_tokens(granted.count);
        });
    }

    static constexpr core::Duration Wait = 100ms;
    core::SteadyClock clock;
    core::TimePoint start = this->clock.now(); // The time of all calls, unless they state another.
    std::vector<std::vector<bool>> answers; // Of each request: whether tokens were reserved.

private:
    struct Batch {
        uint64_t sequence;
        transport::Respond<proto::SubmitReply> respond;
    };

    core::InstanceId self{"entry"};
    telemetry::Counters counters;
    telemetry::Logger logger{"entry"};
    runtime::TaskQueue queue;
    transport::PeerSet peers{std::vector<transport::PeerAddress>(), this->counters};
    control::LedgerClient client{this->self, {this->self}, this->peers, this->queue};
    std::vector<Batch> batches; // Sent, and not answered.

public:
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

// Guards against a request that waits for a decision that never comes.
TEST_CASE(
    "a request that waits for tokens is answered once and within its deadline, whatever changes")
{
    LedgerKeeper ledger;
    for (int request = 0; request < 3; ++request) {
        ledger.reserve(core::Tokens{100});
    }
    const auto isAnswered = [&ledger] {
        return std::ranges::all_of(ledger.answers,
                                   [](const auto &answers) { return answers.size() == 1; });
    };
    REQUIRE(ledger.answers.front().empty());
    SECTION("the ledger does not answer")
    {
    }
    SECTION("a declaration changes the policy")
    {
        budget::EscrowOptions options;
        options.exposureLimit = core::Tokens{10};
        options.minIsolationRate = 1;
        ledger.keeper.setPolicy(options, 1s);
        ledger.keeper.setContactExposure(core::Tokens{10});
    }
    SECTION("a declaration takes the budget away")
    {
        ledger.answerWithGrant(core::Tokens{0});
    }
    SECTION("a declaration makes the budget too small for all")
    {
        ledger.answerWithGrant(core::Tokens{100});
        CHECK(ledger.answers.front() == std::vector<bool>{true});
    }
    SECTION("the ledger refuses the batch")
    {
        ledger.answerWithError(core::ErrorCode::NotFound);
    }
    SECTION("the ledger counts the holder as ended")
    {
        ledger.answerWithError(core::ErrorCode::HolderRetired);
        CHECK(isAnswered());
    }
    SECTION("the instance stops")
    {
        ledger.keeper.beginShutdown();
        ledger.keeper.flush(ledger.start);
    }
    ledger.keeper.flush(ledger.start + LedgerKeeper::Wait);
    CHECK(isAnswered());
    const auto answers = ledger.answers;
    ledger.answerWithGrant(core::Tokens{1000});
    ledger.keeper.flush(ledger.start + 10 * LedgerKeeper::Wait);
    CHECK(ledger.answers == answers);
}
