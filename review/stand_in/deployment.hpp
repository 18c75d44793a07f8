// The controllers, started as the deploy file says, and users who talk to them.
#pragma once
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <filesystem>
#include <fstream>

#include "fleet.hpp"

namespace stand_in {

struct Member {
    std::string name, location;
};

// As in the site file of rigas-pasutijumi, with fewer machines.
struct Cluster {
    std::vector<Member> members{{"hearth-0", "riga-centrs"}, {"hearth-1", "jelgava-dr"}, {"hearth-2", "riga-centrs"}};
    std::vector<std::string> zones{"riga-centrs", "jelgava-dr"};
    std::string team = "ordering-core";
    StoreLimits state{80, 30, 16, 12};
    Settings settings{{3, 18, 30, 6, 48}, 8, 10, 0.2, {MachineType{}}};
};

class Deployment {
  public:
    Deployment(Record& record, const Cluster& cluster, std::string program, std::string directory)
        : record_(record),
          cluster_(cluster),
          program_(std::move(program)),
          directory_(std::move(directory)),
          store_(cluster.state),
          fleet_(record, cluster.settings) {
        const auto n = cluster_.members.size();
        for (std::size_t i = 0; i < n; ++i) {
            serve_on_.push_back(free_port());
            peer_listen_.push_back(free_port());
        }
        std::vector<std::pair<std::string, int>> addresses;
        for (std::size_t i = 0; i < n; ++i) addresses.emplace_back(cluster_.members[i].name, serve_on_[i]);
        fleet_.set_controllers(std::move(addresses));
        for (std::size_t i = 0; i < n; ++i) write_settings(i);
        processes_.assign(n, -1);
    }
    // Ends all that was started, and this process. Threads of the stand-ins may still run.
    [[noreturn]] void finish(int code) {
        for (std::size_t i = 0; i < processes_.size(); ++i) end(i);
        std::_Exit(code);
    }
    Deployment(const Deployment&) = delete;
    Deployment& operator=(const Deployment&) = delete;

    Store& store() { return store_; }
    Fleet& fleet() { return fleet_; }
    std::size_t size() const { return processes_.size(); }
    int port(std::size_t i) const { return serve_on_[i]; }
    const std::string& name(std::size_t i) const { return cluster_.members[i].name; }

    void start(std::size_t i) {
        const auto settings = directory_ + "/" + name(i) + ".toml", log = directory_ + "/" + name(i) + ".log";
        record_.line("controller %s: started", name(i).c_str());
        const auto parent = getpid();
        const pid_t id = fork();
        if (id == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (getppid() != parent) _exit(1);
            const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(fd, STDERR_FILENO);
            execl(program_.c_str(), program_.c_str(), "--config", settings.c_str(), nullptr);
            _exit(127);
        }
        processes_[i] = id;
    }
    // The process is killed with no signal to handle, as the deploy page says.
    void end(std::size_t i) {
        if (processes_[i] < 0) return;
        record_.line("controller %s: killed", name(i).c_str());
        ::kill(processes_[i], SIGKILL);
        waitpid(processes_[i], nullptr, 0);
        processes_[i] = -1;
    }
    // Whether a process that should run has ended by itself.
    bool ended_by_itself(std::size_t i) {
        int status = 0;
        if (processes_[i] < 0 || waitpid(processes_[i], &status, WNOHANG) == 0) return false;
        record_.line("controller %s: ended by itself, status %d", name(i).c_str(), status);
        processes_[i] = -1;
        return true;
    }
    std::optional<std::size_t> leader() {
        const auto holder = store_.leader();
        for (std::size_t i = 0; i < size(); ++i)
            if (name(i) == holder) return i;
        return std::nullopt;
    }
    bool ready(std::size_t i) {
        HttpClient client;
        return client.request(port(i), "GET", "/ready", "", 1).status == 200;
    }
    // Starts all controllers. If they are not ready in time, the case cannot run.
    void start_all() {
        for (std::size_t i = 0; i < size(); ++i) start(i);
        if (wait_until_ready(25)) return;
        record_.line("check: the controllers are not ready");
        finish(2);
    }
    // Waits until all controllers are ready and one leads.
    bool wait_until_ready(double seconds) {
        const auto until = Clock::now() + to_clock(seconds);
        while (Clock::now() < until) {
            bool all = leader().has_value();
            for (std::size_t i = 0; i < size() && all; ++i) all = ready(i);
            if (all) return true;
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
        }
        return false;
    }

    // --- users ---

    Response ask(std::size_t i, const std::string& method, const std::string& target, const std::string& body,
                 double patience_s) {
        HttpClient client;
        auto response = client.request(port(i), method, target, body, patience_s);
        record_.line("user: %s %s at %s: %d %s", method.c_str(), target.c_str(), name(i).c_str(), response.status,
                     response.body.c_str());
        return response;
    }
    // Submits as users do: retried for up to 60 s. The first controller is asked first.
    Response submit(const std::string& body, std::size_t first = 0) {
        return repeat(first, "/submissions", body, {200, 201, 400, 422});
    }
    Response cancel(const std::string& uid, std::size_t first = 0) {
        return repeat(first, "/submissions/" + uid + "/cancel", "", {200});
    }

  private:
    Response repeat(std::size_t first, const std::string& target, const std::string& body, std::set<int> final) {
        const auto until = Clock::now() + std::chrono::seconds(60);
        Response response;
        for (std::size_t i = first; Clock::now() < until; ++i) {
            response = ask(i % size(), "POST", target, body, 5);
            if (final.contains(response.status)) return response;
            std::this_thread::sleep_for(to_clock(std::clamp(response.retry_after, 1.0, 30.0)));
        }
        return response;
    }

    void write_settings(std::size_t i) {
        const auto& w = cluster_.settings.workers;
        std::ofstream out(directory_ + "/" + name(i) + ".toml");
        out << "member = \"" << name(i) << "\"\nlocation = \"" << cluster_.members[i].location << "\"\nserve_on = \""
            << address_of(serve_on_[i]) << "\"\npeer_listen = \"" << address_of(peer_listen_[i]) << "\"\n";
        for (std::size_t j = 0; j < cluster_.members.size(); ++j)
            if (j != i)
                out << "[[seeds]]\nmember = \"" << name(j) << "\"\nlocation = \"" << cluster_.members[j].location
                    << "\"\naddr = \"" << address_of(peer_listen_[j]) << "\"\n";
        out << "[endpoints]\ncloud = \"" << fleet_.cloud_address() << "\"\nstate = \"" << store_.address()
            << "\"\n[cluster]\nnodes = " << cluster_.members.size()
            << "\nzones = " << json::serialize(json::value_from(cluster_.zones)) << "\nclock_off_ms = 100.0\n"
            << "[[cluster.teams]]\nname = \"" << cluster_.team
            << "\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n"
            << "[cluster.workers]\nreport_s = " << decimal(w.report_s) << "\nlease_s = " << decimal(w.lease_s)
            << "\ngang_wait_s = " << decimal(w.gang_wait_s) << "\ngang_peer_s = " << decimal(w.gang_peer_s)
            << "\ncancel_s = " << decimal(w.cancel_s) << "\n[cluster.state]\nrps = " << decimal(cluster_.state.rps)
            << "\nwrite_rps = " << decimal(cluster_.state.write_rps)
            << "\nvalue_kb = " << decimal(cluster_.state.value_kb) << "\ntxn_ops = " << cluster_.state.txn_ops
            << "\n[cluster.cloud]\nrps = " << decimal(cluster_.settings.cloud_rps)
            << "\nlist_lag_s = " << decimal(cluster_.settings.list_lag_s)
            << "\n[cluster.limits]\ncore_share = 0.096\nmem_mb = 104.0\nmax_sockets = 2000\n";
    }
    static std::string decimal(double number) {
        char text[32];
        std::snprintf(text, sizeof text, "%.3f", number);
        return text;
    }

    Record& record_;
    Cluster cluster_;
    std::string program_, directory_;
    Store store_;
    Fleet fleet_;
    std::vector<int> serve_on_, peer_listen_;
    std::vector<pid_t> processes_;
};

// The load balancer for users: it chooses a healthy controller for each new connection, of those with the fewest open
// ones. Open connections stay.
class LoadBalancer {
  public:
    explicit LoadBalancer(Deployment& deployment)
        : deployment_(deployment), connections_(deployment.size()), failures_(deployment.size()) {
        std::thread([this] { probe_loop(); }).detach();
    }
    std::size_t connect() {
        const std::lock_guard lock(mutex_);
        std::vector<std::size_t> best;
        for (std::size_t i = 0; i < connections_.size(); ++i) {
            if (failures_[i] >= 2) continue;
            if (!best.empty() && connections_[i] > connections_[best[0]]) continue;
            if (!best.empty() && connections_[i] < connections_[best[0]]) best.clear();
            best.push_back(i);
        }
        const auto chosen = best.empty() ? 0 : best[random_() % best.size()];
        ++connections_[chosen];
        return chosen;
    }
    void disconnect(std::size_t controller) {
        const std::lock_guard lock(mutex_);
        --connections_[controller];
    }

  private:
    void probe_loop() {
        for (;;) {
            for (std::size_t i = 0; i < failures_.size(); ++i) {
                const bool ready = deployment_.ready(i);
                const std::lock_guard lock(mutex_);
                failures_[i] = ready ? 0 : failures_[i] + 1;
            }
            std::this_thread::sleep_for(std::chrono::seconds(1));
        }
    }

    Deployment& deployment_;
    std::mutex mutex_;
    std::vector<int> connections_, failures_;
    std::mt19937 random_{std::random_device{}()};
};

// The body of a submission, for users, and the same job for the workers.
struct Submission {
    std::string uid, jobclass = "order-rank", owner = "ordering-core", rank = "normal";
    Job job;
    double guess_s = 60;
    bool one_zone = false, scatter = false;
    std::vector<std::string> prereqs;

    std::string body() const {
        json::object o{{"uid", uid},
                       {"jobclass", jobclass},
                       {"owner", owner},
                       {"shape", job.shape},
                       {"rank", rank},
                       {"shards", job.shards},
                       {"cores", job.cores},
                       {"accelerators", job.accelerators},
                       {"mem_gb", job.mem_gb},
                       {"bundle", "img-" + uid},
                       {"image_gb", job.image_gb},
                       {"hosttypes", nullptr},
                       {"hall", nullptr},
                       {"one_zone", one_zone},
                       {"scatter", scatter},
                       {"loaners", false},
                       {"guess_s", job.shape == "standing" ? 0.0 : guess_s},
                       {"snapshot_s", 0.0},
                       {"flush_s", 0.0},
                       {"due_s", nullptr}};
        if (!prereqs.empty()) o["prereqs"] = json::value_from(prereqs);
        return json::serialize(o);
    }
};

}  // namespace stand_in
