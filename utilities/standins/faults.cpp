#include "utilities/standins/faults.h"

#include <charconv>
#include <utility>

namespace samphirebridge::standins
{

Faults::Faults(std::string standinId)
    : standinId(std::move(standinId))
{
}

std::optional<int64_t> Faults::consume(std::string_view kind, std::string_view text)
{
    {
        const std::lock_guard lock(this->mutex);
        for (PendingFault &fault : this->pendingFaults) {
            if (fault.kind == kind && fault.remaining > 0) {
                --fault.remaining;
                return fault.value;
            }
        }
    }
    const std::string markerStart = "[" + std::string(kind);
    for (size_t at = text.find(markerStart); at != std::string_view::npos;
         at = text.find(markerStart, at + 1)) {
        std::string_view rest = text.substr(at + markerStart.size());
        rest = rest.substr(0, rest.find(']'));
        const size_t idAt = rest.find('@');
        if (idAt != std::string_view::npos && rest.substr(idAt + 1) != this->standinId) {
            continue;
        }
        rest = rest.substr(0, idAt);
        if (!rest.empty() && rest[0] != '=') {
            continue; // Another fault, whose name begins with this one.
        }
        int64_t value = 0;
        if (!rest.empty()) {
            std::from_chars(rest.data() + 1, rest.data() + rest.size(), value);
        }
        return value;
    }
    return std::nullopt;
}

bool Faults::add(const nlohmann::json &fault)
{
    if (!fault.is_object() || !fault.contains("kind") || !fault["kind"].is_string()) {
        return false;
    }
    PendingFault added;
    added.kind = fault["kind"].get<std::string>();
    added.value = fault.value("value", int64_t{0});
    added.remaining = fault.value("count", int64_t{1});
    const std::lock_guard lock(this->mutex);
    this->pendingFaults.push_back(std::move(added));
    return true;
}

void Faults::clear()
{
    const std::lock_guard lock(this->mutex);
    this->pendingFaults.clear();
}

} // namespace samphirebridge::standins
