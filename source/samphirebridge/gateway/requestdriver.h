// Carries out what a request's machine decides: target connections, the caller's response, the
// router and the escrow.
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

// What the drivers of one process share; all of it outlives them.
struct DriverContext {
    entry::EntryNode &node;
    runtime::TaskQueue &queue;
    http::Client &client;
    telemetry::Counters &counters;
    const std::atomic<bool> &mustEnd; // Set when a shutdown's grace is over.
};

// Serves one request on its traffic thread, from the claim to the last byte.
class RequestDriver
{
public:
    RequestDriver(DriverContext &context,
                  const RequestPlan &plan,
                  http::ResponseWriter &writer,
                  core::TimePoint arrivedAt);

    // Runs the request whose tokens are reserved and whose key, if any, is claimed.
    void run(budget::ReservationId reservation, bool takeover);

private:
    using Clock = core::SteadyClock;

    void handle(const requests::Event &event);
    void perform(const requests::Actions &actions);
    void perform(const requests::ChooseTarget &action);
    void perform(const requests::StartAttempt &action);
    void perform(const requests::CancelAttempt &action);
    void perform(const requests::CountForeignAnswer &action);
    void perform(const requests::BeginAnswer &action);
    void perform(const requests::ForwardBytes &action);
    void perform(const requests::EndAnswer &action);
    void perform(const requests::SendWhole &action);
    void perform(const requests::Settle &action);
    void perform(const requests::Release &action);
    void perform(const requests::Refuse &action);
    void perform(const requests::EndWithError &action);
    void perform(const requests::Finish &action);

    // Waits for what happens next: bytes of the target, a timer, or the caller's leaving.
    void step();
    void onExchangeEvent(const http::ExchangeEvent &event);
    [[nodiscard]] core::Duration waitTime() const;
    [[nodiscard]] routing::RouteRequest routeRequest(const requests::ChooseTarget &action) const;
    [[nodiscard]] http::Headers answerHeaders(std::string_view contentType) const;
    void noteFirstByte();
    // Tells the router how the current attempt ended.
    void endTicket(core::RetryReason reason);
    void finishTicket();
    void cancelTicket();

    DriverContext &context;
    const RequestPlan &plan;
    http::ResponseWriter &writer;
    Clock clock;
    core::TimePoint arrivedAt;
    requests::RequestMachine machine;
    budget::ReservationId reservation = 0;
    std::deque<requests::Event> pending;
    std::optional<http::Exchange> exchange;
    std::optional<routing::Choice> choice;
    bool ticketOpen = false;
    std::string attempt;
    bool firstToken = false;
    bool firstByteSent = false;
    bool mustEndTold = false;
    bool callerGoneTold = false;
    bool answeredWhole = false;
    core::Tokens settledTokens;
    core::RetryReason lastFailure = core::RetryReason::TargetError;
    uint32_t attempts = 0;
};

} // namespace samphirebridge::gateway
