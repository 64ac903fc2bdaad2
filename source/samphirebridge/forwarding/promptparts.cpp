#include "samphirebridge/forwarding/promptparts.h"

#include <fmt/format.h>

#include <algorithm>

namespace samphirebridge::forwarding
{

std::span<const PromptPart> sharedPartsOf(std::span<const PromptPart> prompt)
{
    return prompt.first(prompt.empty() ? 0 : prompt.size() - 1);
}

std::string formatSharedParts(std::span<const PromptPart> prompt)
{
    const std::span<const PromptPart> shared = sharedPartsOf(prompt);
    const size_t listed = std::min(shared.size(), MaximumLoggedParts);
    std::string text;
    for (const PromptPart &part : shared.first(listed)) {
        text += fmt::format("{}{:x}", text.empty() ? "" : ",", part.id);
    }
    if (shared.size() > listed) {
        text += fmt::format(",+{}", shared.size() - listed);
    }
    return text;
}

} // namespace samphirebridge::forwarding
