#include "peer/cancellations.hpp"

#include <algorithm>

namespace flintdale::peer {

using model::TimePoint;

namespace {

constexpr double reporting_period_in_cancel_deadlines = 5;
constexpr std::size_t max_reported = 3000;  // cancellations in one message
// Responses to older messages are ignored.
constexpr std::chrono::seconds sent_message_retention{60};
// Allows for the drift of peers' clocks, since peers drop cancellations from their reports after a reporting period.
constexpr std::chrono::seconds clock_margin{10};

}  // namespace

Cancellations::Cancellations(const config::Settings& settings) : settings_(settings) {}

model::Clock::duration Cancellations::reporting_period() const {
    return model::to_clock(settings_.cancel_deadline * reporting_period_in_cancel_deadlines);
}

bool Cancellations::note(const std::string& uid, TimePoint now) {
    if (!known_.try_emplace(uid, now).second) return false;
    recent_.push_back({now, uid});
    return true;
}

void Cancellations::expire(TimePoint now) {
    // A cancellation stays known for two reporting periods. Otherwise two peers could report it to each other as new
    // for ever.
    for (; !recent_.empty() && now - recent_.front().noted > reporting_period(); recent_.pop_front())
        expiring_.push_back(std::move(recent_.front()));
    for (; !expiring_.empty() && now - expiring_.front().noted > reporting_period() * 2; expiring_.pop_front())
        known_.erase(expiring_.front().uid);
    if (recent_.size() > max_reported) incomplete_until_ = now + reporting_period();
    for (; recent_.size() > max_reported; recent_.pop_front()) expiring_.push_back(std::move(recent_.front()));
    while (!sent_.empty() && now - sent_.front().made > sent_message_retention) sent_.pop_front();
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

TimePoint Cancellations::creation_time(std::uint64_t number) const {
    const auto at = std::lower_bound(sent_.begin(), sent_.end(), number,
                                     [](const SentMessage& sent, std::uint64_t n) { return sent.number < n; });
    return at != sent_.end() && at->number == number ? at->made : TimePoint{};
}

void Cancellations::report_received(const std::string& member, std::uint64_t incarnation, std::uint64_t own_incarnation,
                                    const CancellationReport& report, TimePoint now) {
    if (!incarnation || !report.number) return;  // an old version without message numbers
    auto& peer = peers_[member];
    if (peer.incarnation != incarnation) {
        peer = {};
        peer.incarnation = incarnation;
        peer.incarnation_since = now;
    }
    if (report.number < peer.number) return;  // a newer report arrived first
    peer.number = report.number;
    peer.complete = report.complete;
    for (const auto& message : report.received) {
        if (message.member != settings_.member || message.incarnation != own_incarnation) continue;
        peer.acknowledged = std::max(peer.acknowledged, creation_time(message.number));
    }
}

bool Cancellations::has_received(const std::string& member, TimePoint noted) const {
    const auto it = peers_.find(member);
    return it != peers_.end() && it->second.acknowledged > noted;
}

TimePoint Cancellations::all_known_until(TimePoint records_read, TimePoint now) const {
    const bool all_controllers_listed = !settings_.peers.empty() && settings_.peers.size() + 1 == settings_.controllers;
    if (!all_controllers_listed) return records_read;
    if (now - records_read > reporting_period() - clock_margin) return records_read;
    auto known_until = TimePoint::max();
    for (const auto& settings : settings_.peers) {
        const auto it = peers_.find(settings.member);
        if (it == peers_.end()) return records_read;
        const auto& peer = it->second;
        if (!peer.complete || peer.incarnation_since > records_read) return records_read;
        known_until = std::min(known_until, peer.acknowledged);
    }
    return std::max(records_read, known_until);
}

}  // namespace flintdale::peer
