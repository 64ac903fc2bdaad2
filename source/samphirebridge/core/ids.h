// Identifiers. Each kind is a type of its own, so that the compiler rejects one in place of
// another.
#pragma once

#include <absl/status/status.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace samphirebridge::core
{

// A name that an operator or a peer chose. Only the tag differs between the kinds of name. The
// value is not validated, see checkName().
template <typename Tag>
struct Id {
    std::string value;

    Id() = default;
    explicit Id(std::string_view name)
        : value(name)
    {
    }

    [[nodiscard]] bool empty() const
    {
        return this->value.empty();
    }

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the zero in <=> for a pointer.
    friend auto operator<=>(const Id &, const Id &) = default;

    // Lets absl's hash containers use the id as a key.
    template <typename H>
    friend H AbslHashValue(H state, const Id &id)
    {
        return H::combine(std::move(state), id.value);
    }
};

using InstanceId = Id<struct InstanceTag>;
using TargetId = Id<struct TargetTag>;
using OrganisationId = Id<struct OrganisationTag>;
using BudgetId = Id<struct BudgetTag>;
using ServiceId = Id<struct ServiceTag>;
using ModelId = Id<struct ModelTag>;
using DataCentreId = Id<struct DataCentreTag>;

// The number of one run of an instance's or a target's process. A higher incarnation proves that
// the processes with lower ones have ended.
using Incarnation = uint64_t;

// One process of an instance, as registered with the ledger. Escrow and claims belong to holders.
struct HolderId {
    InstanceId instance;
    Incarnation incarnation = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the zero in <=> for a pointer.
    friend auto operator<=>(const HolderId &, const HolderId &) = default;

    template <typename H>
    friend H AbslHashValue(H state, const HolderId &holder)
    {
        return H::combine(std::move(state), holder.instance, holder.incarnation);
    }
};

// The key by which a caller identifies a request and its resends; unique within the organisation.
struct RequestKey {
    OrganisationId organisation;
    std::string key;

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the zero in <=> for a pointer.
    friend auto operator<=>(const RequestKey &, const RequestKey &) = default;

    template <typename H>
    friend H AbslHashValue(H state, const RequestKey &requestKey)
    {
        return H::combine(std::move(state), requestKey.organisation, requestKey.key);
    }
};

// The longest name that a manifest, an announcement or a header may carry, in bytes.
inline constexpr size_t MaximumIdLength = 128;

// Returns InvalidName unless the name has 1 to MaximumIdLength bytes, all of them ASCII letters,
// digits, '-', '_', '.', ':' or '/'.
absl::Status checkName(std::string_view name);

} // namespace samphirebridge::core
