#include <gtest/gtest.h>

#include "model/job.hpp"
#include "model/task.hpp"
#include "scheduler/job.hpp"
#include "wire/cloud_json.hpp"
#include "wire/json_fields.hpp"
#include "wire/record_json.hpp"
#include "wire/user_json.hpp"
#include "wire/worker_json.hpp"

namespace flintdale::test {

namespace {

const std::string good =
    R"({"uid":"run-000412","jobclass":"train","owner":"vision","shape":"ensemble","rank":"high","shards":16,)"
    R"("cores":8.0,"accelerators":1.0,"mem_gb":64.0,"bundle":"img-07","image_gb":6.2,"hosttypes":["g8"],)"
    R"("hall":null,"one_zone":true,"scatter":false,"loaners":true,"guess_s":240.0,"snapshot_s":30.0,)"
    R"("flush_s":4.0,"due_s":900.0,"unheard_of":[1,{}]})";

std::string with(const std::string& from, const std::string& to) {
    auto s = good;
    const auto at = s.find(from);
    EXPECT_NE(at, std::string::npos) << from;
    return s.replace(at, from.size(), to);
}

std::string complaint(const std::string& body) {
    try {
        wire::parse_submission(wire::parse_object(body));
    } catch (const wire::DecodeError& e) {
        return e.what();
    }
    return "";
}

}  // namespace

TEST(WireTest, ValidSubmissionIsParsedAndSurvivesItsRecord) {
    const auto s = wire::parse_submission(wire::parse_object(good));
    EXPECT_EQ(s.uid, "run-000412");
    EXPECT_EQ(s.tasks, 16u);
    EXPECT_TRUE(s.one_zone);
    EXPECT_FALSE(s.zone);
    const auto again = wire::spec_from_record(wire::spec_to_record(s));
    EXPECT_EQ(again.need.memory_gb, 64.0);
    EXPECT_EQ(again.types, s.types);
    EXPECT_EQ(again.deadline, s.deadline);
    EXPECT_EQ(again.kind, model::JobKind::gang);
}

TEST(WireTest, MalformedSubmissionsAreNamedByFieldAndReason) {
    const std::pair<std::string, std::string> table[] = {
        {"", "body"},
        {"nonsense", "body"},
        {"[1,2]", "body"},
        {"\"text\"", "body"},
        {"null", "body"},
        {good + "}", "body"},
        {std::string(200, '['), "body"},
        {with("16", "0"), "shards"},
        {with("16", "100001"), "shards"},
        {with("16", "-1"), "shards"},
        {with("16", "1.5"), "shards"},
        {with("16", "\"16\""), "shards"},
        {with("16", "1e400"), ""},
        {with("8.0", "-8.0"), "cores"},
        {with("8.0", "NaN"), "body"},
        {with("8.0", "1e300"), "cores"},
        {with("8.0", "null"), "cores"},
        {with("64.0", "true"), "mem_gb"},
        {with("\"run-000412\"", "\"\""), "uid"},
        {with("\"run-000412\"", "\"job-1\""), "uid"},
        {with("\"run-000412\"", "\"run-1/2\""), "uid"},
        {with("\"run-000412\"", "\"run-1 2\""), "uid"},
        {with("\"run-000412\"", "7"), "uid"},
        {with("\"ensemble\"", "\"gang\""), "shape"},
        {with("\"high\"", "3"), "rank"},
        {with("[\"g8\"]", "[]"), "hosttypes"},
        {with("[\"g8\"]", "[7]"), "hosttypes"},
        {with("[\"g8\"]", "\"g8\""), "hosttypes"},
        {with("true,\"scatter\"", "\"yes\",\"scatter\""), "one_zone"},
        {with("\"guess_s\":240.0,", ""), "guess_s"},
        {with("\"img-07\"", "\"" + std::string(300, 'x') + "\""), "bundle"},
        {with("900.0", "-1"), "due_s"},
    };
    for (const auto& [body, field] : table) {
        const auto why = complaint(body);
        EXPECT_FALSE(why.empty()) << body;
        EXPECT_TRUE(why.starts_with(field)) << body << " gave " << why;
    }
}

// Only what may be null may be omitted: three flags that were left out were taken for false, and the job accepted.
TEST(WireTest, MissingOrWronglyTypedFieldIsNamed) {
    const auto sound = wire::parse_object(good);
    const std::set<std::string_view> may_be_null{"hosttypes", "hall", "due_s", "prereqs", "unheard_of"};
    for (const auto& [field, value] : sound) {
        if (field == "unheard_of") continue;
        const std::string name(field);
        const auto changed = [&](std::optional<boost::json::value> other) {
            auto body = sound;
            body.erase(name);
            if (other) body[name] = *other;
            return complaint(boost::json::serialize(body));
        };
        for (const auto& absent : {std::optional<boost::json::value>(), std::optional<boost::json::value>(nullptr)})
            EXPECT_EQ(changed(absent), may_be_null.contains(name) ? "" : name + ": missing");
        EXPECT_TRUE(changed(boost::json::object{{"x", 1}}).starts_with(name)) << name;
        if (value.is_number()) {
            EXPECT_TRUE(changed(-1).starts_with(name)) << name;
            EXPECT_TRUE(changed("8").starts_with(name)) << name;
            EXPECT_TRUE(changed(1e300).starts_with(name)) << name;
        }
        if (value.is_string()) {
            EXPECT_TRUE(changed("").starts_with(name)) << name;
        }
        if (value.is_bool()) {
            EXPECT_TRUE(changed(1).starts_with(name)) << name;
        }
    }
}

TEST(WireTest, UnknownExitReasonInAHeartbeatCountsAsAFailure) {
    const auto r = wire::parse_heartbeat(
        R"({"host":"n-1","endpoint":"10.1.0.1:9000","hosttype":"g8","hall":"a","loaners":true,"tenure":1,"tick":88,)"
        R"("baton":41,"warning_s":null,"shards":[{"shard":"run-1/3","try":2,"status":"running"},)"
        R"({"shard":"run-2/0","try":1,"status":"ended","cause":"struck by lightning"}]})");
    ASSERT_EQ(r.tasks.size(), 2u);
    EXPECT_EQ(r.tasks[0].id.index, 3u);
    EXPECT_EQ(r.tasks[1].exit_reason, model::ExitReason::error);
    EXPECT_FALSE(r.termination_notice);
    EXPECT_THROW(wire::parse_heartbeat(R"({"host":"n-1"})"), wire::DecodeError);
    EXPECT_THROW(wire::parse_heartbeat("{}"), wire::DecodeError);
}

TEST(WireTest, MachineTypesSurviveTheirRecord) {
    const auto types = wire::parse_catalog(
        R"({"hosttypes":[{"name":"g8","cores":96,"accelerators":8,"mem_gb":768,"local_gb":200,"pull_gb_per_s":1.0,)"
        R"("price":12.0,"market_price":4.5,"boot_s":45,"halls":["a","b"]}]})");
    const auto again = wire::parse_catalog(boost::json::serialize(wire::catalog_record(types)));
    ASSERT_EQ(again.size(), 1u);
    EXPECT_EQ(again[0].capacity.memory_gb, 768.0);
    EXPECT_EQ(again[0].zones, types[0].zones);
    EXPECT_EQ(again[0].boot, types[0].boot);
}

TEST(WireTest, TaskRangesFitIntoAValueInTheWorstCase) {
    scheduler::Job job;
    job.spec.tasks = 100'000;
    job.spec.uid = "run-1";
    job.spec.team = job.spec.job_class = job.spec.image = "x";
    job.tasks.resize(job.spec.tasks);
    scheduler::Machine a, b;
    a.name = "n-123456789012";
    b.name = "n-123456789013";
    for (std::uint32_t i = 0; i < job.spec.tasks; ++i) {
        job.tasks[i].state = scheduler::Task::State::placed;
        job.tasks[i].machine = i % 2 ? &a : &b;
        job.tasks[i].attempt = 100 + i % 3;
    }
    const auto last = (job.spec.tasks - 1) / scheduler::chunk_tasks;
    EXPECT_LT(boost::json::serialize(scheduler::work_record(job, last)).size(), 16u * 1024);
    EXPECT_LT(boost::json::serialize(scheduler::work_record(job, 0)).size(), 16u * 1024);
}

}  // namespace flintdale::test
