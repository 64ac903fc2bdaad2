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
constexpr int MostTokens = 40;
constexpr int64_t ShortestPauseMs = 20;
constexpr int64_t LongestPauseMs = 150;
// Of a caller's calls, in hundredths.
constexpr uint64_t StreamShare = 45;
constexpr uint64_t WholeShare = 20;
// Of the payments, in hundredths.
constexpr uint64_t BreakShare = 5;
constexpr uint64_t Hundred = 100;

std::string promptOf(const Script &script)
{
    return "letter " + script.name;
}

http::ClientRequest requestOf(const CallerSettings &settings, const Script &script)
{
    http::ClientRequest request;
    request.method = "POST";
    request.deadline = CallDeadline;
    request.connection = http::ConnectionUse::Pooled;
    request.headers.add("Content-Type", "application/json");
    const std::string &url = settings.urls.at(static_cast<size_t>(script.instance));
    if (script.kind == CallKind::Payment) {
        request.url = url + "/v1/payments";
        request.headers.add("Authorization", "Bearer " + settings.paymentKey);
        request.headers.add("Idempotency-Key", script.name);
        const std::string note = script.breaks ? "[break]" : "";
        request.body = json{{"id", script.name}, {"note", note}}.dump();
        return request;
    }
    request.url = url + "/v1/chat/completions";
    request.headers.add("Authorization", "Bearer " + settings.chatKey);
    const bool isStream = script.kind == CallKind::Stream;
    request.body = testing::chatBody(promptOf(script), script.tokens, isStream);
    if (!isStream) {
        request.headers.add("Idempotency-Key", script.name);
    }
    return request;
}

std::string expectedOf(const Script &script)
{
    return script.kind == CallKind::Payment
               ? script.name
               : standins::answerText("user\n" + promptOf(script) + "\n", script.tokens);
}

// Follows one answer.
class Listener
{
public:
    explicit Listener(const Script &script)
    {
        this->call.kind = script.kind;
        this->call.key = script.name;
        this->call.instance = script.instance;
        this->call.expected = expectedOf(script);
        this->call.startedMs = nowMs();
        this->promptTokens = standins::countTokens(promptOf(script));
        const bool isChat = script.kind != CallKind::Payment;
        this->call.mostTokens = isChat ? this->promptTokens + script.tokens : 0;
    }

    void takeHead(int status)
    {
        this->call.status = status;
    }

    void takeBytes(const std::string &bytes)
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
            this->takeEvent(event);
        }
    }

    Call end(const http::ExchangeEvent &event)
    {
        this->call.endedMs = nowMs();
        if (event.kind == http::ExchangeEventKind::Error) {
            const bool isUnsent = event.error == http::ExchangeError::ConnectFailed;
            this->call.end = isUnsent ? CallEnd::NotSent : CallEnd::Broken;
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

    void takeEvent(const std::string &event)
    {
        if (event == "[DONE]") {
            this->isDone = true;
            return;
        }
        const json chunk = json::parse(event, nullptr, false);
        if (!chunk.is_object()) {
            this->call.detail = "an event is no JSON object: " + event;
        } else if (chunk.contains("error")) {
            this->problem = chunk.at("error");
        } else {
            this->takeChoices(chunk.value("choices", json::array()));
        }
    }

    void takeChoices(const json &choices)
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
            this->takeProblem(this->problem);
        } else if (this->isDone) {
            this->call.end = CallEnd::Answered;
        } else {
            this->call.end = CallEnd::Broken;
            this->call.detail += " the stream ended without its last event";
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
            this->call.detail = "the body is no JSON object: " + this->body;
        } else if (!isSuccess) {
            this->takeProblem(document);
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

    void takeProblem(const json &document)
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

bool mayRepeat(const Call &call)
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

Call perform(http::Client &client, const CallerSettings &settings, const Script &script)
{
    Listener listener(script);
    http::Exchange exchange = client.start(requestOf(settings, script));
    while (true) {
        const http::ExchangeEvent event = exchange.next(CallDeadline);
        switch (event.kind) {
        case http::ExchangeEventKind::Headers:
            listener.takeHead(event.status);
            break;
        case http::ExchangeEventKind::Data:
            listener.takeBytes(event.bytes);
            break;
        case http::ExchangeEventKind::End:
        case http::ExchangeEventKind::Error:
            return listener.end(event);
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
    , dice(seed)
    , sink(std::move(sink))
    , instance(static_cast<int>(seed % settings.urls.size()))
{
}

void Caller::run(const std::atomic<bool> &stopping)
{
    while (!stopping) {
        const Script script = this->nextScript();
        const Call call = perform(this->client, this->settings, script);
        this->sink(call);
        if (call.end == CallEnd::Broken || call.end == CallEnd::NotSent) {
            this->moveOn();
        }
        if (mayRepeat(call) && !stopping) {
            this->repeatPayment(script);
        }
        this->pause();
    }
}

Script Caller::nextScript()
{
    const uint64_t drawn = this->dice() % Hundred;
    Script script;
    script.kind = drawn < StreamShare                ? CallKind::Stream
                  : drawn < StreamShare + WholeShare ? CallKind::Whole
                                                     : CallKind::Payment;
    script.name = fmt::format("{}-{}", this->name, ++this->number);
    script.tokens = 1 + static_cast<int>(this->dice() % MostTokens);
    script.instance = this->instance;
    script.breaks = script.kind == CallKind::Payment && this->dice() % Hundred < BreakShare;
    return script;
}

void Caller::repeatPayment(Script script)
{
    this->pause();
    this->moveOn();
    script.instance = this->instance;
    this->sink(perform(this->client, this->settings, script));
}

void Caller::moveOn()
{
    this->instance = (this->instance + 1) % static_cast<int>(this->settings.urls.size());
}

void Caller::pause()
{
    const uint64_t span = LongestPauseMs - ShortestPauseMs + 1;
    const int64_t drawn = ShortestPauseMs + static_cast<int64_t>(this->dice() % span);
    std::this_thread::sleep_for(std::chrono::milliseconds(drawn));
}

} // namespace samphirebridge::soak
