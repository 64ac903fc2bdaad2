// Identifiers, each kind a type of its own so that they cannot be exchanged by mistake.
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

// A name that operators or peers chose. The tag keeps the kinds apart.
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

// One life of a process. A higher incarnation proves that the lower ones are over.
using Incarnation = uint64_t;

// An instance's process as the ledger knows it: who may hold escrow and claims.
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

// What a caller names a request by: unique within its organisation.
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

// Accepts names of 1 to MaximumIdLength bytes out of letters, digits, '-', '_', '.', ':' and '/'.
// Otherwise InvalidName, with what was found.
absl::Status checkName(std::string_view name);

} // namespace samphirebridge::core
