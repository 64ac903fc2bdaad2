// Feeds arbitrary bodies to the chat request parser. Checks that each accepted request has bounded
// tokens and renders to a body that is accepted again.
#include "samphirebridge/requests/chatrequest.h"

#include <cstdint>
#include <cstdlib>
#include <string_view>

using namespace samphirebridge;
using namespace samphirebridge::requests;

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    constexpr int64_t MaximumOutput = 100;
    const std::string_view body(reinterpret_cast<const char *>(data), size);
    const auto request = ChatRequest::parse(body, MaximumOutput);
    if (!request.ok()) {
        return 0;
    }
    const std::string rendered = request->render("so far", 1, 0);
    const auto parsedAgain = ChatRequest::parse(rendered, MaximumOutput);
    const bool isBounded = request->outputBound() >= 1 && request->outputBound() <= MaximumOutput
                           && request->reservationBound() > request->promptBound();
    if (!parsedAgain.ok() || parsedAgain->model() != request->model() || !isBounded) {
        std::abort();
    }
    static_cast<void>(request->promptText());
    return 0;
}
