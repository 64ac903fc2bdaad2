#include "utilities/standins/platformtarget.h"

#include "platform/names.h"

#include <chrono>
#include <cstdlib>
#include <thread>

namespace samphirebridge::standins
{

namespace
{

namespace header = platform::header;

constexpr int64_t AnnouncedSlots = 16; // Not enforced.
constexpr std::string_view AnswerText = "done";

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
    headers.add(std::string(header::TargetSignature), this->settings.id);
    const bool failed = this->faults.consume("error", text).has_value();
    if (this->faults.consume("break", text)) {
        headers.add("Content-Length", std::to_string(2 * AnswerText.size()));
        writer.begin(200, headers);
        writer.write(AnswerText);
        return;
    }
    writer.send(failed ? 500 : 200, headers, AnswerText);
}

nlohmann::json PlatformTarget::heartbeat(bool leaving)
{
    return {{"State", leaving ? "draining" : "ready"},
            {"Slots", AnnouncedSlots},
            {"ColdRemainingMs", 0},
            {"Sequence", ++this->sequence}};
}

} // namespace samphirebridge::standins
