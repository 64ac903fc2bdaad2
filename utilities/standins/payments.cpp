#include "utilities/standins/payments.h"

#include <cstdlib>
#include <thread>

namespace samphirebridge::standins
{

namespace
{

using nlohmann::json;

constexpr std::string_view PaymentsPath = "/v1/payments";
constexpr std::string_view AttemptHeader = "Samphirebridge-Attempt";
constexpr size_t ExcessLength = 10; // Bytes that `wrong-length` adds to the Content-Length.
constexpr int64_t AnnouncedCapacity = 64; // Concurrent payments; not enforced.

void answerJson(http::ResponseWriter &writer, int status, const json &body)
{
    writer.send(status, {{"Content-Type", "application/json"}}, body.dump());
}

std::string paymentKeyOf(const http::Request &request)
{
    const auto key = request.headers.find("Idempotency-Key");
    if (key) {
        return std::string(*key);
    }
    const json body = json::parse(request.body, nullptr, false);
    const bool hasId = body.is_object() && body.contains("id") && body["id"].is_string();
    return hasId ? body["id"].get<std::string>() : "";
}

} // namespace

Payments::Payments(const PaymentsSettings &settings)
    : settings(settings)
    , faults(settings.id)
    , log(settings.runLog)
{
}

void Payments::serve(const http::Request &request, http::ResponseWriter &writer)
{
    const std::string statusPrefix = std::string(PaymentsPath) + "/";
    if (request.path == PaymentsPath && request.method == "POST") {
        this->servePayment(request, writer);
    } else if (request.path.starts_with(statusPrefix) && request.method == "GET") {
        this->serveStatus(request.path.substr(statusPrefix.size()), writer);
    } else if (request.path == "/standin/stats") {
        answerJson(writer, 200, this->stats());
    } else if (request.path == "/standin/faults" && request.method == "DELETE") {
        this->faults.clear();
        answerJson(writer, 200, json::object());
    } else if (request.path == "/standin/faults") {
        const bool added = this->faults.add(json::parse(request.body, nullptr, false));
        answerJson(writer, added ? 200 : 400, json::object());
    } else {
        answerJson(writer, 404, {{"error", "no such path"}});
    }
}

nlohmann::json Payments::load() const
{
    const std::lock_guard lock(this->mutex);
    return {{"running", this->running},
            {"queued", 0},
            {"capacity", AnnouncedCapacity},
            {"tokens_per_s", 0.0}};
}

nlohmann::json Payments::stats() const
{
    const std::lock_guard lock(this->mutex);
    int64_t runs = 0;
    for (const auto &[key, count] : this->runsPerKey) {
        runs += count;
    }
    return {{"runs", runs}, {"runs_per_key", this->runsPerKey}};
}

int64_t Payments::runsOf(const std::string &key) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->runsPerKey.find(key);
    return found == this->runsPerKey.end() ? 0 : found->second;
}

bool Payments::recordRun(const std::string &key, const std::string &attempt)
{
    const std::lock_guard lock(this->mutex);
    int64_t &count = this->runsPerKey[key];
    if (this->settings.deduplicates && count > 0) {
        return false;
    }
    ++count;
    this->log.write({{"event", "run"}, {"key", key}, {"attempt", attempt}});
    return true;
}

void Payments::servePayment(const http::Request &request, http::ResponseWriter &writer)
{
    const std::string key = paymentKeyOf(request);
    if (key.empty()) {
        answerJson(writer, 400, {{"error", "neither an Idempotency-Key nor an id"}});
        return;
    }
    const std::string attempt(request.headers.find(AttemptHeader).value_or(""));
    if (this->faults.consume("refuse", request.body)) {
        answerJson(writer, 503, {{"error", "refused on demand"}});
        return;
    }
    if (this->faults.consume("crash-before", request.body)) {
        std::_Exit(EXIT_FAILURE);
    }
    const auto delay = this->faults.consume("delay", request.body);
    std::this_thread::sleep_for(delay ? std::chrono::milliseconds(*delay) : this->settings.delay);
    const bool isFirst = this->recordRun(key, attempt);
    if (this->faults.consume("crash-after", request.body)) {
        std::_Exit(EXIT_FAILURE);
    }
    const bool breaksOff = this->faults.consume("break", request.body).has_value();
    const bool hasWrongAttempt = this->faults.consume("wrong-attempt", request.body).has_value();
    const bool hasWrongLength = this->faults.consume("wrong-length", request.body).has_value();
    const std::string body = json{{"id", key}, {"status", "paid"}, {"first", isFirst}}.dump();
    const size_t length = body.size() + (hasWrongLength ? ExcessLength : 0);
    writer.begin(201,
                 {{"Content-Type", "application/json"},
                  {"Content-Length", std::to_string(length)},
                  {std::string(AttemptHeader), hasWrongAttempt ? "another-attempt" : attempt}});
    writer.write(breaksOff ? body.substr(0, body.size() / 2) : body);
    writer.end();
}

void Payments::serveStatus(const std::string &id, http::ResponseWriter &writer) const
{
    const int64_t runs = this->runsOf(id);
    const std::string status = runs > 0 ? "paid" : "unknown";
    answerJson(writer, runs > 0 ? 200 : 404, {{"id", id}, {"runs", runs}, {"status", status}});
}

} // namespace samphirebridge::standins
