#include "samphirebridge/gateway/requestfields.h"

#include <absl/strings/str_split.h>

#include <algorithm>

namespace samphirebridge::gateway
{

std::vector<std::string> pathParts(const std::string &path)
{
    return absl::StrSplit(path, '/', absl::SkipEmpty());
}

bool matchesPattern(const std::vector<std::string_view> &pattern,
                    const std::vector<std::string> &parts)
{
    return std::equal(pattern.begin(),
                      pattern.end(),
                      parts.begin(),
                      parts.end(),
                      [](std::string_view expected, const std::string &part) {
                          return expected == "*" || expected == part;
                      });
}

std::optional<std::string> queryParameter(const http::Request &request, std::string_view name)
{
    const std::vector<std::string> pairs = absl::StrSplit(request.query, '&', absl::SkipEmpty());
    for (const std::string &pair : pairs) {
        const size_t equals = pair.find('=');
        if (equals != std::string::npos && pair.substr(0, equals) == name) {
            return pair.substr(equals + 1);
        }
    }
    return std::nullopt;
}

std::optional<int64_t> integerMember(const nlohmann::json &object, const char *member)
{
    const auto found = object.find(member);
    if (found == object.end() || !found->is_number_integer()) {
        return std::nullopt;
    }
    return found->get<int64_t>();
}

std::optional<std::string> textMember(const nlohmann::json &object, const char *member)
{
    const auto found = object.find(member);
    if (found == object.end() || !found->is_string() || found->get<std::string>().empty()) {
        return std::nullopt;
    }
    return found->get<std::string>();
}

} // namespace samphirebridge::gateway
