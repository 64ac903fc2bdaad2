// Checks that any input is either valid settings, consistent with each other, or refused with
// InvalidSettings or TooLarge, without a crash.
#include "samphirebridge/settings/settings.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>

using namespace samphirebridge;

namespace
{

void require(bool condition)
{
    if (!condition) {
        std::abort();
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    const settings::CheckedSettings checked = settings::checkSettings(text, "fuzz");
    if (!checked.problems.empty()) {
        const absl::Status status = settings::statusOf(checked.problems);
        const core::ErrorCode code = core::errorCodeOf(status);
        require(code == core::ErrorCode::InvalidSettings || code == core::ErrorCode::TooLarge);
        return 0;
    }
    const settings::Settings &settings = checked.settings;
    require(settings.self().id == settings.instance);
    require(settings.self().roles == settings.roles);
    require(settings.roles.control != settings.dataFolder.empty());
    require(settings.consensus.electionTimeout >= 3 * settings.consensus.heartbeat);
    require(settings.http.listen.port != 0 && settings.rpcListen.port != 0);
    return 0;
}
