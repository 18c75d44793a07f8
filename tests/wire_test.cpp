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

const std::string valid_submission =
    R"({"uid":"run-000412","jobclass":"train","owner":"vision","shape":"ensemble","rank":"high","shards":16,)"
    R"("cores":8.0,"accelerators":1.0,"mem_gb":64.0,"bundle":"img-07","image_gb":6.2,"hosttypes":["g8"],)"
    R"("hall":null,"one_zone":true,"scatter":false,"loaners":true,"guess_s":240.0,"snapshot_s":30.0,)"
    R"("flush_s":4.0,"due_s":900.0,"unheard_of":[1,{}]})";

// valid_submission with the first `from` replaced by `to`.
std::string replaced(const std::string& from, const std::string& to) {
    auto body = valid_submission;
    const auto at = body.find(from);
    EXPECT_NE(at, std::string::npos) << from;
    return body.replace(at, from.size(), to);
}

// The text of the DecodeError for the body; empty if it is valid.
std::string parse_error(const std::string& body) {
    try {
        wire::parse_submission(wire::parse_object(body));
    } catch (const wire::DecodeError& e) {
        return e.what();
    }
    return "";
}

}  // namespace

TEST(WireTest, ValidSubmissionRoundTripsThroughItsRecord) {
    const auto s = wire::parse_submission(wire::parse_object(valid_submission));
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

TEST(WireTest, ErrorsOfMalformedSubmissionsNameTheField) {
    const std::pair<std::string, std::string> table[] = {
        {"", "body"},
        {"nonsense", "body"},
        {"[1,2]", "body"},
        {"\"text\"", "body"},
        {"null", "body"},
        {valid_submission + "}", "body"},
        {std::string(200, '['), "body"},
        {replaced("16", "0"), "shards"},
        {replaced("16", "100001"), "shards"},
        {replaced("16", "-1"), "shards"},
        {replaced("16", "1.5"), "shards"},
        {replaced("16", "\"16\""), "shards"},
        {replaced("16", "1e400"), ""},
        {replaced("8.0", "-8.0"), "cores"},
        {replaced("8.0", "NaN"), "body"},
        {replaced("8.0", "1e300"), "cores"},
        {replaced("8.0", "null"), "cores"},
        {replaced("64.0", "true"), "mem_gb"},
        {replaced("\"run-000412\"", "\"\""), "uid"},
        {replaced("\"run-000412\"", "\"job-1\""), "uid"},
        {replaced("\"run-000412\"", "\"run-1/2\""), "uid"},
        {replaced("\"run-000412\"", "\"run-1 2\""), "uid"},
        {replaced("\"run-000412\"", "7"), "uid"},
        {replaced("\"ensemble\"", "\"gang\""), "shape"},
        {replaced("\"high\"", "3"), "rank"},
        {replaced("[\"g8\"]", "[]"), "hosttypes"},
        {replaced("[\"g8\"]", "[7]"), "hosttypes"},
        {replaced("[\"g8\"]", "\"g8\""), "hosttypes"},
        {replaced("true,\"scatter\"", "\"yes\",\"scatter\""), "one_zone"},
        {replaced("\"guess_s\":240.0,", ""), "guess_s"},
        {replaced("\"img-07\"", "\"" + std::string(300, 'x') + "\""), "bundle"},
        {replaced("900.0", "-1"), "due_s"},
    };
    for (const auto& [body, field] : table) {
        const auto error = parse_error(body);
        EXPECT_FALSE(error.empty()) << body;
        EXPECT_TRUE(error.starts_with(field)) << body << " gave the error: " << error;
    }
}

// Fields that may not be null are required. Guards against omitted flags being read as false: a job without three of
// its flags was accepted.
TEST(WireTest, ErrorsOfMissingOrWronglyTypedFieldsNameTheField) {
    const auto valid = wire::parse_object(valid_submission);
    const std::set<std::string_view> may_be_null{"hosttypes", "hall", "due_s", "prereqs", "unheard_of"};
    for (const auto& [field, value] : valid) {
        if (field == "unheard_of") continue;
        const std::string name(field);
        const auto changed = [&](std::optional<boost::json::value> other) {
            auto body = valid;
            body.erase(name);
            if (other) body[name] = *other;
            return parse_error(boost::json::serialize(body));
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

TEST(WireTest, MachineTypesRoundTripThroughTheirRecord) {
    const auto types = wire::parse_catalog(
        R"({"hosttypes":[{"name":"g8","cores":96,"accelerators":8,"mem_gb":768,"local_gb":200,"pull_gb_per_s":1.0,)"
        R"("price":12.0,"market_price":4.5,"boot_s":45,"halls":["a","b"]}]})");
    const auto again = wire::parse_catalog(boost::json::serialize(wire::catalog_record(types)));
    ASSERT_EQ(again.size(), 1u);
    EXPECT_EQ(again[0].capacity.memory_gb, 768.0);
    EXPECT_EQ(again[0].zones, types[0].zones);
    EXPECT_EQ(again[0].boot, types[0].boot);
}

TEST(WireTest, TaskRangesFitIntoOneValueInTheWorstCase) {
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
