// Decodes and checks arbitrary bytes as a configuration document. Malformed input must give an
// error, no crash.
#include "platform/declarationwire.h"
#include "samphirebridge/forwarding/declarationcheck.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    const auto declaration = samphirebridge::platform::decodeDeclaration(text);
    if (declaration.ok()) {
        (void)samphirebridge::forwarding::checkDeclaration(*declaration);
    }
    return 0;
}
