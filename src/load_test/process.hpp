// Child processes of a scale run: started, watched, killed by their ids.
#pragma once
#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace flintdale::load_test {

// What a process has used so far.
struct ProcessUsage {
    double cpu_s = 0;
    std::size_t resident_bytes = 0, peak_bytes = 0, sockets = 0;
};

// Nothing if there is no such process, or it may not be looked at.
std::optional<ProcessUsage> usage_of(pid_t id);

class ChildProcess {
  public:
    struct Command {
        std::vector<std::string> arguments;  // the program first
        std::string log_path;                // where standard error goes
        bool talks = false;                  // its standard input and output are pipes to this process
    };
    // Throws std::system_error. The child is killed by the system if this process ends without killing it.
    explicit ChildProcess(const Command& command);
    ~ChildProcess() { kill(); }
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    pid_t id() const { return id_; }
    bool running();
    // Ends it at once and waits until it is gone.
    void kill();
    // Ends of the pipes, which the caller takes over; -1 if it does not talk.
    int to_child() const { return to_child_; }
    int from_child() const { return from_child_; }

  private:
    pid_t id_ = -1;
    int to_child_ = -1, from_child_ = -1;
};

}  // namespace flintdale::load_test
