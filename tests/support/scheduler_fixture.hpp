// Fixture of the scheduler tests.
#pragma once
#include <gtest/gtest.h>

#include <initializer_list>
#include <string>

#include "model/job.hpp"
#include "support/scheduler_harness.hpp"

namespace flintdale::test {

// A worker in that zone, on a machine of that type, before its first heartbeat.
inline Worker machine(const std::string& name, const std::string& zone, const std::string& type = "small") {
    Worker w;
    w.name = name;
    w.zone = zone;
    w.type = type;
    return w;
}

// A leader with two small machines in different zones.
struct SchedulerTest : ::testing::Test, SchedulerHarness {
    Worker m1 = machine("n-000001", "a"), m2 = machine("n-000002", "b");

    // Sends two heartbeats. The answer to the first one carries the term. Only then does the second heartbeat prove
    // that a task that it does not report is missing.
    void report_twice(Worker& w) {
        heartbeat(w);
        heartbeat(w);
    }
    void start(const model::JobSpec& spec, std::initializer_list<Worker*> workers) {
        accept(spec);
        settle();
        for (auto* w : workers) report_twice(*w);
        ASSERT_TRUE(place());
        for (auto* w : workers) heartbeat(*w);
        for (auto* w : workers) w->run_all();
        for (auto* w : workers) heartbeat(*w);
    }
    bool on_record(const std::string& uid, const std::string& machine) const {
        return boost::json::serialize(keys.get(scheduler::work_key(uid, 0)).value).find(machine) != std::string::npos;
    }
    static model::JobSpec replica(const std::string& uid) {
        auto s = job(uid, model::JobKind::service, 1);
        s.priority = model::Priority::critical;
        s.image = "big";
        s.image_gb = 12;  // two minutes of fetching
        return s;
    }
    // n-000001 holds the image, and has room only if an array task that saves its progress is stopped.
    void fill_with_image() {
        elect();
        auto array = job("run-2", model::JobKind::array, 1);
        array.checkpoint_interval = Seconds(15);
        array.checkpoint_duration = Seconds(2);
        start(replica("run-1"), {&m1});
        start(array, {&m1});
    }
};

}  // namespace flintdale::test
