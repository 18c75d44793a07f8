// The deciding half of the overseer: what to place, rent, return and write.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "agent/overseer.hpp"
#include "election/elector.hpp"

namespace flintdale::agent {

using namespace std::chrono_literals;
using placement::Host;
using placement::JobHosts;
using placement::Planner;
using wire::Rank;
using wire::Shape;
using State = Task::State;

namespace {
constexpr std::size_t max_txn_bytes = 44 * 1024;
constexpr std::uint32_t max_planned_tasks = 400;  // of one job, in one go: bounds the work of a tick
constexpr int max_rent = 50;                      // per request, by the cloud's rules
constexpr std::size_t max_release = 100;
constexpr double bulk_worth = 0.25;  // how a price per slot is discounted by the slots that services fill
constexpr double slow_fetch = 1.33;  // times the nominal time that an image may take
constexpr Seconds calm{8};           // without anything waiting before services are moved together
constexpr Seconds settled{20};       // that a service must have run before it is moved again
constexpr int max_retiring = 3;      // machines emptied at a time
constexpr auto preempt_gap = 10s;    // enough for what was stopped to go and for its room to be taken
constexpr std::int64_t merged_window = -1;
constexpr double silent_reports = 1.7;  // report intervals that a machine must at least be silent to be given up
constexpr double nearly_all = 0.95;     // of the machines with work, that a new leader wants to have heard
constexpr double quiet_reports = 2.2;   // report intervals after which a machine gets no new work

TimePoint after(TimePoint t, Seconds s) { return t + wire::to_clock(s); }
}  // namespace

bool Overseer::usable(const Machine& m, TimePoint now) const {
    return m.reported && !m.releasing && !m.retiring && !m.cordoned && !m.suspect && !m.taken_at && !m.listed_failed &&
           now - m.last_report < wire::to_clock(settings_.report * quiet_reports);
}

const placement::Ask& Overseer::ask_of(const Job& job) const {
    // Pools become known as machines of theirs appear.
    if (job.ask.pools.size() != ledger_.directory().pools().size() || !job.ask.spec)
        job.ask = placement::make_ask(job.spec, rules_, ledger_.directory());
    return job.ask;
}

JobHosts Overseer::hosts_of(const Job& job) const {
    JobHosts out;
    if (job.placed)
        for (const auto& t : job.tasks)
            if (t.state == State::placed) {
                out.add_to_zone(t.machine->row.zone);
                out.own.push_back(t.machine->row.slot);
            }
    // The replacement of a gang's task must not meet its own earlier exit.
    if (job.is(Shape::gang)) out.excluded = out.own;
    // Once every machine in use has failed the job, the machines are not to blame.
    if (job.failed_on.size() <= 2)
        for (const auto& name : job.failed_on)
            if (const auto* m = ledger_.find(name)) out.excluded.push_back(m->row.slot);
    return out;
}

std::vector<Job*> Overseer::queue(TimePoint now, bool eligible_only) {
    std::vector<std::pair<placement::Waiting, Job*>> waiting;
    for (auto& [uid, job] : jobs_) {
        if (job->cancelled || job->finished || job->waiting() == 0) continue;
        if (eligible_only && now < job->eligible_at) continue;
        placement::Waiting w;
        w.rank = job->spec.rank;
        // What its window could not place waits in one queue with the rest of that kind, ahead of new windows:
        // else, under load, the order would be that of arrival, and the short would wait for the long.
        w.window = job->passed_over ? merged_window : job->window;
        w.length = job->spec.estimate * job->waiting();
        w.waited = now - job->arrived;
        w.uid = uid;
        waiting.emplace_back(w, job.get());
    }
    std::sort(waiting.begin(), waiting.end(),
              [&](const auto& a, const auto& b) { return placement::before(a.first, b.first, tunables_.ageing); });
    std::vector<Job*> out;
    for (auto& [w, job] : waiting) out.push_back(job);
    return out;
}

Planner Overseer::planner(TimePoint now) const {
    std::vector<Host> hosts;
    for (const auto& [name, m] : ledger_.all())
        if (usable(*m, now)) hosts.push_back(m->row);
    return Planner(std::move(hosts), rules_.memory_margin);
}

// How many of so many tasks the team's limit leaves room for. All tasks that may be on a machine count.
std::uint32_t Overseer::within_limit(const Job& job, std::uint32_t tasks) const {
    const auto* team = settings_.team(job.spec.team);
    if (!team) return 0;
    const auto it = team_use_.find(job.spec.team);
    const placement::Resources use = it == team_use_.end() ? placement::Resources{} : it->second;
    const auto room = [&](double limit, double used, double need) {
        if (limit <= 0 || need <= 0) return tasks;
        return static_cast<std::uint32_t>(std::clamp(std::floor((limit - used) / need + 1e-9), 0.0, double(tasks)));
    };
    return std::min(room(team->cpus_limit, use.cpus, job.spec.need.cpus),
                    room(team->gpus_limit, use.gpus, job.spec.need.gpus));
}

std::uint32_t Overseer::take_waiting(Job& job) {
    while (!job.again.empty()) {
        const auto i = job.again.front();
        job.again.pop_front();
        if (job.tasks[i].state == State::waiting) return i;
    }
    while (job.tasks[job.fresh].state != State::waiting) ++job.fresh;
    return job.fresh++;
}

void Overseer::place_gang(Job& job, Planner& plan, TimePoint now, bool& any) {
    const auto& ask = ask_of(job);
    if (job.placed > 0) {
        // Tasks of an attempt that is ending must all be gone before the next one starts. Until an attempt has
        // started, tasks that it lost are replaced under its own number.
        if (job.gang_failing || job.gang_started) return;
        auto hosts = hosts_of(job);
        const auto missing = job.waiting();
        if (within_limit(job, missing) < missing) return;
        for (const auto at : plan.place_many(ask, hosts, missing)) {
            const auto i = take_waiting(job);
            set_placed(job, i, *ledger_.at(plan.host(at).slot), job.gang_attempt, now);
            touch(job, i, Write::at_once, now);
            any = true;
        }
        return;
    }
    if (within_limit(job, job.spec.tasks) < job.spec.tasks) return;
    auto hosts = hosts_of(job);
    const auto places = plan.place_together(ask, hosts, job.spec.tasks);
    if (places.empty()) {
        // Room for a whole gang seldom comes about by itself while smaller tasks take all that frees.
        plan.hold_for(ask, job.spec.tasks);
        return;
    }
    ++job.gang_attempt;
    job.gang_started = job.gang_failing = false;
    job.again.clear();
    job.fresh = job.spec.tasks;
    for (std::uint32_t i = 0; i < job.spec.tasks; ++i) {
        set_placed(job, i, *ledger_.at(plan.host(places[i]).slot), job.gang_attempt, now);
        touch(job, i, Write::at_once, now);
    }
    any = true;
}

void Overseer::place_each(Job& job, Planner& plan, TimePoint now, bool& any) {
    const auto& ask = ask_of(job);
    auto hosts = hosts_of(job);
    auto most = within_limit(job, std::min(job.waiting(), max_planned_tasks));
    const auto put = [&](std::size_t at) {
        const auto i = take_waiting(job);
        set_placed(job, i, *ledger_.at(plan.host(at).slot), job.tasks[i].attempt + 1, now);
        touch(job, i, Write::at_once, now);
        any = true;
    };
    if (now < job.room_made_by) {
        // Room is being made for the rest of the job: nothing else will do until then.
        for (; most > 0; --most) {
            const auto at = plan.peek(ask, hosts);
            if (at == Planner::none || !plan.host(at).has(ask.image) || !plan.place_at(at, ask, hosts, 1)) return;
            put(at);
        }
        return;
    }
    most -= room_with_image(job, plan, hosts, most, now);
    for (const auto at : plan.place_many(ask, hosts, most)) put(at);
}

placement::Ask Overseer::at_least(const Job& job, unsigned slots) const {
    auto ask = ask_of(job);
    const auto& pools = ledger_.directory().pools();
    for (std::size_t i = 0; i < ask.pools.size(); ++i)
        if (const auto* type = ledger_.type(pools[i].type);
            !type || placement::slots(job.spec.need, type->capacity) < slots)
            ask.pools[i] = false;
    return ask;
}

// A new leader hears one round of reports first: until then it does not know the load. If no work was on record
// when it began, there is no load to hear of.
bool Overseer::round_heard(TimePoint now) const {
    if (!inherited_ || now >= after(since_, settings_.report * 1.25 + 500ms)) return true;
    // Workers hurry to a higher term. Some are gone for good, and the rest need not wait for those.
    double working = 0, heard = 0;
    for (const auto& [name, m] : ledger_.all()) {
        working += !m->tasks.empty();
        heard += !m->tasks.empty() && m->reported;
    }
    return heard >= working * nearly_all;
}

// --- moves ---

JobHosts Overseer::hosts_without(const Job& job, std::uint32_t task) const {
    auto hosts = hosts_of(job);
    const auto& m = *job.tasks[task].machine;
    --hosts.per_zone[m.row.zone];
    std::erase(hosts.own, m.row.slot);
    hosts.excluded.push_back(m.row.slot);
    return hosts;
}

void Overseer::start_move(const Job& job, std::uint32_t task, placement::Id to, TimePoint now) {
    spdlog::debug("event=move task={}/{} from={} to={}", job.spec.uid, task, job.tasks[task].machine->name,
                  ledger_.at(to)->name);
    find(job.spec.uid)->tasks[task].draining = true;
    moves_.push_back({job.spec.uid, to, task, after(now, settings_.report * 4)});
}

// A task that moves starts at its goal as soon as it is gone from where it was; until then its room is kept.
void Overseer::finish_moves(Planner& plan, TimePoint now, bool& any) {
    std::erase_if(moves_, [&](const Move& move) {
        auto* job = find(move.uid);
        if (!job || job->cancelled || job->finished || now > move.until) return true;
        auto& t = job->tasks[move.task];
        const auto to = plan.find(move.to);
        if (t.state == State::placed && t.draining) {
            if (to != Planner::none) plan.reserve(to, ask_of(*job));
            return false;
        }
        if (t.state != State::waiting || to == Planner::none) return true;
        auto hosts = hosts_of(*job);
        if (within_limit(*job, 1) == 0 || !plan.place_at(to, ask_of(*job), hosts, 1)) return true;
        std::erase(job->again, move.task);
        set_placed(*job, move.task, *ledger_.at(move.to), t.attempt + 1, now);
        touch(*job, move.task, Write::at_once, now);
        any = true;
        return true;
    });
}

// A task that still waits for its image starts sooner on a machine that has got it meanwhile.
void Overseer::move_fetching(Planner& plan, TimePoint now) {
    for (auto& [uid, job] : jobs_) {
        if (!job->is(Shape::service) || job->cancelled || job->finished || job->placed <= job->running) continue;
        for (std::uint32_t i = 0; i < job->spec.tasks; ++i) {
            const auto& t = job->tasks[i];
            if (t.state != State::placed || !t.seen || t.started || t.draining) continue;
            const auto& here = t.machine->row;
            const auto& ask = ask_of(*job);
            if (here.has(ask.image)) continue;
            const Seconds left = here.image_wait(ask.image, job->spec.image_gb) * slow_fetch - (now - t.placed_at);
            if (left < settings_.report * 2) continue;
            auto hosts = hosts_without(*job, i);
            const auto at = plan.peek(ask, hosts);
            if (at == Planner::none || !plan.host(at).has(ask.image)) continue;
            plan.reserve(at, ask);
            start_move(*job, i, plan.host(at).slot, now);
        }
    }
}

// The machine whose services pay most for their slots and would all find a place, with their image, on others.
Machine* Overseer::sparsest(Planner& plan, TimePoint now) {
    Machine* worst = nullptr;
    double worst_price = 0;
    for (auto& [name, m] : ledger_.all()) {
        const auto* type = ledger_.type(m->type);
        if (!type || m->tasks.empty() || !usable(*m, now) || m->reported_tasks != m->tasks.size()) continue;
        double cheapest = 0;  // a slot of the kind, on any machine
        bool movable = true;
        for (const auto& [uid, i] : m->tasks) {
            const auto* j = job(uid);
            movable = movable && j && j->is(Shape::service) && j->tasks[i].started && !j->cancelled &&
                      !j->tasks[i].draining && now - j->tasks[i].running_since > wire::to_clock(settled);
            if (!movable) break;
            for (const auto& t : ledger_.types())
                if (const auto n = placement::slots(j->spec.need, t.capacity);
                    n > 0 && (cheapest == 0 || t.price / n < cheapest))
                    cheapest = t.price / n;
        }
        const double price = (m->spot ? type->spot_price : type->price) / static_cast<double>(m->tasks.size());
        if (!movable || price < cheapest * tunables_.sparse || price <= worst_price) continue;
        Planner::Trial trial(plan);
        if (!rehouse(*m, plan).empty()) {
            worst = m.get();
            worst_price = price;
        }
    }
    return worst;
}

// Where all tasks of a machine could go at once, their room taken from the plan; empty if one of them could not.
std::vector<placement::Id> Overseer::rehouse(const Machine& m, Planner& plan) const {
    std::vector<placement::Id> out;
    for (const auto& [uid, i] : m.tasks) {
        const auto* j = job(uid);
        const auto& ask = ask_of(*j);
        const auto at = plan.peek(ask, hosts_without(*j, i));
        if (at == Planner::none || plan.host(at).load == 0 || !plan.host(at).has(ask.image)) return {};
        out.push_back(plan.host(at).slot);
        plan.reserve(at, ask);
    }
    return out;
}

// When load has fallen, a machine that only a few services keep costs more than moving them does.
void Overseer::consolidate(Planner& plan, TimePoint now) {
    if (!moves_.empty() || now < after(short_at_, calm)) return;
    for (int k = 0; k < max_retiring; ++k) {
        auto* m = sparsest(plan, now);
        if (!m) return;
        const auto to = rehouse(*m, plan);
        spdlog::info("event=consolidate machine={} type={} tasks={}", m->name, m->type, m->tasks.size());
        m->retiring = true;
        plan.remove(m->row.slot);
        std::size_t next = 0;
        for (const auto& [uid, i] : m->tasks) start_move(*job(uid), i, to[next++], now);
    }
}

void Overseer::improve(TimePoint now) {
    if (!round_heard(now)) return;
    auto plan = planner(now);
    bool placed = false;
    finish_moves(plan, now, placed);
    move_fetching(plan, now);
    for (const auto& [uid, job] : jobs_)
        if (!job->cancelled && !job->finished && job->waiting()) short_at_ = now;
    consolidate(plan, now);
    shrink(now);
}

// The least loaded machine takes the next task, so that in a large fleet none ever gets empty by itself, however little
// there is to do. Where more room has been spare for a while than the ups and downs of the load need (which in a fleet
// of n go by the root of n), the dearest of what is spare gets no new work and goes when it is empty.
void Overseer::shrink(TimePoint now) {
    if (now < after(no_room_at_, calm)) {
        spare_since_ = now;
        return;
    }
    struct Spare {
        double waste, price;
        Machine* machine;
    };
    double total = 0, spare = 0;
    Seconds again{0};  // summed over all
    std::size_t machines = 0;
    std::vector<Spare> choices;
    for (auto& [name, m] : ledger_.all()) {
        const auto* type = ledger_.type(m->type);
        if (!type || !usable(*m, now)) continue;
        const double price = m->spot ? type->spot_price : type->price;
        const double waste = price * (1 - m->in_use());
        ++machines;
        total += price;
        spare += waste;
        again += m->again(type->boot);
        // Services do not end by themselves.
        if (m->row.standing.cpus <= 0) choices.push_back({waste, price, m.get()});
    }
    if (machines == 0) return;
    const double wanted = tunables_.spare + 2 / std::sqrt(static_cast<double>(machines));
    if (spare <= wanted * total) {
        spare_since_ = now;
        return;
    }
    // Where images take long, room is also what lets them be fetched side by side.
    again /= static_cast<double>(machines);
    std::erase_if(choices, [&](const Spare& c) {
        const auto own = c.machine->again(ledger_.type(c.machine->type)->boot);
        return now < after(spare_since_, std::max(own, again) * tunables_.spare_patience);
    });
    std::sort(choices.begin(), choices.end(), [](const Spare& a, const Spare& b) {
        return a.waste != b.waste ? a.waste > b.waste : a.machine->name < b.machine->name;
    });
    auto most = machines / 50 + 1;
    for (const auto& c : choices) {
        if (most-- == 0 || spare - c.waste <= wanted * (total - c.price)) break;
        spdlog::debug("event=cordon machine={} type={} tasks={}", c.machine->name, c.machine->type,
                      c.machine->tasks.size());
        c.machine->cordoned = true;
        spare -= c.waste;
        total -= c.price;
    }
}

// Room is wanted again.
void Overseer::uncordon() {
    for (auto& [name, m] : ledger_.all()) m->cordoned = false;
}

std::vector<TaskKey> Overseer::victims(const Job& job, const Machine& m, const Planner& plan, const JobHosts& hosts,
                                       TimePoint now, Seconds& loss) const {
    const auto& ask = ask_of(job);
    auto host = m.row;
    std::vector<std::pair<Seconds, TaskKey>> stoppable;
    for (const auto& key : m.tasks) {
        const auto* other = this->job(key.first);
        if (!other || other->spec.rank >= job.spec.rank || !other->is(Shape::array)) continue;
        const auto& t = other->tasks[key.second];
        if (t.draining) continue;
        const Seconds ran = t.started ? Seconds(now - t.running_since) : Seconds(0);
        stoppable.emplace_back(other->spec.checkpoint.count() > 0 ? std::min(other->spec.save, ran) : ran, key);
    }
    std::sort(stoppable.begin(), stoppable.end());
    std::vector<TaskKey> out;
    loss = host.image_wait(ask.image, job.spec.image_gb);
    for (const auto& [lost, key] : stoppable) {
        if (plan.would_take(host, ask, hosts)) break;
        placement::give(host.free, this->job(key.first)->spec.need);
        --host.load;
        loss += lost;
        out.push_back(key);
    }
    if (!plan.would_take(host, ask, hosts)) out.clear();
    return out;
}

void Overseer::stop_for(const Job& job, const std::vector<TaskKey>& tasks) {
    for (const auto& [uid, i] : tasks) {
        auto& t = find(uid)->tasks[i];
        spdlog::info("event=preempt task={}/{} machine={} for={}", uid, i, t.machine->name, job.spec.uid);
        t.draining = true;
    }
}

// Makes room for a critical task that found none: stops tasks of arrays of lower rank on the one machine where
// that loses the least work. What is stopped can never do the same in turn, so this cannot go on in circles.
void Overseer::preempt(Job& job, const Planner& plan, TimePoint now) {
    if (job.spec.rank != Rank::critical || job.waiting() == 0 || now < job.preempt_again || within_limit(job, 1) == 0)
        return;
    const auto hosts = hosts_of(job);
    const auto& ask = ask_of(job);
    std::vector<TaskKey> best;
    Seconds best_loss{0};
    for (const auto& [name, m] : ledger_.all()) {
        if (!usable(*m, now) || !m->current || !ask.takes(m->row.pool)) continue;
        Seconds loss{0};
        auto found = victims(job, *m, plan, hosts, now, loss);
        if (found.empty() || (!best.empty() && loss >= best_loss)) continue;
        best = std::move(found);
        best_loss = loss;
    }
    if (best.empty()) return;
    job.preempt_again = now + preempt_gap;
    stop_for(job, best);
}

// How many tasks of a critical service wait for room that is being made on machines that have its image. Where there is
// room now the image may take minutes; to stop a task of an array that saves costs seconds.
std::uint32_t Overseer::room_with_image(Job& job, const Planner& plan, const JobHosts& hosts, std::uint32_t tasks,
                                        TimePoint now) {
    if (job.spec.rank != Rank::critical || !job.is(Shape::service) || tasks == 0) return 0;
    const auto& ask = ask_of(job);
    const auto at = plan.peek(ask, hosts);
    if (at == Planner::none) return 0;
    const auto wait = plan.host(at).image_wait(ask.image, job.spec.image_gb);
    const Seconds until_free = settings_.report * 1.25 + wire::Seconds(3);
    if (wait < until_free * 3) return 0;
    if (job.room_made_by != TimePoint{}) return 0;  // it is tried once
    struct Room {
        Seconds loss;
        std::vector<TaskKey> tasks;
    };
    std::vector<Room> rooms;
    for (const auto& [name, m] : ledger_.all()) {
        if (!m->row.has(ask.image) || !usable(*m, now) || !m->current || !ask.takes(m->row.pool)) continue;
        Room room;
        room.tasks = victims(job, *m, plan, hosts, now, room.loss);
        if (!room.tasks.empty() && (room.loss + until_free) * 2 < wait) rooms.push_back(std::move(room));
    }
    if (rooms.empty()) return 0;
    std::sort(rooms.begin(), rooms.end(),
              [](const Room& a, const Room& b) { return a.loss != b.loss ? a.loss < b.loss : a.tasks < b.tasks; });
    if (rooms.size() > tasks) rooms.resize(tasks);
    for (const auto& room : rooms) stop_for(job, room.tasks);
    job.room_made_by = after(now, until_free);
    return static_cast<std::uint32_t>(rooms.size());
}

bool Overseer::place(TimePoint now) {
    mark_due(now);
    if (!round_heard(now)) return false;
    bool any = false;
    ++passes_;
    waiting_ = false;
    auto plan = planner(now);
    finish_moves(plan, now, any);
    for (auto* job : queue(now, true)) {
        if (job->is(Shape::gang))
            place_gang(*job, plan, now, any);
        else
            place_each(*job, plan, now, any);
        if (job->passed_over) preempt(*job, plan, now);
        job->passed_over = job->waiting() > 0;
        if (job->passed_over) {
            no_room_at_ = now;
            waiting_ = true;
        }
    }
    // What is spare no longer can be used in the next round, which comes in a moment.
    if (no_room_at_ == now) uncordon();
    return any;
}

// --- renting ---

Seconds Overseer::target_of(const wire::JobSpec& spec) const {
    Seconds best{0};
    for (const auto& o : settings_.objectives)
        if (o.kind == "finished" && o.job_class == spec.job_class && o.within.count() > 0 &&
            (best.count() == 0 || o.within < best))
            best = o.within;
    if (spec.deadline && (best.count() == 0 || *spec.deadline < best)) best = *spec.deadline;
    return best.count() > 0 ? best : spec.estimate * 4;
}

// Tasks of an array follow one another on a machine; only what does not fit into its time needs room at once.
std::uint32_t Overseer::wanted_now(const Job& job) const {
    const auto waiting = std::min(job.waiting(), max_planned_tasks);
    if (!job.is(Shape::array) || job.spec.estimate.count() <= 0) return waiting;
    const auto span = std::max(target_of(job.spec) * tunables_.horizon, job.spec.estimate);
    const double rounds = std::max(1.0, std::floor(span / job.spec.estimate));
    const auto total = static_cast<std::uint32_t>(std::ceil((job.waiting() + job.placed) / rounds));
    return std::min(waiting, total > job.placed ? total - job.placed : 0);
}

// What one round of renting has put together.
struct Overseer::Basket {
    std::map<fleet::Pool, int> ordered;
    std::vector<unsigned> per_zone;  // machines there, ordered ones included
};

std::optional<fleet::Pool> Overseer::cheapest(const Job& job, const JobHosts& hosts, std::uint32_t count,
                                              const Basket& basket, TimePoint now) const {
    const auto& ask = ask_of(job);
    auto& directory = ledger_.directory();
    std::optional<fleet::Pool> best;
    std::pair<double, unsigned> best_cost{};
    double cheapest_each = 0;  // of all kinds of machine, those without capacity included
    for (const auto& type : ledger_.types()) {
        if (!placement::fits(job.spec.need, type.capacity)) continue;
        const auto full = placement::slots(job.spec.need, type.capacity);
        const double each = std::min(full, std::max(1u, count));
        // Services stay for good: enough of them to fill a large machine are worth its higher price, for gangs
        // need the small ones whole.
        const bool bulk = job.is(Shape::service) && count >= full;
        for (const auto& zone : type.zones)
            for (const bool spot : {true, false}) {
                if (!ask.takes(directory.pool(type.name, zone, spot))) continue;
                fleet::Pool pool{type.name, zone, spot};
                const double each_cost = (spot ? type.spot_price : type.price) / std::max(1.0, each);
                if (cheapest_each == 0 || each_cost < cheapest_each) cheapest_each = each_cost;
                if (!ledger_.open(pool, now)) continue;
                const auto zone_id = directory.zone(zone);
                if (job.spec.one_zone && hosts.anywhere() && hosts.in_zone(zone_id) == 0) continue;
                if (job.spec.spread && hosts.in_zone(zone_id) >= (job.spec.tasks + 1) / 2) continue;
                // Between equals, the zone with the fewest machines: the loss of one zone then costs least.
                const auto there = zone_id < basket.per_zone.size() ? basket.per_zone[zone_id] : 0;
                const std::pair cost{bulk ? each_cost * std::pow(each, -bulk_worth) : each_cost, there};
                if (!best || cost < best_cost) {
                    best = pool;
                    best_cost = cost;
                }
            }
    }
    // Tasks of an array can follow one another on cheap machines; dear ones are for those that wait too long.
    if (best && job.is(Shape::array) && best_cost.first > cheapest_each * tunables_.dear &&
        now - job.arrived < wire::to_clock(target_of(job.spec) * 0.5))
        return std::nullopt;
    return best;
}

// Puts one machine more into the basket and into the plan.
std::size_t Overseer::put_in(Basket& basket, const fleet::Pool& pool, Planner& plan) const {
    const auto* type = ledger_.type(pool.type);
    Host h;
    h.slot = Planner::no_slot;
    h.pool = ledger_.directory().pool(pool.type, pool.zone, pool.spot);
    h.zone = ledger_.directory().zone(pool.zone);
    h.spot = pool.spot;
    h.capacity = h.free = type->capacity;
    h.fetch_gb_per_s = type->fetch_gb_per_s;
    ++basket.ordered[pool];
    if (h.zone >= basket.per_zone.size()) basket.per_zone.resize(h.zone + 1);
    ++basket.per_zone[h.zone];
    return plan.add(std::move(h));
}

// Room for a whole gang: all in one zone if it asks for that, with as many machines as it takes.
void Overseer::rent_for_gang(const Job& job, Basket& basket, Planner& plan, TimePoint now) const {
    const auto tasks = job.spec.tasks;
    if (within_limit(job, tasks) < tasks) return;
    const auto& ask = ask_of(job);
    auto hosts = hosts_of(job);
    if (!plan.place_together(ask, hosts, tasks).empty()) return;
    const auto first = cheapest(job, hosts, tasks, basket, now);
    if (!first) return;
    std::optional<placement::Id> zone;
    auto there = hosts;
    if (job.spec.one_zone) {
        zone = ledger_.directory().zone(first->zone);
        there.add_to_zone(*zone);
    }
    auto room = plan.room_in(ask, hosts, tasks, zone);
    for (std::uint32_t k = 0; k < tasks; ++k) {
        const auto lacking = room < tasks ? static_cast<std::uint32_t>(tasks - room) : 1;
        const auto pool = cheapest(job, there, lacking, basket, now);
        if (!pool) return;
        room += placement::slots(job.spec.need, plan.host(put_in(basket, *pool, plan)).free);
        if (room >= tasks && !plan.place_together(ask, hosts, tasks, zone).empty()) return;
    }
}

std::vector<fleet::Order> Overseer::rent(TimePoint now) {
    if (!round_heard(now)) return {};
    for (const auto& t : ledger_.types())
        for (const auto& zone : t.zones)
            for (const bool spot : {true, false}) ledger_.directory().pool(t.name, zone, spot);
    auto plan = planner(now);
    Basket basket;
    for (const auto& [name, m] : ledger_.all()) {
        const bool coming = !m->reported && m->tasks.empty();
        if ((coming || m->cordoned) && !m->releasing && m->row.capacity.cpus > 0) plan.add(m->row);
        if (m->row.zone >= basket.per_zone.size()) basket.per_zone.resize(m->row.zone + 1);
        ++basket.per_zone[m->row.zone];
    }
    const auto waiting = queue(now, false);
    // Services come one by one as well as many to a job: what counts is how many of a class wait together.
    std::map<std::string, std::uint32_t> services;
    for (const auto* job : waiting)
        if (job->is(Shape::service)) services[job->spec.job_class] += job->waiting();
    for (const auto* job : waiting) {
        if (job->is(Shape::gang) && job->placed == 0) {
            rent_for_gang(*job, basket, plan, now);
            continue;
        }
        if (job->is(Shape::gang) && (job->gang_started || job->gang_failing)) continue;
        const auto& ask = ask_of(*job);
        auto hosts = hosts_of(*job);
        auto count = within_limit(*job, wanted_now(*job));
        auto& alike = services[job->spec.job_class];
        const auto housed = [&](std::size_t n) {
            count -= static_cast<std::uint32_t>(n);
            if (job->is(Shape::service)) alike -= std::min(alike, static_cast<std::uint32_t>(n));
        };
        // Many services together are worth large machines; to plan them onto small ones that boot for others would only
        // have those rented again.
        if (const auto pool =
                job->is(Shape::service) ? cheapest(*job, hosts, std::max(count, alike), basket, now) : std::nullopt)
            housed(plan.place_many(at_least(*job, placement::slots(job->spec.need, ledger_.type(pool->type)->capacity)),
                                   hosts, count)
                       .size());
        else
            housed(plan.place_many(ask, hosts, count).size());
        while (count > 0) {
            const auto pool = cheapest(*job, hosts, std::max(count, alike), basket, now);
            if (!pool) break;
            const auto n = plan.place_at(put_in(basket, *pool, plan), ask, hosts, count);
            if (n == 0) break;
            housed(n);
        }
    }
    std::vector<fleet::Order> out;
    for (const auto& [pool, n] : basket.ordered)
        for (int left = n; left > 0; left -= max_rent) out.push_back({pool, std::min(left, max_rent)});
    return out;
}

void Overseer::rented(const fleet::Pool& pool, const std::vector<std::string>& machines, TimePoint now) {
    ledger_.granted(pool);
    for (const auto& name : machines)
        if (!ledger_.gone(name)) ledger_.add(name, pool.type, pool.zone, pool.spot, now);
}

void Overseer::catalog(std::vector<wire::MachineType> types) { ledger_.set_types(std::move(types)); }

void Overseer::listed(const std::vector<wire::ListedMachine>& machines, TimePoint now) {
    for (const auto& l : machines) {
        // The list lags: what it still shows may be gone already, and then it must not come back.
        if (ledger_.gone(l.name)) continue;
        const bool fresh = !ledger_.find(l.name);
        auto& m = ledger_.add(l.name, l.type, l.zone, l.spot, now);
        if (fresh) m.known_since = now - wire::to_clock(l.age);
        m.listed_failed = l.status == wire::MachineStatus::failed;
    }
}

std::vector<Release> Overseer::release(TimePoint now) const {
    // Many machines silent at once more likely means that this controller is cut off than that all have died.
    std::map<bool, std::pair<int, int>> silent;  // by spot: silent, all
    for (const auto& [name, m] : ledger_.all()) {
        if (m->releasing || (!m->reported && m->tasks.empty())) continue;
        auto& [quiet, total] = silent[m->spot];
        ++total;
        quiet += now - m->last_report > wire::to_clock(settings_.report * quiet_reports);
    }
    std::vector<Release> out;
    for (const auto& [name, m] : ledger_.all()) {
        const char* why = nullptr;
        const auto* type = ledger_.type(m->type);
        const Seconds boot = type ? type->boot : Seconds(60);
        const Seconds unheard = now - m->last_report;
        if (m->releasing) {
            why = "again";
        } else if (m->listed_failed) {
            why = "failed";
        } else if (m->taken_at && now > after(*m->taken_at, Seconds(1)) && unheard > settings_.report * 1.5) {
            why = "taken";
        } else if (!m->reported && m->tasks.empty()) {
            if (now - m->known_since > wire::to_clock(std::max(boot * tunables_.boot_patience, Seconds(30))) &&
                now - since_ > wire::to_clock(settings_.report * 4))
                why = "never_up";
        } else {
            const auto [quiet, total] = silent[m->spot];
            const bool many = quiet > 2 && quiet * 3 > total;
            // Reports come up to a quarter late, and one may be lost on the way.
            const auto quiet_for = std::max(tunables_.silent, settings_.report * silent_reports);
            auto patience = many ? settings_.lease + Seconds(5) : std::min(quiet_for, settings_.lease);
            // Cancelled work must be gone in time, whatever else is out of reach.
            if (unheard > settings_.report * 3)
                for (const auto& [uid, i] : m->tasks)
                    if (const auto* j = job(uid);
                        j && j->cancelled && now > after(j->cancelled_at, settings_.cancel * 0.5))
                        patience = Seconds(0);
            if (unheard > patience && now - since_ > wire::to_clock(std::min(patience, settings_.lease)))
                why = "silent";
            const Seconds idle = now - m->idle_since;
            if (!why && m->tasks.empty() && m->reported_tasks == 0 && unheard < settings_.report * 2 &&
                (m->suspect || m->retiring || m->cordoned || idle > m->again(boot) * tunables_.idle_boots))
                why = "idle";
        }
        if (!why) continue;
        out.push_back({name, why});
        if (out.size() >= max_release) break;
    }
    return out;
}

void Overseer::releasing(const std::vector<Release>& machines) {
    for (const auto& [name, why] : machines) {
        auto* m = ledger_.find(name);
        if (!m || m->releasing) continue;
        spdlog::info("event=machine_release machine={} type={} spot={} tasks={} why={}", name, m->type, m->spot,
                     m->tasks.size(), why);
        m->releasing = true;
    }
}

void Overseer::stood_still(std::chrono::steady_clock::duration gap) {
    since_ += gap;
    for (auto& [name, m] : ledger_.all()) m->last_report += gap;
}

void Overseer::released(const std::vector<std::string>& machines, TimePoint now) {
    for (const auto& name : machines) {
        auto* m = ledger_.find(name);
        if (!m) continue;
        all_lost(*m, false, now);
        ledger_.remove(name);
    }
}

// --- records ---

Batch Overseer::next_batch(std::size_t most) {
    Batch batch;
    most = std::clamp<std::size_t>(most, 2, settings_.txn_ops);
    batch.txn.conditions.push_back({election::term_key, term_stamp_});
    std::size_t bytes = 0;
    std::size_t looked = 0;
    const auto count = dirty_.size();
    while (looked++ < count && batch.txn.changes.size() < most && bytes < max_txn_bytes) {
        const auto uid = dirty_.front();
        dirty_.pop_front();
        dirty_set_.erase(uid);
        auto* job = find(uid);
        if (!job) continue;
        const bool complete = job->done == job->spec.tasks && !job->cancelled && !job->finished;
        const bool over = job->finished || (job->cancelled && job->placed == 0);
        bool left = false;
        if (complete || over) {
            if (complete) {
                // Whoever comes first decides between done and cancelled: both are conditioned on this stamp.
                if (batch.txn.changes.size() + 2 > most) {
                    mark_dirty(uid);
                    break;
                }
                batch.txn.conditions.push_back({job_key(uid), job->stamp});
                batch.txn.changes.push_back({job_key(uid), job_record(job->spec, wire::JobState::done), 0});
                batch.parts.push_back({uid, 0, job->generation, Batch::Part::Kind::finish});
                batch.keys.push_back(job_key(uid));
                bytes += 1024;
            }
            for (std::uint32_t c = 0; c < job->chunks.size(); ++c) {
                if (!job->chunks[c].stamp) continue;
                if (batch.txn.changes.size() >= most) {
                    left = true;
                    break;
                }
                batch.txn.conditions.push_back({work_key(uid, c), job->chunks[c].stamp});
                batch.txn.changes.push_back({work_key(uid, c), std::nullopt, 0});
                batch.parts.push_back({uid, c, job->generation, Batch::Part::Kind::remove});
                batch.keys.push_back(work_key(uid, c));
            }
            if (!left && over &&
                std::all_of(job->chunks.begin(), job->chunks.end(), [](const Chunk& c) { return c.stamp == 0; })) {
                // Nothing of it is on record: forget it, and tell workers to clear what they still show.
                jobs_.erase(uid);
                continue;
            }
        } else if (!job->cancelled) {
            for (std::uint32_t c = 0; c < job->chunks.size(); ++c) {
                auto& chunk = job->chunks[c];
                if (chunk.durable >= chunk.changed) continue;
                if (batch.txn.changes.size() >= most || bytes >= max_txn_bytes) {
                    left = true;
                    break;
                }
                auto record = work_record(*job, c);
                bytes += 600 + record["tasks"].as_array().size() * 32;
                // No placement may be added once the job was cancelled.
                if (batch.keys.empty() || batch.keys.back() != job_key(uid)) {
                    batch.txn.conditions.push_back({job_key(uid), job->stamp});
                    batch.keys.push_back(job_key(uid));
                }
                batch.txn.conditions.push_back({work_key(uid, c), chunk.stamp});
                batch.txn.changes.push_back({work_key(uid, c), std::move(record), 0});
                batch.parts.push_back({uid, c, chunk.changed, Batch::Part::Kind::write});
                batch.keys.insert(batch.keys.end() - 1, work_key(uid, c));
            }
        }
        if (left) mark_dirty(uid);
    }
    while (!orphans_.empty() && batch.txn.changes.size() < most) {
        batch.txn.conditions.push_back({orphans_.back().first, orphans_.back().second});
        batch.txn.changes.push_back({orphans_.back().first, std::nullopt, 0});
        orphans_.pop_back();
    }
    return batch;
}

void Overseer::committed(const Batch& batch, std::uint64_t revision, TimePoint now) {
    for (const auto& p : batch.parts) {
        auto* job = find(p.uid);
        if (!job) continue;
        switch (p.kind) {
            case Batch::Part::Kind::write:
                job->chunks[p.chunk].stamp = revision;
                job->chunks[p.chunk].durable = std::max(job->chunks[p.chunk].durable, p.generation);
                break;
            case Batch::Part::Kind::finish:
                spdlog::info("event=job_done job={} class={} seconds={:.1f}", p.uid, job->spec.job_class,
                             Seconds(now - job->arrived).count());
                job->stamp = revision;
                job->finished = true;
                break;
            case Batch::Part::Kind::remove:
                job->chunks[p.chunk].stamp = 0;
                break;
        }
        if (job->finished || job->cancelled) mark_dirty(p.uid);
    }
}

void Overseer::reread(const state::Item& item, TimePoint now) {
    std::string uid;
    std::uint32_t chunk = 0;
    if (parse_work_key(item.key, uid, chunk)) {
        if (auto* job = find(uid); job && chunk < job->chunks.size()) job->chunks[chunk].stamp = item.stamp;
        return;
    }
    job_changed(item, now);
}

void Overseer::retry(const Batch& batch) {
    for (const auto& p : batch.parts) mark_dirty(p.uid);
}

}  // namespace flintdale::agent
