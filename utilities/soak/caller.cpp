#include "utilities/soak/caller.h"

#include "samphirebridge/requests/sseparser.h"
#include "tests/support/fleet.h"
#include "utilities/standins/answertext.h"

#include <fmt/format.h>

#include <thread>
#include <utility>

namespace samphirebridge::soak
{

namespace
{

using nlohmann::json;

constexpr std::chrono::seconds CallDeadline{25};
constexpr int StatusSuccess = 200;
constexpr int StatusRedirect = 300;
constexpr int MaxAnswerTokens = 40;
constexpr int64_t ShortestPauseMs = 20;
constexpr int64_t LongestPauseMs = 150;
// Shares of all calls, in per cent; the rest are payments.
constexpr uint64_t StreamShare = 45;
constexpr uint64_t WholeShare = 20;
// Share of the payments whose answer the target aborts, in per cent.
constexpr uint64_t AbortedAnswerShare = 5;
constexpr uint64_t Hundred = 100;

std::string promptOf(const CallSpec &spec)
{
    return "letter " + spec.name;
}

http::ClientRequest requestOf(const CallerSettings &settings, const CallSpec &spec)
{
    http::ClientRequest request;
    request.method = "POST";
    request.deadline = CallDeadline;
    request.connection = http::ConnectionUse::Pooled;
    request.headers.add("Content-Type", "application/json");
    const std::string &url = settings.urls.at(static_cast<size_t>(spec.instance));
    if (spec.kind == CallKind::Payment) {
        request.url = url + "/v1/payments";
        request.headers.add("Authorization", "Bearer " + settings.paymentKey);
        request.headers.add("Idempotency-Key", spec.name);
        const std::string note = spec.abortsAnswer ? "[break]" : "";
        request.body = json{{"id", spec.name}, {"note", note}}.dump();
        return request;
    }
    request.url = url + "/v1/chat/completions";
    request.headers.add("Authorization", "Bearer " + settings.chatKey);
    const bool isStream = spec.kind == CallKind::Stream;
    request.body = testing::chatBody(promptOf(spec), spec.tokens, isStream);
    if (!isStream) {
        request.headers.add("Idempotency-Key", spec.name);
    }
    return request;
}

std::string expectedOf(const CallSpec &spec)
{
    return spec.kind == CallKind::Payment
               ? spec.name
               : standins::answerText("user\n" + promptOf(spec) + "\n", spec.tokens);
}

// Builds the record of a call from the events of its HTTP exchange.
class AnswerReader
{
public:
    explicit AnswerReader(const CallSpec &spec)
    {
        this->call.kind = spec.kind;
        this->call.key = spec.name;
        this->call.instance = spec.instance;
        this->call.expected = expectedOf(spec);
        this->call.startedMs = nowMs();
        this->promptTokens = standins::countTokens(promptOf(spec));
        const bool isChat = spec.kind != CallKind::Payment;
        this->call.maxBilledTokens = isChat ? this->promptTokens + spec.tokens : 0;
    }

    void setStatus(int status)
    {
        this->call.status = status;
    }

    void appendBody(const std::string &bytes)
    {
        if (!this->isStreamed()) {
            this->body += bytes;
            return;
        }
        std::vector<std::string> events;
        if (!this->parser.feed(bytes, events).ok()) {
            this->call.detail = "malformed stream";
        }
        for (const std::string &event : events) {
            this->parseEvent(event);
        }
    }

    Call finish(const http::ExchangeEvent &event)
    {
        this->call.endedMs = nowMs();
        if (event.kind == http::ExchangeEventKind::Error) {
            const bool isNotSent = event.error == http::ExchangeError::ConnectFailed;
            this->call.end = isNotSent ? CallEnd::NotSent : CallEnd::Broken;
            this->call.detail
                = fmt::format("{}: {}", http::exchangeErrorName(event.error), event.message);
        } else if (this->isStreamed()) {
            this->endStream();
        } else {
            this->endDocument();
        }
        const bool isChat = this->call.kind != CallKind::Payment;
        if (isChat && !this->call.text.empty()) {
            this->call.tokens = this->promptTokens + standins::countTokens(this->call.text);
        }
        return std::move(this->call);
    }

private:
    [[nodiscard]] bool isStreamed() const
    {
        return this->call.kind == CallKind::Stream && this->call.status == StatusSuccess;
    }

    void parseEvent(const std::string &event)
    {
        if (event == "[DONE]") {
            this->isDone = true;
            return;
        }
        const json chunk = json::parse(event, nullptr, false);
        if (!chunk.is_object()) {
            this->call.detail = "an event is not a JSON object: " + event;
        } else if (chunk.contains("error")) {
            this->problem = chunk.at("error");
        } else {
            this->appendChoices(chunk.value("choices", json::array()));
        }
    }

    void appendChoices(const json &choices)
    {
        for (const json &choice : choices) {
            const json delta = choice.value("delta", json::object());
            if (delta.contains("content") && delta.at("content").is_string()) {
                this->call.text += delta.at("content").get<std::string>();
            }
        }
    }

    void endStream()
    {
        if (!this->problem.is_null()) {
            this->recordRefusal(this->problem);
        } else if (this->isDone) {
            this->call.end = CallEnd::Answered;
        } else {
            this->call.end = CallEnd::Broken;
            this->call.detail += " the stream ended without [DONE]";
        }
    }

    void endDocument()
    {
        const json document = json::parse(this->body, nullptr, false);
        const bool isSuccess
            = this->call.status >= StatusSuccess && this->call.status < StatusRedirect;
        if (!document.is_object()) {
            this->call.end = isSuccess ? CallEnd::Answered : CallEnd::Broken;
            this->call.text = isSuccess ? this->body : "";
            this->call.detail = "the body is not a JSON object: " + this->body;
        } else if (!isSuccess) {
            this->recordRefusal(document);
        } else {
            this->call.end = CallEnd::Answered;
            this->call.text = textOf(document);
        }
    }

    [[nodiscard]] std::string textOf(const json &document) const
    {
        if (this->call.kind == CallKind::Payment) {
            return document.value("id", "");
        }
        const json::json_pointer content("/choices/0/message/content");
        return document.contains(content) ? document.at(content).get<std::string>() : "";
    }

    void recordRefusal(const json &document)
    {
        this->call.end = CallEnd::Refused;
        this->call.outcome = document.value("outcome", "");
        this->call.detail = document.dump();
    }

    Call call;
    requests::SseParser parser;
    std::string body;
    json problem;
    int64_t promptTokens = 0;
    bool isDone = false;
};

bool mayRetry(const Call &call)
{
    return call.kind == CallKind::Payment && call.end != CallEnd::Answered;
}

} // namespace

int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

Call performCall(http::Client &client, const CallerSettings &settings, const CallSpec &spec)
{
    AnswerReader reader(spec);
    http::Exchange exchange = client.start(requestOf(settings, spec));
    while (true) {
        const http::ExchangeEvent event = exchange.next(CallDeadline);
        switch (event.kind) {
        case http::ExchangeEventKind::Headers:
            reader.setStatus(event.status);
            break;
        case http::ExchangeEventKind::Data:
            reader.appendBody(event.bytes);
            break;
        case http::ExchangeEventKind::End:
        case http::ExchangeEventKind::Error:
            return reader.finish(event);
        case http::ExchangeEventKind::Nothing:
            break;
        }
    }
}

Caller::Caller(const CallerSettings &settings,
               std::string name,
               uint64_t seed,
               std::function<void(const Call &)> sink)
    : settings(settings)
    , name(std::move(name))
    , random(seed)
    , sink(std::move(sink))
    , instance(static_cast<int>(seed % settings.urls.size()))
{
}

void Caller::run(const std::atomic<bool> &stopping)
{
    while (!stopping) {
        const CallSpec spec = this->drawCall();
        const Call call = performCall(this->client, this->settings, spec);
        this->sink(call);
        if (call.end == CallEnd::Broken || call.end == CallEnd::NotSent) {
            this->switchInstance();
        }
        if (mayRetry(call) && !stopping) {
            this->retryPayment(spec);
        }
        this->pauseBetweenCalls();
    }
}

CallSpec Caller::drawCall()
{
    const uint64_t drawn = this->random() % Hundred;
    CallSpec spec;
    spec.kind = drawn < StreamShare                ? CallKind::Stream
                : drawn < StreamShare + WholeShare ? CallKind::Whole
                                                   : CallKind::Payment;
    spec.name = fmt::format("{}-{}", this->name, ++this->callCount);
    spec.tokens = 1 + static_cast<int>(this->random() % MaxAnswerTokens);
    spec.instance = this->instance;
    spec.abortsAnswer
        = spec.kind == CallKind::Payment && this->random() % Hundred < AbortedAnswerShare;
    return spec;
}

void Caller::retryPayment(CallSpec spec)
{
    this->pauseBetweenCalls();
    this->switchInstance();
    spec.instance = this->instance;
    this->sink(performCall(this->client, this->settings, spec));
}

void Caller::switchInstance()
{
    this->instance = (this->instance + 1) % static_cast<int>(this->settings.urls.size());
}

void Caller::pauseBetweenCalls()
{
    const uint64_t span = LongestPauseMs - ShortestPauseMs + 1;
    const int64_t drawn = ShortestPauseMs + static_cast<int64_t>(this->random() % span);
    std::this_thread::sleep_for(std::chrono::milliseconds(drawn));
}

} // namespace samphirebridge::soak
