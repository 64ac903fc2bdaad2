#include "samphirebridge/storage/memberidentity.h"

#include <fmt/format.h>

namespace samphirebridge::storage
{

std::string memberName(std::string_view instance, uint64_t generation)
{
    return fmt::format("{}/{}", instance, generation);
}

std::string_view instanceOf(std::string_view member)
{
    return member.substr(0, member.rfind('/'));
}

} // namespace samphirebridge::storage
