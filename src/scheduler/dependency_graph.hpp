// Who waits for whom, and what follows: which jobs may start, which are cancelled with one that they need, and which
// rank a job takes from those that need it. Pure: no I/O, no clock. Work is done for the jobs that a piece of news
// concerns, never for all. There are no cycles, for a submission can only name jobs that were accepted before it.
#pragma once
#include <cstdint>
#include <deque>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "model/job.hpp"

namespace flintdale::scheduler {

class DependencyGraph {
  public:
    // unknown: it was accepted, and nothing is known here of its end; its outcome must be read.
    enum class Fate : std::uint8_t { unknown, open, done, cancelled };

    // What a piece of news leads to.
    struct News {
        std::vector<std::string> ready;             // all that they need is done
        std::vector<std::string> doomed;            // something that they need was cancelled, nearest first
        std::vector<std::string> priority_changed;  // their rank is another one now
        bool empty() const { return ready.empty() && doomed.empty() && priority_changed.empty(); }
    };

    // A job is open. May be told again.
    News opened(const std::string& uid, model::Priority priority, const std::vector<std::string>& needs);
    // It is over, by a record; `at` is when it was done, by the time of day, or 0.
    News over(const std::string& uid, bool done, std::int64_t at);
    // It is over, and the record was not read that tells how.
    void over_somehow(const std::string& uid);

    Fate fate(const std::string& uid) const;
    bool waits(const std::string& uid) const;
    bool needed(const std::string& uid) const;
    model::Priority priority(const std::string& uid) const;
    // When the last job that it needs was done, by the time of day; 0 if not known.
    std::int64_t ready_at(const std::string& uid) const;
    // Jobs that others wait for and whose outcomes must be read, for they may be over.
    const std::set<std::string>& unknown() const { return unknown_; }

  private:
    struct Node {
        Fate fate = Fate::unknown;
        bool doomed = false;
        model::Priority own = model::Priority::idle, priority = model::Priority::idle;
        std::uint32_t lacking = 0;  // of those that it needs, not done
        std::int64_t at = 0;        // when it was done; while it is open: when the last that it needs was
        std::vector<std::string> needs;
        std::set<std::string> needed_by;  // open ones only
    };
    Node* find(const std::string& uid);
    const Node* find(const std::string& uid) const;
    void raise(const std::vector<std::string>& from, model::Priority priority, News& news);
    void lower(std::vector<std::string> from, News& news);
    void doom(const std::set<std::string>& first, News& news);
    void remember(const std::string& uid);

    std::unordered_map<std::string, Node> nodes_;
    std::set<std::string> unknown_;
    std::deque<std::string> past_;  // that are over, oldest first; what is forgotten is read again
};

}  // namespace flintdale::scheduler
