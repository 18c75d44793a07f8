// The cloud and the workers on its machines, by the page.
#pragma once
#include <set>

#include "store.hpp"

namespace stand_in {

struct WorkerSettings {
    double report_s = 3, lease_s = 18, gang_wait_s = 30, gang_peer_s = 6, cancel_s = 48;
};

struct MachineType {
    std::string name = "dzintars-24";
    double cores = 24, accelerators = 4, mem_gb = 96, pull_gb_per_s = 0.12, price = 9.16, market_price = 4.08;
    double boot_s = 45;
    std::vector<std::string> halls{"riga-centrs", "jelgava-dr"};
    int most = 4;  // ordinary machines that the cloud has in each zone
};

struct Settings {
    WorkerSettings workers;
    double cloud_rps = 6, list_lag_s = 3, cloud_latency_s = 0.2;
    std::vector<MachineType> types{MachineType{}};
};

struct TaskName {
    std::string job;
    int shard = 0;
    auto operator<=>(const TaskName&) const = default;
    std::string text() const { return job + "/" + std::to_string(shard); }
};

// A stay of a task on a machine: from when it has its image until it exits, is killed or the machine is gone.
struct Stay {
    TaskName task;
    std::string machine, hall;
    TimePoint from;
    std::optional<TimePoint> to;
};

// What a job is, for the workers.
struct Job {
    std::string shape;
    int shards = 1;
    double runs_s = 1e9, image_gb = 1, cores = 1, accelerators = 0, mem_gb = 1;
};

class Fleet {
  public:
    Fleet(Record& record, Settings settings)
        : record_(record),
          settings_(std::move(settings)),
          calls_(settings_.cloud_rps, 2),
          cloud_([this](const Request& r) { return answer(r); }) {}

    std::string cloud_address() const { return cloud_.address(); }
    // The addresses that workers report to: port by member's name. Set before machines are added.
    void set_controllers(std::vector<std::pair<std::string, int>> controllers) {
        controllers_ = std::move(controllers);
    }
    void upload(const std::string& uid, Job job) {
        const std::lock_guard lock(mutex_);
        jobs_[uid] = std::move(job);
    }
    // A machine that is up already.
    std::string add_running(const std::string& type, const std::string& hall) {
        const std::lock_guard lock(mutex_);
        return add(type_of(type), hall, false, 0.1)->name;
    }
    // The machine hangs: it neither reports, answers nor carries out anything, and its tasks stay on it.
    void set_hanging(const std::string& name, bool on) {
        const std::lock_guard lock(mutex_);
        record_.line("machine %s %s", name.c_str(), on ? "hangs" : "goes on");
        machines_.at(name)->hangs = on;
    }
    // The machine's reports arrive; answers to them and direct commands are lost.
    void set_deaf(const std::string& name, bool on) {
        const std::lock_guard lock(mutex_);
        record_.line("machine %s: answers to it are %s", name.c_str(), on ? "lost" : "heard again");
        machines_.at(name)->deaf = on;
    }
    // The image is in the machine's cache, from earlier work.
    void set_cached(const std::string& name, const std::string& job) {
        const std::lock_guard lock(mutex_);
        machines_.at(name)->images.insert(job);
    }
    // How long the machine takes to fetch an image.
    void set_fetch(const std::string& name, double seconds) {
        const std::lock_guard lock(mutex_);
        machines_.at(name)->fetch_s = seconds;
    }
    // The fetches of the machine are complete.
    void finish_fetch(const std::string& name) {
        const std::lock_guard lock(mutex_);
        for (auto& [task, t] : machines_.at(name)->tasks)
            if (t.status == "pulling") t.ready = Clock::now();
    }
    // The machine is faulty: the next task that has its image there fails.
    void set_faulty(const std::string& name) {
        const std::lock_guard lock(mutex_);
        machines_.at(name)->faulty = true;
    }
    // When the last report was sent that the machine has an answer to.
    TimePoint last_answered(const std::string& name) {
        const std::lock_guard lock(mutex_);
        return machines_.at(name)->lease_from;
    }
    // The state of a task on a machine; empty if it is not there.
    std::string status(const std::string& name, const TaskName& task) {
        const std::lock_guard lock(mutex_);
        const auto& tasks = machines_.at(name)->tasks;
        const auto it = tasks.find(task);
        return it == tasks.end() ? "" : it->second.status;
    }
    std::vector<Stay> stays() {
        const std::lock_guard lock(mutex_);
        return stays_;
    }
    // Where tasks of the job are now.
    std::vector<Stay> on_machines(const std::string& uid) {
        const std::lock_guard lock(mutex_);
        std::vector<Stay> out;
        for (const auto& stay : stays_)
            if (stay.task.job == uid && !stay.to) out.push_back(stay);
        return out;
    }
    int running(const std::string& uid) {
        const std::lock_guard lock(mutex_);
        int n = 0;
        for (const auto& [name, m] : machines_)
            for (const auto& [task, t] : m->tasks) n += task.job == uid && t.status == "running";
        return n;
    }
    std::map<std::string, int> calls() {
        const std::lock_guard lock(mutex_);
        return counts_;
    }

  private:
    struct Task {
        std::uint64_t attempt = 0;
        std::string status = "pulling", cause;
        TimePoint ready;  // when the image is there, or the run is over
        std::optional<TimePoint> alone_since;
        std::size_t stay = 0;
        bool on_machine = false;
    };
    struct Machine {
        std::string name, hall;
        const MachineType* type = nullptr;
        bool spot = false, up = false, hangs = false, deaf = false, faulty = false;
        double fetch_s = 0;  // 0: by the type's rate
        TimePoint created, up_at;
        std::optional<TimePoint> gone;
        int port = 0;
        std::map<TaskName, Task> tasks;
        std::set<std::string> images;
        std::uint64_t tenure = 1, tick = 0, baton = 0;
        TimePoint lease_from, token_told;
        bool changed = false;
        std::unique_ptr<HttpServer> server;
    };

    const MachineType& type_of(const std::string& name) const {
        for (const auto& type : settings_.types)
            if (type.name == name) return type;
        throw std::runtime_error("unknown type");
    }

    Machine* add(const MachineType& type, const std::string& hall, bool spot, double boots_in) {
        char name[16];
        std::snprintf(name, sizeof name, "n-%06d", ++last_machine_);
        auto machine = std::make_unique<Machine>();
        auto* m = machine.get();
        m->name = name;
        m->hall = hall;
        m->type = &type;
        m->spot = spot;
        m->created = Clock::now();
        m->up_at = m->created + to_clock(boots_in);
        m->server = std::make_unique<HttpServer>([this, m](const Request& r) { return asked_directly(*m, r); });
        m->port = m->server->port();
        machines_[name] = std::move(machine);
        std::thread([this, m] { worker(*m); }).detach();
        return m;
    }

    // --- the cloud ---

    static Response reply(int status, const json::value& body) { return {status, json::serialize(body), 0}; }

    Response answer(const Request& request) {
        std::this_thread::sleep_for(to_clock(settings_.cloud_latency_s));
        const std::lock_guard lock(mutex_);
        const Target target(request.target);
        const bool post = request.method == "POST";
        ++counts_[request.method + " " + target.path];
        if (!calls_.take(1)) {
            ++counts_["429"];
            return reply(429, json::object{});
        }
        if (target.path == "/catalog") return catalog();
        if (target.path == "/machines" && !post) return list(target);
        if (target.path == "/machines") return rent(request.body);
        if (target.path == "/machines/release") return release(request.body);
        return reply(404, json::object{});
    }
    Response catalog() const {
        json::array types;
        for (const auto& t : settings_.types)
            types.push_back(json::object{{"name", t.name},
                                         {"cores", t.cores},
                                         {"accelerators", t.accelerators},
                                         {"mem_gb", t.mem_gb},
                                         {"local_gb", 80.0},
                                         {"pull_gb_per_s", t.pull_gb_per_s},
                                         {"price", t.price},
                                         {"market_price", t.market_price},
                                         {"boot_s", t.boot_s},
                                         {"halls", json::value_from(t.halls)}});
        return reply(200, {{"hosttypes", std::move(types)}});
    }
    Response list(const Target& target) const {
        const auto page = std::min<std::uint64_t>(target.number("page", 500), 500);
        const auto from = target.text("from");
        const auto as_of = Clock::now() - to_clock(settings_.list_lag_s);
        json::array hosts;
        bool truncated = false;
        for (auto it = machines_.upper_bound(from); it != machines_.end(); ++it) {
            const auto& m = *it->second;
            if (m.created > as_of || (m.gone && *m.gone <= as_of)) continue;
            if (hosts.size() >= page) {
                truncated = true;
                break;
            }
            hosts.push_back(json::object{{"uid", m.name},
                                         {"endpoint", address_of(m.port)},
                                         {"hosttype", m.type->name},
                                         {"hall", m.hall},
                                         {"loaners", m.spot},
                                         {"status", m.up_at <= as_of ? "running" : "starting"},
                                         {"held_s", Seconds(as_of - m.created).count()}});
        }
        return reply(200, {{"hosts", std::move(hosts)}, {"truncated", truncated}});
    }
    Response rent(const std::string& body) {
        const auto o = json::parse(body);
        const std::string hire(o.at("hire").as_string()), hall(o.at("hall").as_string());
        const auto& type = type_of(std::string(o.at("hosttype").as_string()));
        const bool spot = o.at("loaners").as_bool();
        const int number = o.at("number").to_number<int>();
        auto& granted = hires_[hire];
        if (granted.empty()) {
            int held = 0;
            for (const auto& [name, m] : machines_)
                held += m->type == &type && m->hall == hall && m->spot == spot && !m->gone;
            const int most = spot ? 0 : type.most - held;
            for (int i = 0; i < std::min(number, most); ++i)
                granted.push_back(add(type, hall, spot, type.boot_s)->name);
            record_.line("cloud: hire %s of %d %s in %s%s: %zu rented", hire.c_str(), number, type.name.c_str(),
                         hall.c_str(), spot ? " (spot)" : "", granted.size());
        }
        if (granted.empty()) return reply(503, {{"error", "no capacity"}});
        return reply(200, {{"hosts", json::value_from(granted)}});
    }
    Response release(const std::string& body) {
        const auto names = json::value_to<std::vector<std::string>>(json::parse(body).at("hosts"));
        if (names.size() > 100) return reply(400, {{"error", "too many"}});
        for (const auto& name : names) {
            const auto it = machines_.find(name);
            if (it == machines_.end() || it->second->gone) continue;
            record_.line("cloud: %s is released", name.c_str());
            it->second->gone = Clock::now();
            lose_tasks(*it->second, "machine released");
        }
        return reply(200, json::object{});
    }

    // --- a worker ---

    void arrives(Machine& m, const TaskName& name, Task& task) {
        task.on_machine = true;
        task.stay = stays_.size();
        stays_.push_back({name, m.name, m.hall, Clock::now(), {}});
        record_.line("run: %s try %llu is on %s", name.text().c_str(), static_cast<unsigned long long>(task.attempt),
                     m.name.c_str());
    }
    void leaves(Machine& m, const TaskName& name, Task& task, const std::string& why) {
        if (!task.on_machine) return;
        task.on_machine = false;
        stays_[task.stay].to = Clock::now();
        record_.line("run: %s try %llu leaves %s: %s", name.text().c_str(),
                     static_cast<unsigned long long>(task.attempt), m.name.c_str(), why.c_str());
    }
    void lose_tasks(Machine& m, const std::string& why) {
        for (auto& [name, task] : m.tasks) leaves(m, name, task, why);
        m.tasks.clear();
    }
    void end(Machine& m, const TaskName& name, Task& task, const std::string& cause) {
        leaves(m, name, task, cause);
        task.status = "ended";
        task.cause = cause;
        m.changed = true;
        if (cause == "done") done_.try_emplace(name, Clock::now());
    }

    void carry_out(Machine& m, const json::array& orders) {
        for (const auto& order : orders) {
            const auto verb = order.at("verb").as_string();
            const std::string shard(order.at("shard").as_string());
            const auto slash = shard.rfind('/');
            const TaskName name{shard.substr(0, slash), std::stoi(shard.substr(slash + 1))};
            const auto attempt = order.at("try").to_number<std::uint64_t>();
            const auto it = m.tasks.find(name);
            const bool held = it != m.tasks.end() && it->second.attempt == attempt;
            if (verb == "run") {
                if (held) continue;
                start(m, name, attempt);
            } else if (held && verb == "kill" && it->second.status != "ended") {
                end(m, name, it->second, "halted");
            } else if (held && verb == "clear" && it->second.status == "ended") {
                m.tasks.erase(it);
                m.changed = true;
            }
        }
    }
    void start(Machine& m, const TaskName& name, std::uint64_t attempt) {
        m.changed = true;
        Task task;
        task.attempt = attempt;
        const auto job = jobs_.find(name.job);
        double cores = 0, accelerators = 0, mem = 0;
        bool in_use = false;
        for (const auto& [other, t] : m.tasks) {
            in_use = in_use || (other == name && t.status != "ended");
            if (t.status == "ended") continue;
            const auto& j = jobs_.at(other.job);
            cores += j.cores;
            accelerators += j.accelerators;
            mem += j.mem_gb;
        }
        if (in_use) {
            record_.line("run: %s refused on %s: in_use", name.text().c_str(), m.name.c_str());
            return;
        }
        if (job == jobs_.end() || name.shard >= job->second.shards) {
            task.status = "ended";
            task.cause = "no_such";
        } else if (cores + job->second.cores > m.type->cores + 1e-6 ||
                   accelerators + job->second.accelerators > m.type->accelerators + 1e-6 ||
                   mem + job->second.mem_gb > m.type->mem_gb + 1e-6) {
            task.status = "ended";
            task.cause = "full";
        } else {
            const bool cached = m.images.contains(name.job);
            const double fetch_s = m.fetch_s > 0 ? m.fetch_s : job->second.image_gb / m.type->pull_gb_per_s;
            task.ready = Clock::now() + to_clock(cached ? 0.05 : fetch_s);
        }
        m.tasks[name] = task;
    }

    // Lets time pass for the tasks of a machine that does not hang.
    void progress(Machine& m) {
        const auto now = Clock::now();
        for (auto& [name, task] : m.tasks) {
            if (task.status == "ended") continue;
            const auto& job = jobs_.at(name.job);
            if (task.status == "pulling" && now >= task.ready) {
                arrives(m, name, task);
                m.images.insert(name.job);
                if (std::exchange(m.faulty, false)) {
                    end(m, name, task, "error");
                    continue;
                }
                // The result of a completed task is kept.
                if (done_.contains(name)) {
                    end(m, name, task, "done");
                    continue;
                }
                task.status = job.shape == "ensemble" ? "waiting" : "running";
                task.ready = now + to_clock(job.shape == "ensemble" ? settings_.workers.gang_wait_s : job.runs_s);
                m.changed = true;
            } else if (task.status == "waiting") {
                if (all_wait(name.job, task.attempt, job.shards)) start_gang(name.job, task.attempt, job);
                if (task.status == "waiting" && now >= task.ready) end(m, name, task, "incomplete");
            } else if (task.status == "running" && job.shape == "ensemble" && gang_done(name.job)) {
                end(m, name, task, "done");
            } else if (task.status == "running" && job.shape == "ensemble" && gang_broken(name.job, task, job)) {
                end(m, name, task, "peers");
            } else if (task.status == "running" && now >= task.ready && job.shape != "standing") {
                end(m, name, task, "done");
            }
        }
    }
    bool all_wait(const std::string& uid, std::uint64_t attempt, int shards) const {
        int n = 0;
        for (const auto& [machine, m] : machines_)
            for (const auto& [name, t] : m->tasks)
                n += name.job == uid && t.attempt == attempt && (t.status == "waiting" || t.status == "running");
        return n >= shards;
    }
    // The tasks of a gang complete together.
    bool gang_done(const std::string& uid) const {
        const auto it = done_.lower_bound({uid, 0});
        return it != done_.end() && it->first.job == uid;
    }
    // Another task of the running gang is gone, or its machine hangs; noticed within gang_peer_s.
    bool gang_broken(const std::string& uid, Task& task, const Job& job) const {
        int running = 0;
        for (const auto& [machine, m] : machines_)
            for (const auto& [name, t] : m->tasks)
                running += name.job == uid && t.attempt == task.attempt && t.status == "running" && !m->hangs;
        if (running >= job.shards) {
            task.alone_since.reset();
            return false;
        }
        if (!task.alone_since) task.alone_since = Clock::now();
        return Clock::now() - *task.alone_since > to_clock(settings_.workers.gang_peer_s * 0.8);
    }
    void start_gang(const std::string& uid, std::uint64_t attempt, const Job& job) {
        for (auto& [machine, m] : machines_)
            for (auto& [name, t] : m->tasks)
                if (name.job == uid && t.attempt == attempt && t.status == "waiting") {
                    t.status = "running";
                    t.ready = Clock::now() + to_clock(job.runs_s);
                    m->changed = true;
                }
    }

    std::string report(Machine& m) {
        ++m.tick;
        json::array shards;
        for (const auto& [name, task] : m.tasks) {
            json::object shard{{"shard", name.text()}, {"try", task.attempt}, {"status", task.status}};
            if (!task.cause.empty()) shard["cause"] = task.cause;
            shards.push_back(std::move(shard));
        }
        return json::serialize(json::object{{"host", m.name},
                                            {"endpoint", address_of(m.port)},
                                            {"hosttype", m.type->name},
                                            {"hall", m.hall},
                                            {"loaners", m.spot},
                                            {"tenure", m.tenure},
                                            {"tick", m.tick},
                                            {"baton", m.baton},
                                            {"warning_s", nullptr},
                                            {"shards", std::move(shards)}});
    }

    Response asked_directly(Machine& m, const Request& request) {
        for (;;) {
            {
                const std::lock_guard lock(mutex_);
                if (m.gone || !m.up || m.deaf) return {};
                if (!m.hangs) {
                    if (request.target == "/status") return {200, report(m), 0};
                    const auto body = json::parse(request.body);
                    const auto baton = body.at("baton").to_number<std::uint64_t>();
                    if (baton < m.baton || body.at("tenure").to_number<std::uint64_t>() != m.tenure)
                        return {409, report(m), 0};
                    m.baton = baton;
                    carry_out(m, body.at("orders").as_array());
                    return {200, report(m), 0};
                }
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
    }

    void worker(Machine& m) {
        std::mt19937 random(static_cast<unsigned>(m.port));
        std::this_thread::sleep_until(m.up_at);
        {
            const std::lock_guard lock(mutex_);
            m.up = true;
            m.lease_from = Clock::now();
        }
        HttpClient client;
        std::size_t node = random() % controllers_.size();
        auto next = Clock::now(), last = Clock::now() - std::chrono::seconds(1);
        for (;;) {
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
            std::string body;
            std::uint64_t tenure = 0;
            {
                const std::lock_guard lock(mutex_);
                if (m.gone) return;
                if (m.hangs) continue;
                const auto now = Clock::now();
                if (now - m.lease_from > to_clock(settings_.workers.lease_s)) {
                    record_.line("worker %s: lease over, tenure %llu ends", m.name.c_str(),
                                 static_cast<unsigned long long>(m.tenure));
                    lose_tasks(m, "lease over");
                    ++m.tenure;
                    m.lease_from = now;
                    m.changed = true;
                }
                progress(m);
                const bool due = now >= next || (m.changed && now - last >= std::chrono::milliseconds(500));
                if (!due) continue;
                m.changed = false;
                tenure = m.tenure;
                body = report(m);
            }
            last = Clock::now();
            auto response = client.request(controllers_[node].second, "POST", "/agent/beat", body, 4);
            const bool lost = is_deaf(m);
            record_.line("worker %s reports to %s: %d%s; %s", m.name.c_str(), controllers_[node].first.c_str(),
                         response.status, lost ? ", and the answer is lost" : "", body.c_str());
            if (lost) {
                std::this_thread::sleep_until(last + std::chrono::seconds(4));
                response = {};
            }
            const double spread = std::uniform_real_distribution<double>(0.75, 1.25)(random);
            next = Clock::now() + to_clock(settings_.workers.report_s * spread);
            if (response.status == 200) {
                take_answer(m, response.body, last, tenure);
                continue;
            }
            client.disconnect();
            next = Clock::now() + std::chrono::seconds(1);
            node = (node + 1) % controllers_.size();
            if (response.status == 421) follow_redirect(response.body, node, next);
        }
    }
    bool is_deaf(const Machine& m) {
        const std::lock_guard lock(mutex_);
        return m.deaf;
    }
    void follow_redirect(const std::string& body, std::size_t& node, TimePoint& next) const {
        const auto parsed = json::parse(body).as_object();
        const auto* overseer = parsed.if_contains("overseer");
        if (!overseer || !overseer->is_string()) return;
        const auto asked = (node + controllers_.size() - 1) % controllers_.size();
        for (std::size_t i = 0; i < controllers_.size(); ++i)
            if (i != asked && controllers_[i].first == std::string(overseer->as_string())) {
                node = i;
                next = Clock::now() + std::chrono::milliseconds(100);
            }
    }
    void take_answer(Machine& m, const std::string& body, TimePoint sent, std::uint64_t tenure) {
        const auto answer = json::parse(body);
        const std::lock_guard lock(mutex_);
        // A machine that hangs does not carry out what came in the meantime; a response of over 4 s is dropped.
        if (m.gone || m.hangs || tenure != m.tenure) return;
        const auto baton = answer.at("baton").to_number<std::uint64_t>();
        if (baton < m.baton) return;
        if (baton > m.baton && Clock::now() - m.token_told > to_clock(settings_.workers.lease_s / 2)) {
            m.changed = true;
            m.token_told = Clock::now();
        }
        m.baton = baton;
        m.lease_from = sent;
        const auto& orders = answer.at("orders").as_array();
        for (const auto& order : orders)
            record_.line("worker %s is told: %s", m.name.c_str(), json::serialize(order).c_str());
        carry_out(m, orders);
    }

    Record& record_;
    Settings settings_;
    std::mutex mutex_;
    Bucket calls_;
    std::map<std::string, std::unique_ptr<Machine>> machines_;
    std::map<std::string, std::vector<std::string>> hires_;
    std::map<std::string, Job> jobs_;
    std::map<std::string, int> counts_;
    std::vector<Stay> stays_;
    std::map<TaskName, TimePoint> done_;
    std::vector<std::pair<std::string, int>> controllers_;
    int last_machine_ = 0;
    HttpServer cloud_;
};

}  // namespace stand_in
