#include "peer/cancellations.hpp"

#include <algorithm>

namespace flintdale::peer {

using model::TimePoint;

namespace {
constexpr double spans = 5;                      // times cancel_s that a cancellation is named to the peers
constexpr std::size_t most_named = 3000;         // in one message
constexpr std::chrono::seconds answered_in{60};  // own messages remembered for as long
// Peers' clocks drift, and what they learned long ago they no longer name.
constexpr std::chrono::seconds margin{10};
}  // namespace

Cancellations::Cancellations(const config::Settings& settings) : settings_(settings) {}

model::Clock::duration Cancellations::span() const { return model::to_clock(settings_.cancel_deadline * spans); }

bool Cancellations::note(const std::string& uid, TimePoint now) {
    if (!known_.try_emplace(uid, now).second) return false;
    lately_.emplace_back(now, uid);
    return true;
}

CancellationReport Cancellations::make_report(TimePoint now) {
    // What is named for the last time is remembered for as long again, so that no two peers go on telling each other.
    for (; !lately_.empty() && now - lately_.front().first > span(); lately_.pop_front())
        to_forget_.push_back(std::move(lately_.front()));
    for (; !to_forget_.empty() && now - to_forget_.front().first > span() * 2; to_forget_.pop_front())
        known_.erase(to_forget_.front().second);
    if (lately_.size() > most_named) not_whole_until_ = now + span();
    for (; lately_.size() > most_named; lately_.pop_front()) to_forget_.push_back(std::move(lately_.front()));
    while (!said_.empty() && now - said_.front().second > answered_in) said_.pop_front();
    CancellationReport out;
    out.number = ++number_;
    said_.emplace_back(number_, now);
    for (const auto& [member, peer] : peers_) out.heard.push_back({member, peer.incarnation, peer.number});
    for (const auto& [at, uid] : lately_) out.lately.push_back(uid);
    out.whole = now >= not_whole_until_;
    return out;
}

void Cancellations::report_received(const std::string& member, std::uint64_t incarnation, std::uint64_t own_incarnation,
                                    const CancellationReport& report, TimePoint now) {
    if (!incarnation || !report.number) return;  // a version that does not say
    auto& peer = peers_[member];
    if (peer.incarnation != incarnation) {
        peer = {};
        peer.incarnation = incarnation;
        peer.incarnation_since = now;
    }
    if (report.number < peer.number) return;
    peer.number = report.number;
    peer.whole = report.whole;
    for (const auto& h : report.heard) {
        if (h.member != settings_.member || h.incarnation != own_incarnation) continue;
        const auto at = std::lower_bound(said_.begin(), said_.end(), h.number,
                                         [](const auto& said, std::uint64_t n) { return said.first < n; });
        if (at != said_.end() && at->first == h.number) peer.answers = std::max(peer.answers, at->second);
    }
}

bool Cancellations::has_received(const std::string& member, TimePoint noted) const {
    const auto it = peers_.find(member);
    return it != peers_.end() && it->second.answers > noted;
}

TimePoint Cancellations::all_known_until(TimePoint looked, TimePoint now) const {
    if (settings_.peers.empty() || settings_.peers.size() + 1 != settings_.controllers) return looked;
    if (now - looked > span() - margin) return looked;
    auto out = TimePoint::max();
    for (const auto& p : settings_.peers) {
        const auto it = peers_.find(p.member);
        if (it == peers_.end() || !it->second.whole || it->second.incarnation_since > looked) return looked;
        out = std::min(out, it->second.answers);
    }
    return std::max(looked, out);
}

}  // namespace flintdale::peer
