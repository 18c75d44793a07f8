#include "peer/status_message.hpp"

#include <algorithm>

#include "peer/capnp_message.hpp"
#include "wire/peer.capnp.h"

namespace flintdale::peer {

namespace {

constexpr std::size_t max_counts = 4000;  // job counts in a message

void write(const CancellationReport& from, ::StatusMessage::Builder to) {
    to.setNumber(from.number);
    to.setCancellationsComplete(from.complete);
    auto received = to.initReceived(static_cast<unsigned>(from.received.size()));
    for (unsigned i = 0; i < received.size(); ++i) {
        received[i].setMember(from.received[i].member);
        received[i].setIncarnation(from.received[i].incarnation);
        received[i].setNumber(from.received[i].number);
    }
    auto cancelled = to.initCancelled(static_cast<unsigned>(from.recent.size()));
    for (unsigned i = 0; i < cancelled.size(); ++i) cancelled.set(i, from.recent[i]);
}

void write(const std::vector<JobCount>& from, ::StatusMessage::Builder to) {
    const auto size = std::min(from.size(), max_counts);
    auto counts = to.initCounts(static_cast<unsigned>(size));
    for (unsigned i = 0; i < size; ++i) {
        counts[i].setUid(from[i].uid);
        counts[i].setDone(from[i].done);
        counts[i].setRunning(from[i].running);
    }
}

CancellationReport read_cancellations(::StatusMessage::Reader from) {
    CancellationReport out;
    out.number = from.getNumber();
    out.complete = from.getCancellationsComplete();
    for (const auto message : from.getReceived())
        out.received.push_back({message.getMember().cStr(), message.getIncarnation(), message.getNumber()});
    for (const auto uid : from.getCancelled()) out.recent.emplace_back(uid.cStr());
    return out;
}

StatusMessage read_status(::StatusMessage::Reader from) {
    StatusMessage status;
    status.member = from.getMember().cStr();
    status.leader = from.getLeader().cStr();
    status.term = from.getTerm();
    status.store_healthy = from.getStoreHealthy();
    status.leading = from.getLeading();
    status.writes = from.getWrites();
    status.redirects = from.getRedirects();
    status.format = from.getFormat();
    status.generation = from.getGeneration();
    status.history = from.getHistory().cStr();
    status.replica_revision = from.getReplicaRevision();
    status.rebuilding = from.getRebuilding();
    status.incarnation = from.getIncarnation();
    status.relays = from.getRelays();
    status.workers = from.getWorkers();
    status.capacity = from.getCapacity();
    status.fleet = from.getFleet();
    status.cancellations = read_cancellations(from);
    for (const auto count : from.getCounts())
        status.counts.push_back({count.getUid().cStr(), count.getDone(), count.getRunning()});
    return status;
}

}  // namespace

// The bytes of the message depend on the order in which the lists are written.
std::string encode(const StatusMessage& status) {
    capnp::MallocMessageBuilder message;
    auto to = message.initRoot<::StatusMessage>();
    to.setMember(status.member);
    to.setLeader(status.leader);
    to.setTerm(status.term);
    to.setStoreHealthy(status.store_healthy);
    to.setLeading(status.leading);
    to.setWrites(status.writes);
    to.setRedirects(status.redirects);
    to.setFormat(status.format);
    to.setGeneration(status.generation);
    to.setHistory(status.history);
    to.setReplicaRevision(status.replica_revision);
    to.setRebuilding(status.rebuilding);
    to.setIncarnation(status.incarnation);
    to.setRelays(status.relays);
    to.setWorkers(status.workers);
    to.setCapacity(status.capacity);
    to.setFleet(status.fleet);
    write(status.cancellations, to);
    write(status.counts, to);
    return to_bytes(message);
}

StatusMessage decode_status(const std::string& bytes) { return from_bytes<::StatusMessage>(bytes, read_status); }

}  // namespace flintdale::peer
