#include "simulator/random_faults.hpp"

#include <cmath>

namespace flintdale::simulator {

Seconds RandomFaults::draw_restart_delay() {
    return Seconds(events_.uniform(scenario_.restart_from, scenario_.restart_to));
}

std::vector<Fault> RandomFaults::draw_cluster() {
    using enum FaultKind;
    std::vector<FaultKind> kinds{controller_crash, controller_freeze, store_partitioned, store_refuses,
                                 workers_cut,      peers_cut,         store_outage,      zone_cut,
                                 cloud_outage,     machines_die,      machines_hang,     machines_cut};
    // Only where a scenario asks for it: the seeds of the others keep their meaning.
    if (scenario_.slow > 0) kinds.insert(kinds.end(), {leases_expire, arrival_burst, controller_crash});
    const auto count = static_cast<std::size_t>(std::llround(events_.uniform(0.5, 1.5) * scenario_.drawn));
    const double center = events_.uniform(0.25, 0.5) * scenario_.length.count();
    std::vector<Fault> faults;
    for (std::size_t i = 0; i < count; ++i) faults.push_back(draw_for_cluster(kinds, center));
    if (scenario_.draws_losses) append_losses(faults, center);
    return faults;
}

Fault RandomFaults::draw_for_cluster(const std::vector<FaultKind>& kinds, double center) {
    static const std::vector<std::string> nodes{"leader", "all", "follower", "followers", "leader"};
    Fault fault;
    fault.kind = kinds[events_.pick(kinds.size())];
    const bool crash = fault.kind == FaultKind::controller_crash;
    const bool near_center = events_.chance(0.7);
    fault.at =
        Seconds(near_center ? center + events_.uniform(-15, 25) : events_.uniform(10, scenario_.length.count() * 0.7));
    fault.duration = crash ? draw_restart_delay() : Seconds(events_.uniform(3, 45));
    fault.share = events_.uniform(0.05, 0.5) * (fault.kind == FaultKind::arrival_burst ? 20 : 1);
    if (scenario_.slow > 0 && crash && events_.chance(0.3)) {
        fault.times = std::floor(events_.uniform(2, 6));
        fault.interval = Seconds(events_.uniform(0.3, 3));
    }
    fault.node = nodes[events_.pick(nodes.size())];
    fault.zone = settings_.zones[events_.pick(settings_.zones.size())];
    return fault;
}

void RandomFaults::append_losses(std::vector<Fault>& faults, double center) {
    using enum FaultKind;
    static const std::vector<FaultKind> kinds{store_erased, store_rolled_back, keys_erased, store_rolled_back,
                                              store_erased};
    static const std::vector<std::string> prefixes{"jobs/",     "jobs/work/", "jobs/over/",
                                                   "recovery/", "lead/",      "members/"};
    const auto count = 1 + events_.pick(2);
    for (std::size_t i = 0; i < count; ++i) {
        Fault fault;
        fault.kind = kinds[events_.pick(kinds.size())];
        fault.at = Seconds(i == 0 ? center : center + events_.uniform(0.2, 30));
        fault.amount = Seconds(events_.uniform(0.5, 40));
        fault.prefix = prefixes[events_.pick(prefixes.size())];
        faults.push_back(std::move(fault));
    }
}

Fault RandomFaults::draw_for_pair() {
    using enum FaultKind;
    static const std::vector<FaultKind> kinds{
        controller_crash,    controller_freeze, store_partitioned, store_refuses,   controller_isolated,
        workers_cut,         peers_cut,         store_outage,      zone_cut,        cloud_outage,
        machines_die,        machines_hang,     machines_cut,      answers_lost,    repeated_heartbeats,
        late_commits,        delayed_messages,  leases_expire,     store_refuses,   store_outage,
        controller_isolated, answers_lost,      late_commits,      controller_crash};
    static const std::vector<std::string> nodes{"leader", "leader", "all", "follower", "followers"};
    Fault fault;
    fault.kind = kinds[events_.pick(kinds.size())];
    const bool crash = fault.kind == controller_crash;
    fault.duration = crash ? draw_restart_delay() : Seconds(events_.uniform(3, 75));
    fault.share = events_.uniform(0.1, 0.5);
    fault.amount = Seconds(6);
    fault.node = nodes[events_.pick(nodes.size())];
    fault.zone = settings_.zones[events_.pick(settings_.zones.size())];
    if (crash && events_.chance(0.3)) {
        fault.times = std::floor(events_.uniform(2, 4));
        fault.interval = Seconds(events_.uniform(0.3, 3));
    }
    return fault;
}

std::vector<FaultPair> RandomFaults::draw_pairs() {
    static const std::vector<FaultTrigger> triggers{FaultTrigger::none, FaultTrigger::leader_elected,
                                                    FaultTrigger::running_job_cancelled};
    std::vector<FaultPair> pairs;
    for (std::size_t i = 0; i < scenario_.pairs; ++i) {
        FaultPair pair;
        pair.first = draw_for_pair();
        pair.second = draw_for_pair();
        pair.trigger = triggers[events_.pick(triggers.size())];
        pair.at = Seconds(events_.uniform(0.2, 0.5) * scenario_.length.count());
        const bool soon = events_.chance(0.5);
        pair.delay = Seconds(soon ? events_.uniform(0, 1.5) : events_.uniform(0, 20));
        pairs.push_back(std::move(pair));
    }
    return pairs;
}

}  // namespace flintdale::simulator
