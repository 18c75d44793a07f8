// Machines that hang with cancelled work while no controller that knows of it leads.
#include "app/fencer.hpp"

#include <gtest/gtest.h>

#include "model/heartbeat.hpp"
#include "model/machine.hpp"
#include "model/task.hpp"
#include "support/scheduler_harness.hpp"

namespace flintdale::test {

namespace {

using app::Fencer;

struct FencerTest : ::testing::Test, cloud::Cloud, worker::Workers {
    TimePoint now{std::chrono::seconds(1000)};
    const bool simulated = (model::Clock::simulated = &now) != nullptr;
    FencerTest() { net::asio::co_spawn(io, fencer.run(), net::asio::detached); }
    ~FencerTest() override { model::Clock::simulated = nullptr; }

    net::asio::io_context io;
    config::Settings cluster = settings();
    std::map<std::string, std::set<std::string>> placed;   // job -> machines, on record
    std::map<std::string, std::set<std::string>> running;  // machine -> jobs
    std::set<std::string> hanging, released, probed;
    bool handled = false, cloud_answers = true, cut_off_from_store = false;
    Fencer fencer{io.get_executor(),
                  *this,
                  *this,
                  cluster,
                  {[this](TimePoint) { return handled; }, [this](const std::string& uid) { return placed[uid]; },
                   [this] { return cut_off_from_store; }}};

    net::awaitable<std::optional<std::vector<model::MachineType>>> catalog() override { co_return std::nullopt; }
    net::awaitable<std::optional<std::vector<model::ListedMachine>>> machines() override {
        if (!cloud_answers) co_return std::nullopt;
        std::vector<model::ListedMachine> out;
        for (const auto& [name, jobs] : running) {
            model::ListedMachine m;
            m.name = m.addr = name;
            m.status = model::MachineStatus::running;
            out.push_back(m);
        }
        co_return out;
    }
    net::awaitable<cloud::LaunchResult> launch(std::string, std::string, std::string, bool, int) override {
        co_return cloud::LaunchResult{};
    }
    net::awaitable<bool> terminate(std::vector<std::string> names) override {
        if (!cloud_answers) co_return false;
        for (const auto& name : names) {
            released.insert(name);
            running.erase(name);
        }
        co_return true;
    }
    net::awaitable<std::optional<model::Heartbeat>> status(std::string address) override {
        probed.insert(address);
        if (hanging.contains(address)) {
            co_await net::sleep_for(1500ms);
            co_return std::nullopt;
        }
        model::Heartbeat r;
        for (const auto& uid : running[address]) {
            model::TaskReport t;
            t.id = {uid, 0};
            t.status = TaskStatus::running;
            r.tasks.push_back(t);
        }
        co_return r;
    }
    void pass(Seconds seconds) {
        const auto until = now + model::to_clock(seconds);
        while (now < until) {
            now += 10ms;
            io.restart();
            io.poll();
        }
    }
    // Cancelled now, its tasks on these machines.
    void cancelled(const std::string& uid, const std::set<std::string>& machines) {
        placed[uid] = machines;
        for (const auto& m : machines) running[m].insert(uid);
        fencer.cancelled(uid, now);
    }
    Seconds cancel() const { return cluster.cancel_deadline; }
};

}  // namespace

TEST_F(FencerTest, FencesAHangingMachineInTimeAndSparesThoseThatAnswer) {
    hanging = {"n-2"};
    cancelled("run-1", {"n-1", "n-2", "n-3"});
    running["n-1"].clear();  // it has ended there; on n-3 it goes on until the lease has run out
    pass(cancel() * 0.5 - Seconds(8));
    EXPECT_TRUE(probed.empty()) << "the leader may still learn of it";
    pass(Seconds(7));
    EXPECT_FALSE(probed.empty());
    EXPECT_TRUE(released.empty()) << "it may still answer";
    // What is left is as long again: a controller that ended just before this has it to find the machine.
    pass(Seconds(4));
    EXPECT_EQ(released, std::set<std::string>{"n-2"});
    EXPECT_EQ(probed, (std::set<std::string>{"n-1", "n-2", "n-3"}));
    EXPECT_EQ(fencer.fenced(), 1u);
}

TEST_F(FencerTest, DoesNothingWhileAnInformedControllerLeads) {
    handled = true;
    hanging = {"n-1"};
    cancelled("run-1", {"n-1"});
    pass(cancel() + Seconds(5));
    EXPECT_TRUE(probed.empty());
    EXPECT_TRUE(released.empty());
}

TEST_F(FencerTest, StopsWhenTheMachineAnswersOrALeaderLearnsOfTheCancellation) {
    hanging = {"n-1", "n-2"};
    cancelled("run-1", {"n-1"});
    pass(cancel() * 0.5 - Seconds(4));
    ASSERT_FALSE(probed.empty());
    hanging = {"n-2"};
    pass(cancel() * 0.5 + Seconds(4));
    EXPECT_TRUE(released.empty());
    probed.clear();
    cancelled("run-2", {"n-2"});
    pass(cancel() * 0.5 - Seconds(2));
    EXPECT_TRUE(probed.contains("n-2"));
    handled = true;
    pass(cancel() * 0.5 + Seconds(2));
    EXPECT_TRUE(released.empty());
}

TEST_F(FencerTest, FencesHundredsOfHangingMachinesInTimeThoughTheCloudIsSlow) {
    std::set<std::string> many;
    for (int i = 0; i < 350; ++i) many.insert("n-" + std::to_string(i));
    hanging = many;
    cancelled("run-1", many);
    cloud_answers = false;
    pass(cancel() - Seconds(10));
    EXPECT_TRUE(released.empty());
    cloud_answers = true;
    pass(Seconds(8));
    EXPECT_EQ(released.size(), many.size());
}

// A list may be as old as it lags: a machine that it does not show may be there and hang.
TEST_F(FencerTest, FencesAMachineThatIsNotListed) {
    cancelled("run-1", {"n-1"});
    running.clear();
    pass(cancel() - Seconds(5));
    EXPECT_EQ(released, std::set<std::string>{"n-1"});
}

// All controllers have ended in an outage: none knows what was cancelled before.
TEST_F(FencerTest, UninformedControllerFencesSilentMachinesAfterHalfTheCancelDeadline) {
    cut_off_from_store = true;
    running = {{"n-1", {"run-1"}}, {"n-2", {"run-2"}}, {"n-3", {"run-3"}}};
    hanging = {"n-1", "n-2"};
    pass(Seconds(5));
    fencer.heartbeat_received("n-1");  // it hangs since
    pass(cancel() * 0.5 - Seconds(18));
    EXPECT_TRUE(probed.empty());
    pass(Seconds(8));
    EXPECT_EQ(released, std::set<std::string>{"n-2"})
        << "a machine that hangs since its heartbeat loses its lease first";
    cut_off_from_store = false;
    pass(cancel());
    EXPECT_EQ(released, std::set<std::string>{"n-2"});
}

}  // namespace flintdale::test
