#include "scheduler/dependency_graph.hpp"

#include <algorithm>

namespace flintdale::scheduler {

namespace {
constexpr std::size_t max_past = 10'000;
}  // namespace

DependencyGraph::Node* DependencyGraph::find(const std::string& uid) {
    const auto it = nodes_.find(uid);
    return it == nodes_.end() ? nullptr : &it->second;
}

const DependencyGraph::Node* DependencyGraph::find(const std::string& uid) const {
    const auto it = nodes_.find(uid);
    return it == nodes_.end() ? nullptr : &it->second;
}

DependencyGraph::News DependencyGraph::opened(const std::string& uid, model::Priority priority,
                                              const std::vector<std::string>& needs) {
    News news;
    unknown_.erase(uid);
    {
        auto& node = nodes_[uid];
        // News of its end may have come before that of its beginning.
        if (node.fate != Fate::unknown) return news;
        node.fate = Fate::open;
        node.own = priority;
        // Jobs that need it may have come to be known before it.
        node.priority = std::max(node.priority, priority);
        if (node.priority != priority) news.priority_changed.push_back(uid);
        node.needs = needs;
    }
    bool doomed = false;
    std::uint32_t lacking = 0;
    std::int64_t at = 0;
    for (const auto& name : needs) {
        auto& need = nodes_[name];
        if (need.fate == Fate::done) {
            at = std::max(at, need.at);
            continue;
        }
        doomed = doomed || need.fate == Fate::cancelled || need.doomed;
        if (need.fate == Fate::cancelled) continue;
        if (need.fate == Fate::unknown) unknown_.insert(name);
        need.needed_by.insert(uid);
        ++lacking;
    }
    auto& node = nodes_[uid];
    node.lacking = lacking;
    node.at = at;
    raise(needs, node.priority, news);
    if (doomed) doom({uid}, news);
    return news;
}

DependencyGraph::News DependencyGraph::over(const std::string& uid, bool done, std::int64_t at) {
    News news;
    unknown_.erase(uid);
    auto* node = find(uid);
    if (!node) {
        node = &nodes_[uid];
    } else if (node->fate == Fate::done || node->fate == Fate::cancelled) {
        return news;
    }
    const auto needs = std::move(node->needs);
    const auto needed_by = std::move(node->needed_by);
    node->needs.clear();
    node->needed_by.clear();
    node->fate = done ? Fate::done : Fate::cancelled;
    node->at = at;
    remember(uid);
    for (const auto& name : needs)
        if (auto* need = find(name)) need->needed_by.erase(uid);
    // What was cancelled lends its rank to nobody any more.
    lower(needs, news);
    if (!done) {
        doom(needed_by, news);
        return news;
    }
    for (const auto& name : needed_by) {
        auto* next = find(name);
        next->at = std::max(next->at, at);
        if (--next->lacking == 0 && !next->doomed) news.ready.push_back(name);
    }
    return news;
}

void DependencyGraph::over_somehow(const std::string& uid) {
    auto* node = find(uid);
    if (!node || node->fate == Fate::done || node->fate == Fate::cancelled) return;
    const auto needs = std::move(node->needs);
    node->needs.clear();
    node->fate = Fate::unknown;
    for (const auto& name : needs)
        if (auto* need = find(name)) need->needed_by.erase(uid);
    if (node->needed_by.empty())
        nodes_.erase(uid);
    else
        unknown_.insert(uid);
}

DependencyGraph::Fate DependencyGraph::fate(const std::string& uid) const {
    const auto* node = find(uid);
    return node ? node->fate : Fate::unknown;
}

bool DependencyGraph::waits(const std::string& uid) const {
    const auto* node = find(uid);
    return node && (node->lacking > 0 || node->doomed);
}

bool DependencyGraph::needed(const std::string& uid) const {
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

void DependencyGraph::raise(const std::vector<std::string>& from, model::Priority priority, News& news) {
    auto next = from;
    while (!next.empty()) {
        const auto uid = std::move(next.back());
        next.pop_back();
        auto* node = find(uid);
        if (!node || node->fate == Fate::done || node->fate == Fate::cancelled || node->priority >= priority) continue;
        node->priority = priority;
        if (node->fate == Fate::open) news.priority_changed.push_back(uid);
        next.insert(next.end(), node->needs.begin(), node->needs.end());
    }
}

void DependencyGraph::lower(std::vector<std::string> from, News& news) {
    while (!from.empty()) {
        const auto uid = std::move(from.back());
        from.pop_back();
        auto* node = find(uid);
        if (!node || node->fate == Fate::done || node->fate == Fate::cancelled) continue;
        auto priority = node->own;
        for (const auto& name : node->needed_by)
            if (const auto* by = find(name); by && !by->doomed) priority = std::max(priority, by->priority);
        if (priority == node->priority) continue;
        node->priority = priority;
        if (node->fate == Fate::open) news.priority_changed.push_back(uid);
        from.insert(from.end(), node->needs.begin(), node->needs.end());
    }
}

void DependencyGraph::doom(const std::set<std::string>& first, News& news) {
    std::deque<std::string> next(first.begin(), first.end());
    for (; !next.empty(); next.pop_front()) {
        auto* node = find(next.front());
        if (!node || node->fate != Fate::open || node->doomed) continue;
        node->doomed = true;
        news.doomed.push_back(next.front());
        next.insert(next.end(), node->needed_by.begin(), node->needed_by.end());
        // Nor does what will be cancelled.
        lower(node->needs, news);
    }
}

void DependencyGraph::remember(const std::string& uid) {
    past_.push_back(uid);
    while (past_.size() > max_past) {
        nodes_.erase(past_.front());
        past_.pop_front();
    }
}

}  // namespace flintdale::scheduler
