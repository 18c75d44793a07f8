#include "app/peer_table.hpp"

namespace flintdale::app {

using namespace std::chrono_literals;

namespace {
constexpr auto recent_status_age = 3s;
constexpr double redirects_decay = 0.8;  // per status message of a peer, which comes once a second
}  // namespace

void PeerTable::update(const peer::StatusMessage& message, TimePoint now) {
    auto& peer = peers_[message.member];
    peer.received_at = now;
    peer.reaches_store = message.store_healthy;
    peer.leading = message.leading;
    peer.relays = message.relays;
    peer.has_read_records = message.generation > 0;
    peer.writes = message.writes;
    peer.redirects = peer.redirects * redirects_decay + message.redirects;
    peer.incarnation = message.incarnation;
    peer.term = message.term;
}

const PeerStatus* PeerTable::find(const std::string& member) const {
    const auto it = peers_.find(member);
    return it == peers_.end() ? nullptr : &it->second;
}

const PeerStatus* PeerTable::find_recent(const std::string& member, TimePoint now) const {
    const auto* peer = find(member);
    return peer && recent(*peer, now) ? peer : nullptr;
}

bool PeerTable::has_recent_peer(TimePoint now) const {
    return any_recent(now, [](const std::string&, const PeerStatus&) { return true; });
}

bool PeerTable::any_reaches_store(TimePoint now) const {
    return any_recent(now, [](const std::string&, const PeerStatus& peer) { return peer.reaches_store; });
}

bool PeerTable::any_leading(TimePoint now) const {
    return any_recent(now, [](const std::string&, const PeerStatus& peer) { return peer.leading; });
}

double PeerTable::recent_redirects(TimePoint now) const {
    double redirects = 0;
    for (const auto& [member, peer] : peers_)
        if (recent(peer, now) && peer.reaches_store) redirects += peer.redirects;
    return redirects;
}

bool PeerTable::recent(const PeerStatus& peer, TimePoint now) { return now - peer.received_at < recent_status_age; }

}  // namespace flintdale::app
