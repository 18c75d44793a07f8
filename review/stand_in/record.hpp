// The record of a case: one line for each thing that was sent, answered or run, with the seconds since the start.
#pragma once
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <mutex>
#include <string>

namespace stand_in {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Seconds = std::chrono::duration<double>;

inline Clock::duration to_clock(double seconds) {
    return std::chrono::duration_cast<Clock::duration>(Seconds(seconds));
}

class Record {
  public:
    explicit Record(const std::string& path) : start_(Clock::now()), file_(std::fopen(path.c_str(), "w")) {}
    Record(const Record&) = delete;
    Record& operator=(const Record&) = delete;
    ~Record() {
        if (file_) std::fclose(file_);
    }

    double since_start(TimePoint at) const { return Seconds(at - start_).count(); }
    double now() const { return since_start(Clock::now()); }

    void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
        char text[4000];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof text, format, arguments);
        va_end(arguments);
        const std::lock_guard lock(mutex_);
        if (!file_) return;
        std::fprintf(file_, "%8.3f %s\n", now(), text);
        std::fflush(file_);
    }

  private:
    TimePoint start_;
    std::FILE* file_;
    std::mutex mutex_;
};

}  // namespace stand_in
