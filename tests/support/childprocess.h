// Child processes that tests start, signal and wait for.
#pragma once

#include <sys/types.h>

#include <filesystem>
#include <string>
#include <vector>

namespace samphirebridge::testing
{

// Owns a child process. The destructor kills it with SIGKILL if it is still running and waits for
// it.
class ChildProcess
{
public:
    // Starts the program with standard output and error appended to the log file. Throws
    // std::runtime_error if the program cannot be started.
    ChildProcess(const std::string &program,
                 const std::vector<std::string> &arguments,
                 const std::filesystem::path &log);
    ~ChildProcess();
    ChildProcess(ChildProcess &&other) noexcept;
    ChildProcess &operator=(ChildProcess &&other) noexcept;

    // Sends the signal, unless the process has been waited for.
    void signal(int number) const;

    // Waits until the process exits. Returns its exit code, or the negated number of the signal
    // that ended it; 0 if it has been waited for before.
    int wait();

    // Sends SIGKILL and waits until the process has exited.
    void kill();

    [[nodiscard]] bool running() const;

    // Returns -1 once the process has been waited for.
    [[nodiscard]] pid_t processId() const;

private:
    pid_t id = -1;
};

// The result of a program that has exited.
struct ProgramResult {
    int exitCode = 0; // As ChildProcess::wait() returns it.
    std::string output; // Standard output and error.
};

// Runs a program until it exits. Its output goes through program.log in the folder, which is
// replaced.
ProgramResult runProgram(const std::string &program,
                         const std::vector<std::string> &arguments,
                         const std::filesystem::path &folder);

} // namespace samphirebridge::testing
