// The program samphirebridged without an interface of a deployment.
#include "samphirebridge/daemon/processrunner.h"

#include <cstddef>
#include <span>

int main(int argc, char **argv)
{
    const std::span<const char *const> arguments(argv, static_cast<size_t>(argc));
    return samphirebridge::daemon::runProcess(arguments.subspan(1), {});
}
