// The thin path: one attempt, the answer passed through, one settlement from the engine's usage.
#include "samphirebridge/requests/requestmachine.h"

#include <algorithm>
#include <utility>

namespace samphirebridge::requests
{

namespace
{

// Returns the total of the last usage object in a chat stream, or nothing.
std::optional<int64_t> usageIn(std::string_view text)
{
    constexpr std::string_view Prefix = "data: ";
    std::optional<int64_t> total;
    size_t start = 0;
    while ((start = text.find(Prefix, start)) != std::string_view::npos) {
        start += Prefix.size();
        const size_t end = std::min(text.find('\n', start), text.size());
        const auto chunk = nlohmann::json::parse(text.substr(start, end - start), nullptr, false);
        const auto usage = chunk.is_object() ? chunk.find("usage") : chunk.end();
        if (usage != chunk.end() && usage->is_object()) {
            total = usage->value("total_tokens", int64_t{0});
        }
        start = end;
    }
    return total;
}

} // namespace

RequestMachine::RequestMachine(RequestSpecification requestSpecification)
    : specification(std::move(requestSpecification))
{
}

Actions RequestMachine::handle(const Event &event, core::TimePoint at)
{
    this->now = at;
    this->actions.clear();
    if (this->state == State::Finished) {
        return {};
    }
    if (std::holds_alternative<Claimed>(event)) {
        this->state = State::Choosing;
        this->actions.push_back(ChooseTarget{});
    } else if (const auto *chosen = std::get_if<TargetChosen>(&event)) {
        this->state = State::Sent;
        this->actions.push_back(this->attemptFor(chosen->target));
    } else if (const auto *none = std::get_if<NoTarget>(&event)) {
        this->actions.push_back(Release{});
        this->actions.push_back(Refuse{none->reason, core::Outcome::NotRun, none->retryAfter, {}});
        this->finish();
    } else if (const auto *headers = std::get_if<HeadersArrived>(&event)) {
        this->status = headers->status;
        this->contentType = headers->contentType;
    } else if (const auto *bytes = std::get_if<BytesArrived>(&event)) {
        this->buffer += bytes->bytes;
    } else if (std::holds_alternative<AnswerEnded>(event)) {
        const core::Tokens used
            = this->specification.chat
                  ? core::Tokens{usageIn(this->buffer)
                                     .value_or(this->specification.reservation.count)}
                  : this->specification.price;
        this->actions.push_back(
            Settle{this->bounded(used),
                   core::Outcome::Ran,
                   true,
                   StoredAnswer{this->status, this->contentType, this->buffer}});
        this->actions.push_back(SendWhole{this->status, this->contentType, this->buffer});
        this->finish();
    } else if (const auto *failed = std::get_if<AttemptFailed>(&event)) {
        if (failed->bytesMayHaveLeft) {
            this->actions.push_back(
                Settle{this->specification.reservation, core::Outcome::Unknown, false, {}});
        } else {
            this->actions.push_back(Release{});
        }
        this->actions.push_back(
            Refuse{core::RefusalReason::TargetsFailed,
                   failed->bytesMayHaveLeft ? core::Outcome::Unknown : core::Outcome::NotRun,
                   std::nullopt,
                   {}});
        this->finish();
    }
    return std::exchange(this->actions, {});
}

std::optional<core::TimePoint> RequestMachine::nextTimer() const
{
    return this->specification.deadline;
}

core::Tokens RequestMachine::bounded(core::Tokens used) const
{
    return std::min(used, this->specification.reservation);
}

void RequestMachine::finish()
{
    this->state = State::Finished;
    this->actions.push_back(Finish{});
}

StartAttempt RequestMachine::attemptFor(const core::TargetId &chosen)
{
    StartAttempt attemptStart;
    attemptStart.attempt
        = this->specification.attemptPrefix + "." + std::to_string(++this->attemptCount);
    attemptStart.target = chosen;
    attemptStart.method = this->specification.method;
    attemptStart.path = this->specification.path;
    attemptStart.headers = this->specification.headers;
    attemptStart.headers.push_back({"Samphirebridge-Attempt", attemptStart.attempt});
    attemptStart.body = this->specification.chat
                            ? this->specification.chat->render({}, 0, this->specification.priority)
                            : this->specification.body;
    return attemptStart;
}

} // namespace samphirebridge::requests
