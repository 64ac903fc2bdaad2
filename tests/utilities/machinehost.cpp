#include "tests/utilities/machinehost.h"

#include <deque>
#include <utility>

namespace samphirebridge::standins
{

namespace
{

using namespace requests;

core::RetryReason retryReason(http::ExchangeError error)
{
    switch (error) {
    case http::ExchangeError::ConnectFailed:
        return core::RetryReason::ConnectFailed;
    case http::ExchangeError::Timeout:
        return core::RetryReason::Stalled;
    case http::ExchangeError::WrongLength:
        return core::RetryReason::WrongLength;
    case http::ExchangeError::ConnectionBroken:
        break;
    }
    return core::RetryReason::ConnectionBroken;
}

class Host
{
public:
    Host(RequestSpecification specification, const std::vector<std::string> &targets)
        : targets(targets)
        , machine(std::move(specification))
    {
    }

    HostedEnd run()
    {
        this->events.emplace_back(Claimed{});
        while (!this->machine.finished()) {
            const core::TimePoint now = core::SteadyClock().now();
            const Event event = this->nextEvent(now);
            for (const Action &action : this->machine.handle(event, core::SteadyClock().now())) {
                std::visit([this](const auto &wanted) { this->take(wanted); }, action);
            }
        }
        return this->end;
    }

private:
    Event nextEvent(core::TimePoint now)
    {
        if (!this->events.empty()) {
            Event event = std::move(this->events.front());
            this->events.pop_front();
            return event;
        }
        http::ExchangeEvent happened = this->exchange->next(*this->machine.nextTimer() - now);
        switch (happened.kind) {
        case http::ExchangeEventKind::Headers:
            return HeadersArrived{
                this->attempt,
                happened.status,
                std::string(happened.headers.find("Samphirebridge-Attempt").value_or("")),
                std::string(happened.headers.find("Content-Type").value_or(""))};
        case http::ExchangeEventKind::Data:
            return BytesArrived{this->attempt, std::move(happened.bytes)};
        case http::ExchangeEventKind::End:
            return AnswerEnded{this->attempt};
        case http::ExchangeEventKind::Error:
            return AttemptFailed{
                this->attempt, retryReason(happened.error), this->exchange->bytesMayHaveLeft()};
        case http::ExchangeEventKind::Nothing:
            break;
        }
        return TimerFired{};
    }

    void take(const ChooseTarget &choose)
    {
        if (choose.reason) {
            this->end.retries.push_back(*choose.reason);
        }
        const std::string &url = this->targets[this->chosen++ % this->targets.size()];
        this->events.emplace_back(TargetChosen{core::TargetId(url)});
    }

    void take(const StartAttempt &start)
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

    void take(const CancelAttempt &)
    {
        this->exchange->cancel();
    }

    void take(const BeginAnswer &begin)
    {
        this->end.status = begin.status;
    }

    void take(const ForwardBytes &forward)
    {
        this->end.body += forward.bytes;
    }

    void take(const EndAnswer &)
    {
        this->end.ended = true;
    }

    void take(const SendWhole &whole)
    {
        this->end.status = whole.status;
        this->end.body = whole.body;
        this->end.ended = true;
    }

    void take(const Settle &settle)
    {
        this->end.settle = settle;
    }

    void take(const Release &)
    {
        this->end.released = true;
    }

    void take(const Refuse &refuse)
    {
        this->end.refuse = refuse;
    }

    void take(const EndWithError &error)
    {
        this->end.body += error.event;
    }

    void take(const CountForeignAnswer &)
    {
    }

    void take(const Finish &)
    {
    }

    const std::vector<std::string> &targets;
    RequestMachine machine;
    http::Client client;
    std::optional<http::Exchange> exchange;
    std::deque<Event> events;
    std::string attempt;
    size_t chosen = 0;
    HostedEnd end;
};

} // namespace

HostedEnd host(RequestSpecification specification, const std::vector<std::string> &targets)
{
    return Host(std::move(specification), targets).run();
}

} // namespace samphirebridge::standins
