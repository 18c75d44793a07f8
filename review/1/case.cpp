// Case 1: a gang's task starts on one machine while it is on another one, to which answers are lost.
#include "../stand_in/deployment.hpp"

using namespace stand_in;

namespace {
constexpr int lost_for_s = 5;  // the answer to one report, which comes after 2.25 to 3.75 s
}  // namespace

// Arguments: the controller's program, a directory for settings and logs, the file of the record.
int main(int argc, char** argv) {
    if (argc != 4) return 2;
    const char* trouble = std::getenv("TROUBLE");
    const bool answers_lost = !trouble || std::string(trouble) != "0";
    Record record(argv[3]);
    const Cluster cluster;
    Deployment deployment(record, cluster, argv[1], argv[2]);
    auto& fleet = deployment.fleet();
    std::vector<std::string> machines;
    for (int i = 0; i < 4; ++i) machines.push_back(fleet.add_running("dzintars-24", "riga-centrs"));
    deployment.start_all();

    // Three tasks, each of which fills a machine. The image takes 40 s nominally, give or take a third.
    Submission train;
    train.uid = "run-000001";
    train.jobclass = "eta-train";
    train.one_zone = true;
    train.job = {"ensemble", 3, 60, 4.8, 21, 4, 77};
    fleet.upload(train.uid, train.job);
    fleet.set_fetch(machines[0], 53);
    fleet.set_fetch(machines[1], 30);
    fleet.set_cached(machines[2], train.uid);
    if (deployment.submit(train.body()).status != 201) deployment.finish(2);

    const auto until = Clock::now() + std::chrono::seconds(60);
    const auto wait_for = [&](const auto& condition) {
        while (!condition()) {
            if (Clock::now() > until) {
                record.line("check: the gang did not get so far");
                deployment.finish(2);
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
    };
    const auto status = [&](int task) { return fleet.status(machines[task], {train.uid, task}); };

    // Task 2 has given up waiting, task 1 waits, and the image of task 0 is still on its way.
    wait_for([&] { return status(0) == "pulling" && status(1) == "waiting" && status(2) == "ended"; });
    std::this_thread::sleep_for(std::chrono::seconds(2));
    wait_for([&] { return Seconds(Clock::now() - fleet.last_answered(machines[1])).count() < 0.1; });
    const auto began = Clock::now();
    if (answers_lost) fleet.set_deaf(machines[1], true);

    // The last image is there, so the leader starts a new attempt. Task 0 fails when it is started again.
    fleet.finish_fetch(machines[0]);
    wait_for([&] { return status(0) == "waiting"; });
    fleet.set_faulty(machines[0]);
    std::this_thread::sleep_until(began + std::chrono::seconds(lost_for_s));
    if (answers_lost) fleet.set_deaf(machines[1], false);
    std::this_thread::sleep_for(std::chrono::seconds(15));

    for (std::size_t i = 0; i < deployment.size(); ++i)
        if (deployment.ended_by_itself(i)) deployment.finish(2);
    bool broken = false;
    const auto stays = fleet.stays();
    for (std::size_t i = 0; i < stays.size(); ++i)
        for (std::size_t k = 0; k < i; ++k) {
            const auto &first = stays[k], &second = stays[i];
            if (first.task != second.task || (first.to && *first.to <= second.from)) continue;
            record.line("check: ran_twice: %s starts on %s while it is on %s", second.task.text().c_str(),
                        second.machine.c_str(), first.machine.c_str());
            broken = true;
        }
    record.line("check: the rule %s", broken ? "is broken" : "holds");
    deployment.finish(broken ? 1 : 0);
}
