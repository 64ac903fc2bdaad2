#include "tests/support/childprocess.h"

#include "tests/support/temporaryfolder.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <stdexcept>
#include <utility>

namespace samphirebridge::testing
{

ChildProcess::ChildProcess(const std::string &program,
                           const std::vector<std::string> &arguments,
                           const std::filesystem::path &log)
{
    std::vector<std::string> commandLine{program};
    commandLine.insert(commandLine.end(), arguments.begin(), arguments.end());
    std::vector<char *> argv;
    argv.reserve(commandLine.size() + 1);
    for (std::string &argument : commandLine) {
        argv.push_back(argument.data());
    }
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(
        &actions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const int error
        = posix_spawn(&this->id, program.c_str(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        throw std::runtime_error("cannot start " + program);
    }
}

ChildProcess::~ChildProcess()
{
    this->kill();
}

ChildProcess::ChildProcess(ChildProcess &&other) noexcept
    : id(std::exchange(other.id, -1))
{
}

ChildProcess &ChildProcess::operator=(ChildProcess &&other) noexcept
{
    this->kill();
    this->id = std::exchange(other.id, -1);
    return *this;
}

void ChildProcess::signal(int number) const
{
    if (this->id > 0) {
        ::kill(this->id, number);
    }
}

int ChildProcess::wait()
{
    if (this->id <= 0) {
        return 0;
    }
    int status = 0;
    waitpid(this->id, &status, 0);
    this->id = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

void ChildProcess::kill()
{
    if (this->id <= 0) {
        return;
    }
    ::kill(this->id, SIGKILL);
    this->wait();
}

bool ChildProcess::running() const
{
    // WNOWAIT leaves the exit status for wait(): once it is collected, the kernel may give the id
    // to another process.
    siginfo_t ended{};
    return this->id > 0
           && waitid(P_PID, static_cast<id_t>(this->id), &ended, WEXITED | WNOHANG | WNOWAIT) == 0
           && ended.si_pid == 0;
}

pid_t ChildProcess::processId() const
{
    return this->id;
}

ProgramResult runProgram(const std::string &program,
                         const std::vector<std::string> &arguments,
                         const std::filesystem::path &folder)
{
    const std::filesystem::path log = folder / "program.log";
    std::filesystem::remove(log);
    ChildProcess process(program, arguments, log);
    ProgramResult result;
    result.exitCode = process.wait();
    result.output = readFile(log);
    return result;
}

} // namespace samphirebridge::testing
