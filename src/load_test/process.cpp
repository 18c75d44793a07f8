#include "load_test/process.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <system_error>

namespace flintdale::load_test {

namespace {

constexpr int user_time_field = 14;  // of /proc/<id>/stat, counted from 1; the time in the kernel follows
constexpr int fields_before_rest = 2;

[[noreturn]] void fail(const char* what) { throw std::system_error(errno, std::generic_category(), what); }

double cpu_seconds(const std::string& directory) {
    std::ifstream in(directory + "/stat");
    std::string line;
    std::getline(in, line);
    // The name in the second field may hold spaces, but nothing after it has a parenthesis.
    const auto end_of_name = line.rfind(')');
    if (end_of_name == std::string::npos) return 0;
    std::istringstream rest(line.substr(end_of_name + 1));
    std::string skipped;
    for (int i = fields_before_rest + 1; i < user_time_field; ++i) rest >> skipped;
    double user = 0, system = 0;
    rest >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

std::size_t kilobytes(const std::string& line) {
    std::istringstream in(line.substr(line.find(':') + 1));
    std::size_t n = 0;
    in >> n;
    return n * 1024;
}

}  // namespace

std::optional<ProcessUsage> usage_of(pid_t id) {
    const auto directory = "/proc/" + std::to_string(id);
    std::ifstream status(directory + "/status");
    if (!status) return std::nullopt;
    ProcessUsage usage;
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmRSS:")) usage.resident_bytes = kilobytes(line);
        if (line.starts_with("VmHWM:")) usage.peak_bytes = kilobytes(line);
    }
    usage.cpu_s = cpu_seconds(directory);
    std::error_code ec;
    for (const auto& entry : std::filesystem::directory_iterator(directory + "/fd", ec)) {
        const auto target = std::filesystem::read_symlink(entry.path(), ec);
        usage.sockets += target.native().starts_with("socket:");
    }
    return usage;
}

ChildProcess::ChildProcess(const Command& command) {
    int in[2] = {-1, -1}, out[2] = {-1, -1};
    if (command.talks && (pipe2(in, O_CLOEXEC) != 0 || pipe2(out, O_CLOEXEC) != 0)) fail("pipe");
    const int log = open(command.log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (log < 0) fail(command.log_path.c_str());
    std::vector<char*> arguments;
    for (const auto& a : command.arguments) arguments.push_back(const_cast<char*>(a.c_str()));
    arguments.push_back(nullptr);
    const auto parent = getpid();
    id_ = fork();
    if (id_ < 0) fail("fork");
    if (id_ == 0) {
        // Whatever becomes of the parent, the child does not outlive it.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent) _exit(1);
        if (command.talks) {
            dup2(in[0], STDIN_FILENO);
            dup2(out[1], STDOUT_FILENO);
        }
        dup2(log, STDERR_FILENO);
        execv(arguments[0], arguments.data());
        _exit(127);
    }
    close(log);
    if (command.talks) {
        close(in[0]);
        close(out[1]);
        to_child_ = in[1];
        from_child_ = out[0];
    }
}

bool ChildProcess::running() {
    if (id_ < 0) return false;
    int status = 0;
    if (waitpid(id_, &status, WNOHANG) == 0) return true;
    id_ = -1;
    return false;
}

void ChildProcess::kill() {
    if (id_ < 0) return;
    ::kill(id_, SIGKILL);
    int status = 0;
    waitpid(id_, &status, 0);
    id_ = -1;
}

}  // namespace flintdale::load_test
