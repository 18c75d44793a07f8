// Case 1: a gang's task starts on one machine while it is on another whose answers are lost.
#include "../stand_in/deployment.hpp"

using namespace stand_in;

// Arguments: the controller's program, a directory for settings and logs, the file of the record.
int main(int argc, char** argv) {
    if (argc != 4) return 2;
    const char* trouble = std::getenv("TROUBLE");
    const bool deaf = !trouble || std::string(trouble) != "0";
    Record record(argv[3]);
    Cluster cluster;
    Deployment deployment(record, cluster, argv[1], argv[2]);
    auto& fleet = deployment.fleet();
    std::vector<std::string> m;
    for (int i = 0; i < 4; ++i) m.push_back(fleet.add_running("dzintars-24", "riga-centrs"));
    deployment.start_all();
    Submission train;
    train.uid = "run-000001";
    train.jobclass = "eta-train";
    train.one_zone = true;
    train.job = {"ensemble", 3, 60, 4.8, 21, 4, 77};
    train.guess_s = 60;
    fleet.upload(train.uid, train.job);
    fleet.set_fetch(m[0], 53);
    fleet.set_fetch(m[1], 30);
    fleet.set_cached(m[2], train.uid);
    if (deployment.submit(train.body()).status != 201) deployment.finish(2);
    const auto at = [&](int task, const std::string& machine) { return fleet.status(machine, {train.uid, task}); };
    const auto until = Clock::now() + std::chrono::seconds(75);
    const auto wait_for = [&](const auto& condition) {
        while (!condition()) {
            if (Clock::now() > until) {
                record.line("check: the gang did not get so far: %s %s %s", at(0, m[0]).c_str(), at(1, m[1]).c_str(),
                            at(2, m[2]).c_str());
                deployment.finish(2);
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
    };
    wait_for([&] { return at(0, m[0]) == "pulling" && at(1, m[1]) == "waiting" && at(2, m[2]) == "ended"; });
    std::this_thread::sleep_for(std::chrono::seconds(2));
    wait_for([&] { return Seconds(Clock::now() - fleet.last_answered(m[1])).count() < 0.1; });
    if (deaf) fleet.set_deaf(m[1], true);
    fleet.finish_fetch(m[0]);
    wait_for([&] { return at(0, m[0]) == "waiting"; });
    fleet.set_faulty(m[0]);
    std::this_thread::sleep_for(std::chrono::seconds(25));
    bool broken = false;
    const auto stays = fleet.stays();
    for (std::size_t i = 0; i < stays.size(); ++i)
        for (std::size_t k = 0; k < i; ++k)
            if (stays[k].task == stays[i].task && (!stays[k].to || *stays[k].to > stays[i].from)) {
                record.line("check: ran_twice: %s starts on %s while it is on %s", stays[i].task.text().c_str(),
                            stays[i].machine.c_str(), stays[k].machine.c_str());
                broken = true;
            }
    record.line("check: the rule %s", broken ? "is broken" : "holds");
    deployment.finish(broken ? 1 : 0);
}
