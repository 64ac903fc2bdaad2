#include "tests/utilities/machinehost.h"

#include <deque>
#include <utility>

namespace samphirebridge::standins
{

namespace
{

using namespace requests;

core::RetryReason retryReasonFor(http::ExchangeError error)
{
    switch (error) {
    case http::ExchangeError::ConnectFailed:
        return core::RetryReason::ConnectFailed;
    case http::ExchangeError::Timeout:
        return core::RetryReason::Stalled;
    case http::ExchangeError::WrongLength:
        return core::RetryReason::WrongLength;
    case http::ExchangeError::InvalidAnswer:
        return core::RetryReason::ForeignAnswer;
    case http::ExchangeError::ConnectionBroken:
        break;
    }
    return core::RetryReason::ConnectionBroken;
}

class RequestRunner
{
public:
    RequestRunner(RequestSpecification specification, const std::vector<std::string> &targets)
        : targets(targets)
        , machine(std::move(specification))
    {
    }

    RequestResult run()
    {
        this->events.emplace_back(Claimed{});
        while (!this->machine.finished()) {
            const core::TimePoint now = core::SteadyClock().now();
            const Event event = this->nextEvent(now);
            for (const Action &action : this->machine.handle(event, core::SteadyClock().now())) {
                std::visit([this](const auto &typedAction) { this->apply(typedAction); }, action);
            }
        }
        return this->result;
    }

private:
    Event nextEvent(core::TimePoint now)
    {
        if (!this->events.empty()) {
            Event event = std::move(this->events.front());
            this->events.pop_front();
            return event;
        }
        http::ExchangeEvent exchangeEvent = this->exchange->next(*this->machine.nextTimer() - now);
        switch (exchangeEvent.kind) {
        case http::ExchangeEventKind::Headers:
            return HeadersArrived{
                this->attempt,
                exchangeEvent.status,
                std::string(exchangeEvent.headers.find("Samphirebridge-Attempt").value_or("")),
                std::string(exchangeEvent.headers.find("Content-Type").value_or(""))};
        case http::ExchangeEventKind::Data:
            return BytesArrived{this->attempt, std::move(exchangeEvent.bytes)};
        case http::ExchangeEventKind::End:
            return AnswerEnded{this->attempt};
        case http::ExchangeEventKind::Error:
            return AttemptFailed{this->attempt,
                                 retryReasonFor(exchangeEvent.error),
                                 this->exchange->bytesMayHaveLeft()};
        case http::ExchangeEventKind::Nothing:
            break;
        }
        return TimerFired{};
    }

    void apply(const ChooseTarget &choice)
    {
        if (choice.reason) {
            this->result.retries.push_back(*choice.reason);
        }
        const std::string &url = this->targets[this->chosenTargets++ % this->targets.size()];
        this->events.emplace_back(TargetChosen{core::TargetId(url)});
    }

    void apply(const StartAttempt &start)
    {
        this->attempt = start.attempt;
        http::ClientRequest request;
        request.method = start.method;
        request.url = start.target.value + start.path;
        request.body = start.body;
        for (const AttemptHeader &header : start.headers) {
            request.headers.add(header.name, header.value);
        }
        this->exchange.emplace(this->client.start(request));
    }

    void apply(const CancelAttempt &)
    {
        this->exchange->cancel();
    }

    void apply(const BeginAnswer &begin)
    {
        this->result.status = begin.status;
    }

    void apply(const ForwardBytes &forward)
    {
        this->result.body += forward.bytes;
    }

    void apply(const EndAnswer &)
    {
        this->result.completed = true;
    }

    void apply(const SendWhole &answer)
    {
        this->result.status = answer.status;
        this->result.body = answer.body;
        this->result.completed = true;
    }

    void apply(const Settle &settle)
    {
        this->result.settle = settle;
    }

    void apply(const Release &)
    {
        this->result.released = true;
    }

    void apply(const Refuse &refuse)
    {
        this->result.refuse = refuse;
    }

    void apply(const EndWithError &error)
    {
        this->result.body += error.event;
    }

    void apply(const CountForeignAnswer &)
    {
    }

    void apply(const Finish &)
    {
    }

    const std::vector<std::string> &targets;
    RequestMachine machine;
    http::Client client;
    std::optional<http::Exchange> exchange;
    std::deque<Event> events;
    std::string attempt;
    size_t chosenTargets = 0;
    RequestResult result;
};

} // namespace

RequestResult runRequest(RequestSpecification specification,
                         const std::vector<std::string> &targets)
{
    return RequestRunner(std::move(specification), targets).run();
}

} // namespace samphirebridge::standins
