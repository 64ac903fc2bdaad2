#include "utilities/standins/platformtarget.h"

#include "platform/names.h"

#include <chrono>
#include <cstdlib>
#include <string_view>
#include <thread>

namespace samphirebridge::standins
{

namespace
{

namespace header = platform::header;

constexpr int64_t AnnouncedSlots = 16; // Not enforced.

// How much longer a cold target says that it is cold.
constexpr int ColdTimeMs = 20'000;
constexpr std::string_view AnswerText = "done";
constexpr std::chrono::milliseconds EventInterval{20};
constexpr size_t BodyPartBytes = size_t{64} * 1024;

} // namespace

PlatformTarget::PlatformTarget(const PlatformTargetSettings &settings)
    : settings(settings)
    , faults(settings.id)
    , log(settings.runLog)
{
}

void PlatformTarget::serve(const http::Request &request, http::ResponseWriter &writer)
{
    const std::string id(request.headers.find(header::RequestId).value_or(""));
    http::Headers headers{{std::string(header::RequestId), id}};
    if (request.headers.find(header::OnlyTarget).value_or("") != this->settings.id) {
        headers.add(std::string(header::NotRun), "1");
        writer.send(421, headers, "");
        return;
    }
    const std::string text = request.path + request.body;
    this->log.write({{"event", "run"}, {"target", this->settings.id}, {"request", id}});
    if (this->faults.consume("crash", text)) {
        std::_Exit(EXIT_FAILURE);
    }
    if (const auto delay = this->faults.consume("crash-in", text)) {
        std::this_thread::sleep_for(std::chrono::milliseconds(*delay));
        std::_Exit(EXIT_FAILURE);
    }
    std::this_thread::sleep_for(this->settings.delay);
    if (this->crashesOn(request)) {
        std::_Exit(EXIT_FAILURE);
    }
    headers.add(std::string(header::TargetSignature), this->settings.id);
    if (const auto events = this->faults.consume("stream", text)) {
        const std::chrono::milliseconds silence(this->faults.consume("silent", text).value_or(0));
        sendEvents(request, writer, headers, *events, silence);
        return;
    }
    if (const auto bytes = this->faults.consume("body", text)) {
        sendBody(writer, headers, *bytes, this->faults.consume("hang", text).has_value());
        return;
    }
    const bool failed = this->faults.consume("error", text).has_value();
    if (this->faults.consume("break", text)) {
        headers.add("Content-Length", std::to_string(2 * AnswerText.size()));
        writer.begin(200, headers);
        writer.write(AnswerText);
        return;
    }
    writer.send(failed ? 500 : 200, headers, AnswerText);
}

bool PlatformTarget::crashesOn(const http::Request &request) const
{
    if (this->settings.crashPart.empty()) {
        return false;
    }
    const std::string_view prompt = request.headers.find(header::PromptParts).value_or("");
    const std::string_view shared = prompt.substr(0, prompt.rfind(',') + 1);
    return shared.find(this->settings.crashPart + ":") != std::string_view::npos;
}

void PlatformTarget::sendBody(http::ResponseWriter &writer,
                              const http::Headers &headers,
                              int64_t bytes,
                              bool hangs)
{
    if (!hangs) {
        writer.send(200, headers, std::string(static_cast<size_t>(bytes), 'x'));
        return;
    }
    const std::string part(BodyPartBytes, 'x');
    writer.begin(200, headers);
    for (int64_t sent = 0; sent < bytes; sent += static_cast<int64_t>(part.size())) {
        writer.write(part);
    }
    while (!writer.callerDisconnected()) {
        std::this_thread::sleep_for(EventInterval);
    }
}

void PlatformTarget::sendEvents(const http::Request &request,
                                http::ResponseWriter &writer,
                                const http::Headers &headers,
                                int64_t count,
                                std::chrono::milliseconds silence)
{
    const std::string lastId(request.headers.find(header::LastEvent).value_or("0"));
    const int64_t first = std::strtoll(lastId.c_str(), nullptr, 10) + 1;
    writer.begin(200, headers);
    for (int64_t id = first; id <= count; ++id) {
        writer.write("id: " + std::to_string(id) + "\ndata: x\n\n");
        std::this_thread::sleep_for(id == first ? silence : EventInterval);
        if (writer.callerDisconnected()) {
            return;
        }
    }
    writer.end();
}

nlohmann::json PlatformTarget::heartbeat(bool leaving)
{
    const uint64_t number = ++this->sequence;
    const bool isCold = this->settings.coldFrom > 0 && number >= this->settings.coldFrom;
    return {{"State", leaving ? "draining" : "ready"},
            {"Slots", AnnouncedSlots},
            {"ColdRemainingMs", isCold ? ColdTimeMs : 0},
            {"Sequence", number}};
}

} // namespace samphirebridge::standins
