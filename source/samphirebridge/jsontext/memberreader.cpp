#include "samphirebridge/jsontext/memberreader.h"

#include <fmt/format.h>

namespace samphirebridge::jsontext
{

MemberReader::MemberReader(const nlohmann::json &readObject,
                           core::ErrorCode errorCode,
                           std::string_view objectPlace)
    : object(readObject)
    , code(errorCode)
    , place(objectPlace)
{
}

std::string MemberReader::text(const char *member)
{
    const auto found = this->object.find(member);
    if (found == this->object.end() || !found->is_string()) {
        this->fail(member, "a string");
        return {};
    }
    return found->get<std::string>();
}

uint64_t MemberReader::number(const char *member)
{
    const auto found = this->object.find(member);
    if (found == this->object.end() || !found->is_number_unsigned()) {
        this->fail(member, "a whole number, not negative");
        return 0;
    }
    return found->get<uint64_t>();
}

uint32_t MemberReader::smallNumber(const char *member)
{
    const uint64_t value = this->number(member);
    if (value > UINT32_MAX) {
        this->fail(member, "a whole number below 2^32");
        return 0;
    }
    return static_cast<uint32_t>(value);
}

double MemberReader::real(const char *member)
{
    const auto found = this->object.find(member);
    if (found == this->object.end() || !found->is_number()) {
        this->fail(member, "a number");
        return 0;
    }
    return found->get<double>();
}

std::string MemberReader::textOr(const char *member, std::string_view fallback)
{
    return this->has(member) ? this->text(member) : std::string(fallback);
}

uint64_t MemberReader::numberOr(const char *member, uint64_t fallback)
{
    return this->has(member) ? this->number(member) : fallback;
}

double MemberReader::realOr(const char *member, double fallback)
{
    return this->has(member) ? this->real(member) : fallback;
}

bool MemberReader::flagOr(const char *member, bool fallback)
{
    const auto found = this->object.find(member);
    if (found == this->object.end()) {
        return fallback;
    }
    if (!found->is_boolean()) {
        this->fail(member, "true or false");
        return fallback;
    }
    return found->get<bool>();
}

const nlohmann::json &MemberReader::list(const char *member)
{
    static const nlohmann::json none = nlohmann::json::array();
    const auto found = this->object.find(member);
    if (found == this->object.end()) {
        return none;
    }
    if (!found->is_array()) {
        this->fail(member, "a list");
        return none;
    }
    return *found;
}

bool MemberReader::has(const char *member) const
{
    return this->object.contains(member);
}

void MemberReader::fail(std::string_view member, std::string_view accepted)
{
    if (!this->status.ok()) {
        return;
    }
    this->status
        = core::makeError(this->code,
                          fmt::format("{}\"{}\" is missing or of another type; accepted is {}",
                                      this->place.empty() ? "" : this->place + ": ",
                                      member,
                                      accepted));
}

} // namespace samphirebridge::jsontext
