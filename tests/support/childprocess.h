// A process that a test starts and ends.
#pragma once

#include <sys/types.h>

#include <filesystem>
#include <string>
#include <vector>

namespace samphirebridge::testing
{

// Killed by its id when the object goes, if it still runs.
class ChildProcess
{
public:
    // Starts the program with standard output and error appended to the log file.
    ChildProcess(const std::string &program,
                 const std::vector<std::string> &arguments,
                 const std::filesystem::path &log);
    ~ChildProcess();
    ChildProcess(ChildProcess &&other) noexcept;
    ChildProcess &operator=(ChildProcess &&other) noexcept;

    void signal(int number) const;

    // Waits for the end and returns the exit code, or minus the number of the signal.
    int wait();

    // SIGKILL and wait.
    void kill();

    [[nodiscard]] bool running() const;

    [[nodiscard]] pid_t processId() const;

private:
    pid_t id = -1;
};

// What a program that ran to its end left behind.
struct ProgramResult {
    int exitCode = 0;
    std::string output; // Standard output and error.
};

// Runs a program to its end.
ProgramResult runProgram(const std::string &program,
                         const std::vector<std::string> &arguments,
                         const std::filesystem::path &folder);

} // namespace samphirebridge::testing
