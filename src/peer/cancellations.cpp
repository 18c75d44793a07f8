#include "peer/cancellations.hpp"

#include <algorithm>

namespace flintdale::peer {

using model::TimePoint;

namespace {

constexpr double span_in_cancel_deadlines = 5;
constexpr std::size_t max_named = 3000;            // in one message
constexpr std::chrono::seconds sent_kept_for{60};  // an answer to an older message counts for nothing
// The clocks of peers drift, and they no longer name what they learned a span ago.
constexpr std::chrono::seconds clock_margin{10};

}  // namespace

Cancellations::Cancellations(const config::Settings& settings) : settings_(settings) {}

model::Clock::duration Cancellations::span() const {
    return model::to_clock(settings_.cancel_deadline * span_in_cancel_deadlines);
}

bool Cancellations::note(const std::string& uid, TimePoint now) {
    if (!known_.try_emplace(uid, now).second) return false;
    recent_.push_back({now, uid});
    return true;
}

void Cancellations::expire(TimePoint now) {
    // What is not named any more stays known for twice the span, so that no two peers report it to each other for ever.
    for (; !recent_.empty() && now - recent_.front().noted > span(); recent_.pop_front())
        expiring_.push_back(std::move(recent_.front()));
    for (; !expiring_.empty() && now - expiring_.front().noted > span() * 2; expiring_.pop_front())
        known_.erase(expiring_.front().uid);
    if (recent_.size() > max_named) incomplete_until_ = now + span();
    for (; recent_.size() > max_named; recent_.pop_front()) expiring_.push_back(std::move(recent_.front()));
    while (!sent_.empty() && now - sent_.front().made > sent_kept_for) sent_.pop_front();
}

CancellationReport Cancellations::make_report(TimePoint now) {
    expire(now);
    CancellationReport report;
    report.number = ++number_;
    sent_.push_back({number_, now});
    for (const auto& [member, peer] : peers_) report.received.push_back({member, peer.incarnation, peer.number});
    for (const auto& cancellation : recent_) report.recent.push_back(cancellation.uid);
    report.complete = now >= incomplete_until_;
    return report;
}

TimePoint Cancellations::made_at(std::uint64_t number) const {
    const auto at = std::lower_bound(sent_.begin(), sent_.end(), number,
                                     [](const SentMessage& sent, std::uint64_t n) { return sent.number < n; });
    return at != sent_.end() && at->number == number ? at->made : TimePoint{};
}

void Cancellations::report_received(const std::string& member, std::uint64_t incarnation, std::uint64_t own_incarnation,
                                    const CancellationReport& report, TimePoint now) {
    if (!incarnation || !report.number) return;  // a version that does not count its messages
    auto& peer = peers_[member];
    if (peer.incarnation != incarnation) {
        peer = {};
        peer.incarnation = incarnation;
        peer.incarnation_since = now;
    }
    if (report.number < peer.number) return;  // overtaken by a newer one
    peer.number = report.number;
    peer.complete = report.complete;
    for (const auto& message : report.received) {
        if (message.member != settings_.member || message.incarnation != own_incarnation) continue;
        peer.answers = std::max(peer.answers, made_at(message.number));
    }
}

bool Cancellations::has_received(const std::string& member, TimePoint noted) const {
    const auto it = peers_.find(member);
    return it != peers_.end() && it->second.answers > noted;
}

TimePoint Cancellations::all_known_until(TimePoint records_read, TimePoint now) const {
    const bool all_controllers_listed = !settings_.peers.empty() && settings_.peers.size() + 1 == settings_.controllers;
    if (!all_controllers_listed) return records_read;
    if (now - records_read > span() - clock_margin) return records_read;
    auto known_until = TimePoint::max();
    for (const auto& settings : settings_.peers) {
        const auto it = peers_.find(settings.member);
        if (it == peers_.end()) return records_read;
        const auto& peer = it->second;
        if (!peer.complete || peer.incarnation_since > records_read) return records_read;
        known_until = std::min(known_until, peer.answers);
    }
    return std::max(records_read, known_until);
}

}  // namespace flintdale::peer
