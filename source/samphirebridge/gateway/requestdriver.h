// Host of the state machine of one request: carries out its actions on the target's connection, the
// caller's response, the router and the escrow.
#pragma once

#include "samphirebridge/entry/entrynode.h"
#include "samphirebridge/gateway/requestplan.h"
#include "samphirebridge/http/client.h"
#include "samphirebridge/http/responsewriter.h"
#include "samphirebridge/requests/requestmachine.h"
#include "samphirebridge/runtime/taskqueue.h"
#include "samphirebridge/telemetry/counters.h"

#include <atomic>
#include <deque>
#include <optional>
#include <string>

namespace samphirebridge::gateway
{

// What all drivers of a process share. Everything outlives the drivers.
struct DriverContext {
    entry::EntryNode &node;
    runtime::TaskQueue &queue;
    http::Client &client;
    telemetry::Counters &counters;
    const std::atomic<bool> &shutdownDeadlinePassed; // Requests in progress must end now.
};

// Runs one request on its traffic thread, from the reservation of its tokens to the end of its
// answer. The router and the escrow are called on the control thread through DriverContext::queue.
class RequestDriver
{
public:
    RequestDriver(DriverContext &context,
                  const RequestPlan &plan,
                  http::ResponseWriter &writer,
                  core::TimePoint arrivedAt);

    // Runs the request and returns when it has ended. Its tokens are reserved and its key, if the
    // plan needs a claim, is claimed. `takeover`: the claim was taken over from a holder that has
    // ended.
    void run(budget::ReservationId reservation, bool takeover);

private:
    using Clock = core::SteadyClock;

    // Hands the event to the machine and carries out the actions that it returns.
    void handle(const requests::Event &event);
    void execute(const requests::Actions &actions);
    void execute(const requests::ChooseTarget &action);
    // Closes the last attempt's connection and reports its failure, which is the action's reason.
    void closeAttempt(const requests::ChooseTarget &action);
    void execute(const requests::StartAttempt &action);
    void execute(const requests::CancelAttempt &action);
    void execute(const requests::CountForeignAnswer &action);
    void execute(const requests::BeginAnswer &action);
    void execute(const requests::ForwardBytes &action);
    void execute(const requests::EndAnswer &action);
    void execute(const requests::SendWhole &action);
    void execute(const requests::Settle &action);
    void execute(const requests::Release &action);
    void execute(const requests::Refuse &action);
    void execute(const requests::EndWithError &action);
    void execute(const requests::Finish &action);

    // Waits for at most waitTime() and hands in at most one event: bytes from the target, the
    // shutdown's deadline, the caller's disconnection or a timer.
    void waitForEvent();
    void onExchangeEvent(const http::ExchangeEvent &event);
    [[nodiscard]] core::Duration waitTime() const;
    [[nodiscard]] routing::RouteRequest routeRequest(const requests::ChooseTarget &action) const;
    [[nodiscard]] http::Headers answerHeaders(std::string_view contentType) const;
    void observeFirstByte();
    // Report to the router how the current attempt ended; do nothing if that was reported already.
    void reportFailed(core::RetryReason reason);
    void reportFinished();
    void reportCancelled();

    DriverContext &context;
    const RequestPlan &plan;
    http::ResponseWriter &writer;
    Clock clock;
    core::TimePoint arrivedAt;
    requests::RequestMachine machine;
    budget::ReservationId reservation = 0;
    std::deque<requests::Event> pendingEvents;
    std::optional<http::Exchange> exchange;
    std::optional<routing::Choice> choice;
    bool ticketOpen = false; // The router awaits the end of the chosen attempt.
    std::string attemptName;
    bool firstTokenReported = false;
    bool firstByteSent = false;
    bool shutdownDeadlineHandled = false;
    bool callerGoneHandled = false;
    bool answerComplete = false;
    core::Tokens settledTokens;
    // Reported to the router if the request ends without a complete answer.
    core::RetryReason lastFailure = core::RetryReason::TargetError;
    uint32_t attempts = 0;
};

} // namespace samphirebridge::gateway
