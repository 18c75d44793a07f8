#include "scheduler/dependency_graph.hpp"

#include <algorithm>

namespace flintdale::scheduler {

namespace {
constexpr std::size_t max_closed = 10'000;
}  // namespace

DependencyGraph::Node* DependencyGraph::find(const std::string& uid) {
    const auto it = nodes_.find(uid);
    return it == nodes_.end() ? nullptr : &it->second;
}

const DependencyGraph::Node* DependencyGraph::find(const std::string& uid) const {
    const auto it = nodes_.find(uid);
    return it == nodes_.end() ? nullptr : &it->second;
}

DependencyGraph::Changes DependencyGraph::opened(const std::string& uid, model::Priority priority,
                                                 const std::vector<std::string>& needs) {
    Changes changes;
    unknown_.erase(uid);
    {
        auto& node = nodes_[uid];
        // The outcome of a job may be read before its submission.
        if (node.status != Status::unknown) return changes;
        node.status = Status::open;
        node.own = priority;
        // Dependents may have been added before the job and have raised its priority.
        node.priority = std::max(node.priority, priority);
        if (node.priority != priority) changes.priority_changed.push_back(uid);
        node.needs = needs;
    }
    bool dependency_failed = false;
    std::uint32_t open_dependencies = 0;
    std::int64_t at = 0;
    for (const auto& name : needs) {
        auto& need = nodes_[name];
        if (need.status == Status::done) {
            at = std::max(at, need.at);
            continue;
        }
        dependency_failed = dependency_failed || need.status == Status::cancelled || need.dependency_failed;
        if (need.status == Status::cancelled) continue;
        if (need.status == Status::unknown) unknown_.insert(name);
        need.needed_by.insert(uid);
        ++open_dependencies;
    }
    auto& node = nodes_[uid];
    node.open_dependencies = open_dependencies;
    node.at = at;
    raise_priorities(needs, node.priority, changes);
    if (dependency_failed) fail_dependents({uid}, changes);
    return changes;
}

DependencyGraph::Changes DependencyGraph::closed(const std::string& uid, bool done, std::int64_t at) {
    Changes changes;
    unknown_.erase(uid);
    auto* node = find(uid);
    if (!node) {
        node = &nodes_[uid];
    } else if (node->status == Status::done || node->status == Status::cancelled) {
        return changes;
    }
    const auto needs = std::move(node->needs);
    const auto needed_by = std::move(node->needed_by);
    node->needs.clear();
    node->needed_by.clear();
    node->status = done ? Status::done : Status::cancelled;
    node->at = at;
    remember_closed(uid);
    for (const auto& name : needs)
        if (auto* need = find(name)) need->needed_by.erase(uid);
    // A job with an outcome no longer passes its priority on to its dependencies.
    lower_priorities(needs, changes);
    if (!done) {
        fail_dependents(needed_by, changes);
        return changes;
    }
    for (const auto& name : needed_by) {
        auto* next = find(name);
        next->at = std::max(next->at, at);
        if (--next->open_dependencies == 0 && !next->dependency_failed) changes.ready.push_back(name);
    }
    return changes;
}

void DependencyGraph::closed_unread(const std::string& uid) {
    auto* node = find(uid);
    if (!node || node->status == Status::done || node->status == Status::cancelled) return;
    const auto needs = std::move(node->needs);
    node->needs.clear();
    node->status = Status::unknown;
    for (const auto& name : needs)
        if (auto* need = find(name)) need->needed_by.erase(uid);
    if (node->needed_by.empty())
        nodes_.erase(uid);
    else
        unknown_.insert(uid);
}

DependencyGraph::Status DependencyGraph::status(const std::string& uid) const {
    const auto* node = find(uid);
    return node ? node->status : Status::unknown;
}

bool DependencyGraph::waits(const std::string& uid) const {
    const auto* node = find(uid);
    return node && (node->open_dependencies > 0 || node->dependency_failed);
}

bool DependencyGraph::has_dependents(const std::string& uid) const {
    const auto* node = find(uid);
    return node && !node->needed_by.empty();
}

model::Priority DependencyGraph::priority(const std::string& uid) const {
    const auto* node = find(uid);
    return node ? node->priority : model::Priority::idle;
}

std::int64_t DependencyGraph::ready_at(const std::string& uid) const {
    const auto* node = find(uid);
    return node ? node->at : 0;
}

void DependencyGraph::raise_priorities(const std::vector<std::string>& from, model::Priority priority,
                                       Changes& changes) {
    auto next = from;
    while (!next.empty()) {
        const auto uid = std::move(next.back());
        next.pop_back();
        auto* node = find(uid);
        if (!node || node->status == Status::done || node->status == Status::cancelled || node->priority >= priority)
            continue;
        node->priority = priority;
        if (node->status == Status::open) changes.priority_changed.push_back(uid);
        next.insert(next.end(), node->needs.begin(), node->needs.end());
    }
}

void DependencyGraph::lower_priorities(std::vector<std::string> from, Changes& changes) {
    while (!from.empty()) {
        const auto uid = std::move(from.back());
        from.pop_back();
        auto* node = find(uid);
        if (!node || node->status == Status::done || node->status == Status::cancelled) continue;
        auto priority = node->own;
        for (const auto& name : node->needed_by)
            if (const auto* by = find(name); by && !by->dependency_failed) priority = std::max(priority, by->priority);
        if (priority == node->priority) continue;
        node->priority = priority;
        if (node->status == Status::open) changes.priority_changed.push_back(uid);
        from.insert(from.end(), node->needs.begin(), node->needs.end());
    }
}

void DependencyGraph::fail_dependents(const std::set<std::string>& first, Changes& changes) {
    std::deque<std::string> next(first.begin(), first.end());
    for (; !next.empty(); next.pop_front()) {
        auto* node = find(next.front());
        if (!node || node->status != Status::open || node->dependency_failed) continue;
        node->dependency_failed = true;
        changes.dependency_failed.push_back(next.front());
        next.insert(next.end(), node->needed_by.begin(), node->needed_by.end());
        // A job that will be cancelled no longer passes its priority on to its dependencies.
        lower_priorities(node->needs, changes);
    }
}

void DependencyGraph::remember_closed(const std::string& uid) {
    closed_.push_back(uid);
    while (closed_.size() > max_closed) {
        nodes_.erase(closed_.front());
        closed_.pop_front();
    }
}

}  // namespace flintdale::scheduler
