#include "samphirebridge/jsontext/parseobject.h"

#include "samphirebridge/jsontext/nesting.h"

#include <set>
#include <string>
#include <vector>

namespace samphirebridge::jsontext
{

std::optional<nlohmann::json> parseObject(std::string_view text)
{
    if (exceedsMaximumNesting(text)) {
        return std::nullopt;
    }
    using Event = nlohmann::json::parse_event_t;
    // The names of the members read so far in each enclosing object, outermost first.
    std::vector<std::set<std::string>> members;
    bool repeated = false;
    const auto recordMembers
        = [&members, &repeated](int /*depth*/, Event event, nlohmann::json &value) {
              if (event == Event::object_start) {
                  members.emplace_back();
              } else if (event == Event::object_end) {
                  members.pop_back();
              } else if (event == Event::key) {
                  repeated = repeated || !members.back().insert(value.get<std::string>()).second;
              }
              return true;
          };
    nlohmann::json document = nlohmann::json::parse(text, recordMembers, false);
    if (!document.is_object() || repeated) {
        return std::nullopt;
    }
    return document;
}

} // namespace samphirebridge::jsontext
