#include "samphirebridge/requests/requestmachine.h"

#include "samphirebridge/requests/problem.h"
#include "samphirebridge/requests/repeatrules.h"

#include <algorithm>
#include <utility>

namespace samphirebridge::requests
{

namespace
{

constexpr int StatusOk = 200;

constexpr int StatusInternalError = 500;
constexpr core::Duration RetryAfterFailure = std::chrono::seconds(1);
constexpr std::string_view EventStream = "text/event-stream";
constexpr std::string_view JsonType = "application/json";

std::string detailOf(core::RetryReason reason)
{
    return "The last attempt ended with " + std::string(core::retryName(reason));
}

} // namespace

RequestMachine::RequestMachine(RequestSpecification specification)
    : specification(std::move(specification))
    , history(this->specification.attemptPrefix)
    , kept(this->specification.maximumStoredBytes)
{
    if (this->specification.chat) {
        this->chat.emplace(*this->specification.chat);
    }
}

Actions RequestMachine::handle(const Event &event, core::TimePoint time)
{
    this->actions.clear();
    if (this->state == State::Finished) {
        return {};
    }
    this->now = time;
    std::visit([this](const auto &happened) { this->on(happened); }, event);
    return std::exchange(this->actions, {});
}

std::optional<core::TimePoint> RequestMachine::nextTimer() const
{
    if (this->state == State::Finished || this->state == State::Abandoned) {
        return std::nullopt;
    }
    if (!this->stallTimerRuns()) {
        return this->specification.deadline;
    }
    return std::min(this->specification.deadline,
                    this->lastProgress + this->specification.stallTimeout);
}

void RequestMachine::on(const Claimed &event)
{
    if (this->state == State::Abandoned) {
        this->actions.emplace_back(Release{});
        this->finish();
        return;
    }
    if (this->state != State::Unclaimed) {
        return;
    }
    if (event.takeover) {
        this->history.takeOver();
    }
    this->state = State::Choosing;
    if (this->now >= this->specification.deadline) {
        this->giveUp({core::RefusalReason::DeadlineExceeded, std::nullopt, {}});
        return;
    }
    if (!this->mayBeSentAgain()) {
        this->giveUp({core::RefusalReason::KeyOutcomeUnknown, std::nullopt, {}});
        return;
    }
    this->choose(event.takeover ? std::optional(core::RetryReason::Takeover) : std::nullopt);
}

void RequestMachine::on(const ClaimRefused &event)
{
    if (this->state != State::Unclaimed && this->state != State::Abandoned) {
        return;
    }
    if (this->state == State::Unclaimed) {
        this->refuse({event.reason, event.retryAfter, {}}, event.outcome);
    }
    this->finish();
}

void RequestMachine::on(const TargetChosen &event)
{
    if (this->state != State::Choosing) {
        return;
    }
    this->state = State::Sent;
    this->lastProgress = this->now;
    this->status = 0;
    this->buffer.clear();
    if (this->chat) {
        this->chat->beginAttempt();
    }
    this->actions.emplace_back(this->attemptFor(event.target));
}

void RequestMachine::on(const NoTarget &event)
{
    if (this->state == State::Choosing) {
        this->giveUp({event.reason, event.retryAfter, {}});
    }
}

void RequestMachine::on(const HeadersArrived &event)
{
    if (!this->history.isCurrent(event.attempt) || this->state != State::Sent) {
        return;
    }
    if (!event.echo.empty() && event.echo != this->history.current()) {
        this->actions.emplace_back(CountForeignAnswer{this->history.current(), event.echo});
        this->cancelAttempt();
        this->endAttempt(core::RetryReason::ForeignAnswer, true);
        return;
    }
    this->lastProgress = this->now;
    this->status = event.status;
    this->contentType = event.contentType;
    const bool isResume = this->chat && this->chat->outputTokens() > 0;
    const auto reason = retryReasonOf(this->specification.repeat, event.status, isResume);
    if (reason) {
        this->cancelAttempt();
        this->endAttempt(*reason, true);
        return;
    }
    this->state = State::Answering;
}

void RequestMachine::on(const BytesArrived &event)
{
    if (!this->history.isCurrent(event.attempt) || this->state != State::Answering) {
        return;
    }
    this->lastProgress = this->now;
    if (this->isChatStream()) {
        this->takeChatBytes(event.bytes);
    } else {
        this->takeWholeBytes(event.bytes);
    }
}

void RequestMachine::on(const AnswerEnded &event)
{
    if (!this->history.isCurrent(event.attempt)) {
        return;
    }
    if (this->state != State::Answering) {
        this->endAttempt(core::RetryReason::ConnectionBroken, true);
    } else if (this->isChatStream()) {
        this->endAttempt(core::RetryReason::MissingTerminator, true);
    } else {
        this->completeWhole();
    }
}

void RequestMachine::on(const AttemptFailed &event)
{
    if (this->history.isCurrent(event.attempt)) {
        const bool hasAnswer = this->state == State::Answering;
        this->endAttempt(event.reason, event.bytesMayHaveLeft || hasAnswer);
    }
}

void RequestMachine::on(const TimerFired &)
{
    if (this->state == State::Abandoned) {
        return;
    }
    if (this->now >= this->specification.deadline) {
        this->giveUp({core::RefusalReason::DeadlineExceeded, std::nullopt, {}});
        return;
    }
    if (this->stallTimerRuns() && this->now >= *this->nextTimer()) {
        this->cancelAttempt();
        this->endAttempt(core::RetryReason::Stalled, true);
    }
}

// A request that may not be repeated goes on without its caller, so that its outcome gets known.
void RequestMachine::on(const CallerGone &)
{
    this->callerPresent = false;
    if (this->history.isRunning() && !this->chat && !this->isRepeatable()) {
        return;
    }
    this->giveUp({core::RefusalReason::AnswerBroken, std::nullopt, {}});
}

void RequestMachine::on(const ShutdownDeadline &)
{
    this->giveUp({core::RefusalReason::Stopping, RetryAfterFailure, {}});
}

bool RequestMachine::isRepeatable() const
{
    return this->specification.repeat == proto::REPEATABLE;
}

bool RequestMachine::isChatStream() const
{
    if (!this->chat || this->status != StatusOk) {
        return false;
    }
    const ChatRequest &request = *this->specification.chat;
    return request.stream() || request.resumable();
}

bool RequestMachine::mayBeSentAgain() const
{
    if (!mayRepeat(this->specification.repeat) && this->history.mayHaveRun()) {
        return false;
    }
    if (this->chat) {
        return this->chat->continuable();
    }
    return !this->answerBegun;
}

// Cancelling what may not be repeated would gain nothing: it waits until its deadline.
bool RequestMachine::stallTimerRuns() const
{
    const bool isFutile = !this->chat && !mayRepeat(this->specification.repeat);
    return this->history.isRunning() && !isFutile;
}

core::Outcome RequestMachine::outcomeNow() const
{
    if (!this->history.mayHaveRun()) {
        return core::Outcome::NotRun;
    }
    const bool hasText = this->chat && this->chat->outputTokens() > 0;
    return hasText ? core::Outcome::Ran : core::Outcome::Unknown;
}

StartAttempt RequestMachine::attemptFor(const core::TargetId &chosen)
{
    const RequestSpecification &request = this->specification;
    StartAttempt start;
    start.attempt = this->history.begin(chosen);
    start.target = chosen;
    start.method = request.method;
    start.path = request.path;
    start.headers = request.headers;
    start.headers.push_back({"Samphirebridge-Attempt", start.attempt});
    start.headers.push_back({"Idempotency-Key", request.requestKey});
    start.freshConnection = !this->isRepeatable();
    if (this->chat) {
        start.headers.push_back({"Content-Type", std::string(JsonType)});
        start.body = request.chat->render(
            this->chat->text(), this->chat->outputTokens(), request.priority);
    } else {
        start.body = request.body;
    }
    return start;
}

void RequestMachine::choose(std::optional<core::RetryReason> reason)
{
    this->state = State::Choosing;
    this->actions.emplace_back(
        ChooseTarget{reason.has_value(), reason, this->history.failedTargets()});
}

void RequestMachine::cancelAttempt()
{
    if (this->history.isRunning()) {
        this->actions.emplace_back(CancelAttempt{this->history.current()});
    }
}

void RequestMachine::endAttempt(core::RetryReason reason, bool bytesMayHaveLeft)
{
    this->history.fail(bytesMayHaveLeft);
    this->buffer.clear();
    if (this->chat && this->chat->exhausted()) {
        this->chat->finishAtBound();
        this->completeChat();
        return;
    }
    // A target that deduplicates can still tell what became of a request that its caller left.
    const bool isOfUse = this->callerPresent
                         || (this->specification.repeat == proto::TARGET_DEDUPLICATES
                             && this->history.mayHaveRun());
    const bool isLast = this->history.count() >= this->specification.maximumAttempts
                        || this->now >= this->specification.deadline || !isOfUse;
    if (!isLast && this->mayBeSentAgain()) {
        this->choose(reason);
        return;
    }
    const bool wasBarred = !this->mayBeSentAgain();
    this->giveUp(
        {wasBarred ? core::RefusalReason::AnswerBroken : core::RefusalReason::TargetsFailed,
         wasBarred ? std::nullopt : std::optional(RetryAfterFailure),
         detailOf(reason)});
}

void RequestMachine::takeChatBytes(const std::string &bytes)
{
    std::string out;
    const ChatProgress progress = this->chat->feed(bytes, out);
    if (this->specification.chat->stream() && !out.empty()) {
        this->beginAnswer(StatusOk, EventStream);
        this->forward(std::move(out));
    }
    if (progress == ChatProgress::Complete) {
        this->completeChat();
    } else if (progress == ChatProgress::Malformed) {
        this->cancelAttempt();
        this->endAttempt(core::RetryReason::TargetError, true);
    }
}

void RequestMachine::takeWholeBytes(const std::string &bytes)
{
    if (this->answerBegun) {
        this->forward(bytes);
        return;
    }
    this->buffer += bytes;
    if (this->buffer.size() <= this->specification.maximumBufferedBytes) {
        return;
    }
    if (this->chat) {
        this->cancelAttempt();
        this->endAttempt(core::RetryReason::TargetError, true);
        return;
    }
    this->beginAnswer(this->status, this->contentType);
    this->forward(std::exchange(this->buffer, {}));
}

void RequestMachine::completeChat()
{
    const ChatRequest &request = *this->specification.chat;
    const std::string ending = request.stream() ? this->chat->ending() : this->chat->wholeAnswer();
    this->status = StatusOk;
    this->contentType = request.stream() ? EventStream : JsonType;
    this->settle(this->chat->used(), this->chat->exact(), this->answerWith(ending));
    if (request.stream()) {
        this->beginAnswer(StatusOk, EventStream);
        this->forward(ending);
        this->actions.emplace_back(EndAnswer{});
    } else {
        this->sendWhole(ending);
    }
    this->finish();
}

void RequestMachine::completeWhole()
{
    if (this->chat && this->status == StatusOk) {
        this->completeWholeChat();
        return;
    }
    const bool isBilled = !this->chat && this->status < StatusInternalError;
    const core::Tokens used = isBilled ? this->specification.price : core::Tokens{0};
    this->settle(used, true, this->answerWith(this->buffer));
    if (this->answerBegun) {
        this->actions.emplace_back(EndAnswer{});
    } else {
        this->sendWhole(std::exchange(this->buffer, {}));
    }
    this->finish();
}

// An answer of several choices or with tools, which the engine gave whole.
void RequestMachine::completeWholeChat()
{
    const std::optional<core::Tokens> used = usageOfWholeAnswer(this->buffer);
    if (!used) {
        this->endAttempt(core::RetryReason::TargetError, true);
        return;
    }
    this->settle(*used, true, this->answerWith(this->buffer));
    this->sendWhole(std::exchange(this->buffer, {}));
    this->finish();
}

void RequestMachine::beginAnswer(int answerStatus, std::string_view type)
{
    if (!std::exchange(this->answerBegun, true) && this->callerPresent) {
        this->actions.emplace_back(BeginAnswer{answerStatus, std::string(type)});
    }
}

void RequestMachine::forward(std::string bytes)
{
    this->kept.append(bytes);
    if (this->callerPresent) {
        this->actions.emplace_back(ForwardBytes{std::move(bytes)});
    }
}

void RequestMachine::sendWhole(std::string body)
{
    if (this->callerPresent) {
        this->actions.emplace_back(SendWhole{this->status, this->contentType, std::move(body)});
    }
}

void RequestMachine::giveUp(const GivenUp &end)
{
    const core::Outcome outcome = this->outcomeNow();
    if (this->state == State::Unclaimed || this->state == State::Abandoned) {
        if (this->state == State::Unclaimed) {
            this->refuse(end, outcome);
        }
        this->state = State::Abandoned; // The claim's result is still to come.
        return;
    }
    this->cancelAttempt();
    this->settleGivenUp();
    this->refuse(end, outcome);
    this->finish();
}

void RequestMachine::settleGivenUp()
{
    if (!this->history.mayHaveRun()) {
        this->actions.emplace_back(Release{});
        return;
    }
    if (this->chat) {
        this->settle(this->chat->used(), this->chat->exact(), std::nullopt);
        return;
    }
    if (this->isRepeatable()) {
        this->settle(core::Tokens{0}, true, std::nullopt);
        return;
    }
    this->actions.emplace_back(
        Settle{this->specification.price, core::Outcome::Unknown, true, std::nullopt});
}

void RequestMachine::refuse(const GivenUp &end, core::Outcome outcome)
{
    if (!this->callerPresent) {
        return;
    }
    if (!this->answerBegun) {
        this->actions.emplace_back(Refuse{end.reason, outcome, end.retryAfter, end.detail});
        return;
    }
    std::string event;
    if (this->chat) {
        const std::string &key = this->specification.requestKey;
        event = renderErrorEvent(end.reason, outcome, key, end.detail);
    }
    this->actions.emplace_back(EndWithError{end.reason, outcome, std::move(event)});
}

void RequestMachine::settle(core::Tokens used, bool exact, std::optional<StoredAnswer> answer)
{
    const core::Tokens bounded = std::min(used, this->specification.reservation);
    this->actions.emplace_back(Settle{bounded, core::Outcome::Ran, exact, std::move(answer)});
}

std::optional<StoredAnswer> RequestMachine::answerWith(std::string_view ending) const
{
    std::optional<std::string> body = this->kept.with(ending);
    if (!body) {
        return std::nullopt;
    }
    return StoredAnswer{this->status, this->contentType, *std::move(body)};
}

void RequestMachine::finish()
{
    this->history.close();
    this->state = State::Finished;
    this->actions.emplace_back(Finish{});
}

} // namespace samphirebridge::requests
