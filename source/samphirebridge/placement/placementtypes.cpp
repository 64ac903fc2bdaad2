#include "samphirebridge/placement/placementtypes.h"

namespace samphirebridge::placement
{

std::string_view orderName(OrderKind kind)
{
    switch (kind) {
    case OrderKind::Load:
        return "load";
    case OrderKind::Unload:
        return "unload";
    case OrderKind::ChangeRole:
        return "change_role";
    }
    return "load";
}

std::string_view roleName(Role role)
{
    switch (role) {
    case Role::Mixed:
        return "mixed";
    case Role::Prefill:
        return "prefill";
    case Role::Decode:
        return "decode";
    }
    return "mixed";
}

} // namespace samphirebridge::placement
