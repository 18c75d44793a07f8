// The ids of the jobs that have records to write, in writing order. The contents come from RecordWriter.
#pragma once
#include <cstddef>
#include <deque>
#include <set>
#include <string>
#include <utility>

#include "model/clock.hpp"

namespace flintdale::scheduler {

class RecordQueue {
  public:
    // Adds the job at the end; a job that is already queued keeps its position.
    void add(const std::string& uid);
    // Adds the job at the front, or moves it there.
    void add_first(const std::string& uid);
    // Adds the job once `due` is reached and all earlier deferrals have been queued. If the job is already deferred,
    // its first deferral counts.
    void add_later(const std::string& uid, model::TimePoint due);
    // Queues the deferred jobs that are due, in the order of their deferral.
    void promote_due(model::TimePoint now);
    // Removes and returns the first job. The queue must not be empty.
    std::string pop();

    bool empty() const { return queue_.empty(); }
    std::size_t size() const { return queue_.size(); }

  private:
    std::deque<std::string> queue_;
    std::set<std::string> queued_;
    std::deque<std::pair<model::TimePoint, std::string>> deferred_;  // oldest deferral first
    std::set<std::string> deferred_uids_;
};

}  // namespace flintdale::scheduler
