#include "scheduler/record_queue.hpp"

#include <algorithm>

namespace flintdale::scheduler {

void RecordQueue::add(const std::string& uid) {
    if (queued_.insert(uid).second) queue_.push_back(uid);
}

void RecordQueue::add_first(const std::string& uid) {
    if (queued_.insert(uid).second) {
        queue_.push_front(uid);
        return;
    }
    const auto it = std::find(queue_.begin(), queue_.end(), uid);
    if (it == queue_.begin()) return;
    queue_.erase(it);
    queue_.push_front(uid);
}

void RecordQueue::add_later(const std::string& uid, model::TimePoint due) {
    if (deferred_uids_.insert(uid).second) deferred_.emplace_back(due, uid);
}

void RecordQueue::promote_due(model::TimePoint now) {
    while (!deferred_.empty() && now >= deferred_.front().first) {
        add(deferred_.front().second);
        deferred_uids_.erase(deferred_.front().second);
        deferred_.pop_front();
    }
}

std::string RecordQueue::pop() {
    auto uid = std::move(queue_.front());
    queue_.pop_front();
    queued_.erase(uid);
    return uid;
}

}  // namespace flintdale::scheduler
