// A whole controller, alone on a state service in memory and a cloud that has machines: every key that it writes, and
// every answer to users and workers, status and body.
#include "app/controller.hpp"
#include "support/golden_store.hpp"

namespace flintdale::test {

namespace {

// The service in memory, to which this controller is always connected.
class NotingService : public state::Service {
  public:
    NotingStore store;

    net::awaitable<state::GetResult> get(std::string key, state::RequestPriority priority) override {
        return store.get(std::move(key), priority);
    }
    net::awaitable<state::RangeResult> range(std::string prefix, std::string after,
                                             state::RequestPriority priority) override {
        return store.range(std::move(prefix), std::move(after), priority);
    }
    net::awaitable<state::TxnResult> commit(state::Txn txn, state::RequestPriority priority) override {
        return store.commit(std::move(txn), priority);
    }
    net::awaitable<state::WatchResult> watch(std::string, std::uint64_t, std::chrono::milliseconds hold) override {
        co_await net::sleep_for(hold);
        state::WatchResult nothing_new;
        nothing_new.outcome = state::Outcome::ok;
        nothing_new.revision = store.keys.revision();
        co_return nothing_new;
    }
    net::awaitable<state::LeaseResult> grant(std::chrono::milliseconds ttl) override { return store.grant(ttl); }
    net::awaitable<state::Outcome> renew(std::uint64_t lease) override { return store.renew(lease); }
    net::awaitable<void> revoke(std::uint64_t lease) override { return store.revoke(lease); }
    void set_leading(bool) override {}
    double take_write_demand() override { return 0; }
    void set_write_demand(double, double) override {}
    bool healthy(model::TimePoint) const override { return true; }
};

// It grants all that is asked for, and notes it down. While it is away it says nothing of types.
class NotingCloud : public cloud::Cloud {
  public:
    std::string noted;
    bool away = false;

    net::awaitable<std::optional<std::vector<model::MachineType>>> catalog() override {
        if (away) co_return std::nullopt;
        co_return wire::parse_catalog(golden("given_catalogue.json"));
    }
    net::awaitable<std::optional<std::vector<model::ListedMachine>>> machines() override {
        co_return std::vector<model::ListedMachine>();
    }
    net::awaitable<cloud::LaunchResult> launch(std::string request, std::string type, std::string zone, bool spot,
                                               int count) override {
        noted += "rents " + wire::launch_body(request, type, zone, spot, count) + "\n";
        cloud::LaunchResult result;
        result.outcome = cloud::LaunchOutcome::granted;
        for (int i = 0; i < count; ++i) result.machines.push_back("n-0009" + std::to_string(10 + rented_++));
        co_return result;
    }
    net::awaitable<bool> terminate(std::vector<std::string> names) override {
        noted += "returns " + wire::terminate_body(names) + "\n";
        co_return true;
    }

  private:
    int rented_ = 0;
};

class NoWorkers : public worker::Workers {
  public:
    net::awaitable<std::optional<model::Heartbeat>> status(std::string) override { co_return std::nullopt; }
};

class LoneController {
    OwnTime time_;
    net::asio::io_context io_;
    config::Settings settings_ = alone();
    config::OperatorSettings tunables_;
    state::RecordFormat record_format_{settings_};
    NoWorkers workers_;

  public:
    NotingService service;
    NotingCloud cloud;
    std::string told;  // each request and its answer

    void pass(double seconds) { time_.pass(io_, seconds); }
    void ask(net::http::verb verb, const std::string& target, const std::string& body = {}) {
        net::Request request;
        request.verb = verb;
        request.target = target;
        request.body = body;
        net::asio::co_spawn(
            io_, controller_.handle(std::move(request)), [this, verb, target](std::exception_ptr, net::Reply reply) {
                told += std::string(net::http::to_string(verb)) + " " + target + ": " + std::to_string(reply.status) +
                        " " + reply.body + " " + std::to_string(reply.retry_after) + " " + reply.allow + "\n";
            });
        pass(0.5);
    }
    void start() {
        controller_.start();
        pass(8);
    }

  private:
    static config::Settings alone() {
        auto settings = golden_settings("hearth-0", "hearth-1");
        settings.controllers = 1;
        settings.peers.clear();
        return settings;
    }
    app::Ports ports() {
        const auto time_of_day = [this] {
            const auto passed = time_.now - model::TimePoint(std::chrono::seconds(1000));
            return 1'700'000'000'000 + std::chrono::duration_cast<std::chrono::milliseconds>(passed).count();
        };
        return {service,     cloud,
                workers_,    [](const peer::StatusMessage&) {},
                time_of_day, [](const std::string&, const peer::RelayMessage&) { return false; }};
    }
    app::Controller controller_{io_.get_executor(), settings_, tunables_, record_format_, ports()};
};

constexpr std::uint64_t first_term = 1'700'000'000'520;  // by the time of day when it is won

// The report of a worker with one task, or none.
std::string report_body(std::uint64_t sequence, std::uint64_t fencing_token, const std::string& tasks) {
    auto body = golden_object("asked_report_bare.json");
    body["tick"] = sequence;
    body["baton"] = fencing_token;
    body["shards"] = boost::json::parse(tasks);
    return boost::json::serialize(body);
}

std::string submission_body(const std::string& uid, const std::string& kind, int tasks) {
    auto body = golden_object("asked_submission_bare.json");
    body["uid"] = uid;
    body["shape"] = kind;
    body["shards"] = tasks;
    body["scatter"] = false;
    return boost::json::serialize(body);
}

}  // namespace

// A job is accepted, placed on a machine that reports, runs and ends; others are cancelled, refused and unknown.
TEST(GoldenTest, AControllerAnswersAndWritesAsBefore) {
    using net::http::verb;
    LoneController lone;
    lone.ask(verb::get, "/ready");
    lone.start();
    lone.ask(verb::get, "/ready");
    lone.ask(verb::post, "/submissions", submission_body("run-1", "array", 1));
    lone.ask(verb::post, "/submissions", submission_body("run-1", "array", 1));
    lone.ask(verb::post, "/submissions", submission_body("run-2", "standing", 2));
    lone.ask(verb::post, "/submissions", submission_body("run-3", "array", 0));
    lone.ask(verb::post, "/submissions", submission_body("run-4", "ensemble", 4000));
    lone.ask(verb::post, "/submissions", "nonsense");
    lone.ask(verb::get, "/submissions/run-1");
    lone.ask(verb::get, "/submissions/run-77");
    lone.ask(verb::post, "/submissions/run-77/cancel");
    for (const auto* target : {"/agent/beat", "/submissions", "/elsewhere"}) lone.ask(verb::get, target);
    for (std::uint64_t sequence = 1; sequence < 10; ++sequence) {
        lone.ask(verb::post, "/agent/beat", report_body(sequence, sequence == 1 ? 0 : first_term, "[]"));
        lone.pass(2.5);
    }
    lone.ask(verb::post, "/agent/beat", "{}");
    lone.ask(verb::post, "/submissions/run-2/cancel");
    lone.ask(verb::post, "/agent/beat",
             report_body(20, first_term, R"([{"shard":"run-1/0","try":1,"status":"running"}])"));
    lone.ask(verb::get, "/submissions/run-1");
    lone.pass(2.5);
    lone.ask(verb::post, "/agent/beat",
             report_body(21, first_term, R"([{"shard":"run-1/0","try":1,"status":"ended","cause":"done"}])"));
    lone.pass(30);
    lone.ask(verb::get, "/submissions/run-1");
    lone.ask(verb::post, "/submissions/run-1/cancel");
    lone.ask(verb::get, "/submissions/run-2");
    expect_golden("controller_told.txt", lone.told);
    expect_golden("controller_wrote.txt", lone.service.store.noted);
    expect_golden("controller_rented.txt", lone.cloud.noted);
}

// What an earlier version left on record is what the next controller goes by, also while the cloud is away: the types
// of machines, the format that all read, open jobs in large records and in pieces, and outcomes of both forms.
TEST(GoldenTest, AControllerUnderstandsWhatAnEarlierVersionLeft) {
    LoneController lone;
    lone.cloud.away = true;
    std::vector<state::Change> left;
    for (const auto& change : changes_in("controller_wrote.txt"))
        for (const std::string prefix : {"members/", "fleet/", "lead/term", "recovery/witness"})
            if (change.key.starts_with(prefix)) left.push_back(change);
    for (const auto* name : {"work_in_chunks_of_256.txt", "long_submission.txt"})
        for (const auto& change : changes_in(name)) left.push_back(change);
    std::vector<std::string> over;
    for (const auto* name : {"outcomes_old_form.txt", "outcomes_new_form.txt"})
        for (auto change : changes_in(name)) {
            over.push_back("run-over-" + std::to_string(over.size()));
            change.key = scheduler::outcome_key(over.back());
            left.push_back(change);
        }
    state::Txn txn;
    txn.changes = left;
    lone.service.store.keys.commit(txn);
    lone.start();
    lone.ask(net::http::verb::get, "/ready");
    for (const std::string uid : {"run-9", "run-000412"}) lone.ask(net::http::verb::get, "/submissions/" + uid);
    for (const auto& uid : over) lone.ask(net::http::verb::get, "/submissions/" + uid);
    lone.ask(net::http::verb::post, "/submissions", submission_body(over.at(0), "array", 1));
    lone.ask(net::http::verb::post, "/submissions", submission_body("run-new", "array", 1));
    lone.ask(net::http::verb::post, "/agent/beat", report_body(1, 0, "[]"));
    expect_golden("controller_told_of_what_was_left.txt", lone.told);
    expect_golden("controller_wrote_over_what_was_left.txt", lone.service.store.noted);
}

}  // namespace flintdale::test
