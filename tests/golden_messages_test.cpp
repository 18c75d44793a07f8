// Messages between controllers, and the bodies of requests and responses of users, workers and the cloud: checks that
// their bytes, and the results of parsing them, do not change.
#include "peer/peer_connections.hpp"
#include "support/golden_support.hpp"
#include "wire/json.hpp"

namespace flintdale::test {

namespace {

peer::StatusMessage full_status_message() {
    peer::StatusMessage status;
    status.member = "hearth-0";
    status.leader = "hearth-1";
    status.term = 1'700'000'000'123;
    status.store_healthy = true;
    status.writes = 12.75;
    status.redirects = 17;
    status.format = 2;
    status.generation = 3;
    status.replica_revision = 8'000'000'456;
    status.rebuilding = 4;
    status.history = "hearth-2-1600000000000";
    status.counts.resize(2);
    status.counts[0].uid = "run-000412";
    status.counts[0].done = 3;
    status.counts[0].running = 13;
    status.counts[1].uid = "run-9";
    status.relays = true;
    status.workers = 101;
    status.capacity = 202;
    status.fleet = 303;
    status.cancellations.number = 9'000'000'001;
    status.cancellations.received.resize(2);
    status.cancellations.received[0].member = "hearth-1";
    status.cancellations.received[0].incarnation = 1'700'000'000'123'004;
    status.cancellations.received[0].number = 77;
    status.cancellations.received[1].member = "hearth-2";
    status.cancellations.recent = {"run-5", "run-6"};
    status.incarnation = 1'700'000'000'123'005;
    return status;
}

// The flags that full_status_message() does not set. Each is set in a message of its own, so that swapped flags show.
peer::StatusMessage flags_only(bool leading, bool complete) {
    peer::StatusMessage status;
    status.leading = leading;
    status.cancellations.complete = complete;
    return status;
}

model::Heartbeat full_heartbeat() {
    model::Heartbeat report;
    report.machine = "n-000231";
    report.addr = "10.1.0.232:9000";
    report.type = "g8";
    report.zone = "a";
    report.spot = true;
    report.incarnation = 2;
    report.sequence = 88;
    report.fencing_token = 1'700'000'000'041;
    report.termination_notice = model::Seconds(61.5);
    for (const auto status : {model::TaskStatus::fetching, model::TaskStatus::waiting, model::TaskStatus::running,
                              model::TaskStatus::checkpointing, model::TaskStatus::exited}) {
        model::TaskReport task;
        task.id.uid = "run-000412";
        task.id.index = static_cast<std::uint32_t>(report.tasks.size());
        task.attempt = 5 + report.tasks.size();
        task.status = status;
        report.tasks.push_back(task);
    }
    for (const auto exit_reason : {model::ExitReason::none, model::ExitReason::done, model::ExitReason::stopped,
                                   model::ExitReason::gang_member_lost, model::ExitReason::gang_incomplete,
                                   model::ExitReason::error, model::ExitReason::insufficient_resources,
                                   model::ExitReason::conflicting_attempt, model::ExitReason::unknown_task}) {
        auto task = report.tasks.back();
        task.exit_reason = exit_reason;
        task.checkpointed = exit_reason == model::ExitReason::stopped;
        report.tasks.push_back(task);
    }
    return report;
}

std::vector<model::Command> every_command() {
    std::vector<model::Command> commands;
    for (const auto type : {model::CommandType::run, model::CommandType::kill, model::CommandType::clear}) {
        model::Command command;
        command.type = type;
        command.id.uid = "run-000412";
        command.id.index = 4 + static_cast<std::uint32_t>(commands.size());
        command.attempt = 1'000 + commands.size();
        if (type == model::CommandType::kill) command.grace_period = model::Seconds(10.5);
        commands.push_back(command);
    }
    return commands;
}

peer::RelayMessage full_relay() {
    peer::RelayMessage message;
    message.member = "hearth-0";
    message.incarnation = 1'700'000'000'123'004;
    message.receiver_incarnation = 1'700'000'000'123'005;
    message.reports.resize(2);
    message.reports[0].number = 9'000'000'001;
    message.reports[0].handle = 41;
    message.reports[0].report = full_heartbeat();
    message.reports[1].number = 9'000'000'002;
    message.repeated.resize(1);
    message.repeated[0].number = 9'000'000'003;
    message.repeated[0].handle = 42;
    message.repeated[0].sequence = 89;
    message.repeated[0].original = 9'000'000'000;
    for (const auto outcome :
         {peer::RelayOutcome::answered, peer::RelayOutcome::refused, peer::RelayOutcome::unknown_handle}) {
        peer::RelayedResponse answer;
        answer.number = 7'000 + message.answers.size();
        answer.outcome = outcome;
        answer.fencing_token = 1'700'000'000'041;
        if (outcome == peer::RelayOutcome::answered) answer.commands = every_command();
        message.answers.push_back(answer);
    }
    return message;
}

// A decoded heartbeat: one line for the worker and one for each task.
std::string print(const model::Heartbeat& report) {
    std::string out = report.machine + " at " + report.addr + ", " + report.type + " in " + report.zone +
                      (report.spot ? ", may be taken, " : ", ordinary, ") + std::to_string(report.incarnation) + " " +
                      std::to_string(report.sequence) + " " + std::to_string(report.fencing_token) +
                      (report.termination_notice ? ", taken in " + std::to_string(report.termination_notice->count())
                                                 : std::string()) +
                      "\n";
    for (const auto& task : report.tasks)
        out += task.id.uid + " " + std::to_string(task.id.index) + " " + std::to_string(task.attempt) + " " +
               std::to_string(static_cast<int>(task.status)) + " " +
               std::to_string(static_cast<int>(task.exit_reason)) +
               (task.checkpointed ? " its progress is safe\n" : "\n");
    return out;
}

std::string print(const wire::MachinePage& page) {
    std::string out = page.more ? "more follow\n" : "the last page\n";
    for (const auto& machine : page.machines)
        out += machine.name + " at \"" + machine.addr + "\", " + machine.type + " in " + machine.zone +
               (machine.spot ? ", may be taken, " : ", ordinary, ") + std::to_string(static_cast<int>(machine.status)) +
               " " + std::to_string(machine.age.count()) + "\n";
    return out;
}

}  // namespace

// The numbers of enumerators in relayed heartbeats and in the golden texts of these tests.
TEST(GoldenTest, EnumeratorsKeepTheirNumbers) {
    const auto number = [](auto value) { return static_cast<int>(value); };
    EXPECT_EQ(number(model::TaskStatus::fetching), 0);
    EXPECT_EQ(number(model::TaskStatus::exited), 4);
    EXPECT_EQ(number(model::ExitReason::none), 0);
    EXPECT_EQ(number(model::ExitReason::done), 1);
    EXPECT_EQ(number(model::ExitReason::unknown_task), 8);
    EXPECT_EQ(number(model::CommandType::run), 0);
    EXPECT_EQ(number(model::CommandType::clear), 2);
    EXPECT_EQ(number(model::MachineStatus::booting), 0);
    EXPECT_EQ(number(model::MachineStatus::failed), 2);
    EXPECT_EQ(number(model::JobState::done), 1);
    EXPECT_EQ(number(peer::RelayOutcome::unknown_handle), 2);
}

// A status message with every field, and one for each flag that it does not set.
TEST(GoldenTest, StatusMessagesKeepTheirFormat) {
    expect_golden("status_message_full.bin", peer::encode(full_status_message()));
    expect_golden("status_message_full.bin", peer::encode(peer::decode_status(golden("status_message_full.bin"))));
    expect_golden("status_message_leading.bin", peer::encode(flags_only(true, false)));
    expect_golden("status_message_leading.bin",
                  peer::encode(peer::decode_status(golden("status_message_leading.bin"))));
    expect_golden("status_message_complete.bin", peer::encode(flags_only(false, true)));
    expect_golden("status_message_complete.bin",
                  peer::encode(peer::decode_status(golden("status_message_complete.bin"))));
    const auto read = peer::decode_status(golden("status_message_full.bin"));
    EXPECT_TRUE(read.store_healthy && read.relays);
    EXPECT_FALSE(read.leading || read.cancellations.complete);
    EXPECT_EQ(read.term, full_status_message().term);
    EXPECT_EQ(read.connection, 0u);
}

// A relay message with full and repeated heartbeats, and responses with each outcome and each type of command.
TEST(GoldenTest, RelayMessagesKeepTheirFormat) {
    expect_golden("relay_full.bin", peer::encode(full_relay()));
    const auto read = peer::decode_relay(golden("relay_full.bin"));
    expect_golden("relay_full.bin", peer::encode(read));
    ASSERT_EQ(read.reports.size(), 2u);
    EXPECT_EQ(read.reports[0].report, full_heartbeat());
    EXPECT_FALSE(read.reports[1].report.termination_notice);
    expect_golden("relay_empty.bin", peer::encode(peer::RelayMessage()));
    EXPECT_TRUE(peer::decode_relay(golden("relay_empty.bin")).empty());
}

// Submissions of users: with every field, and without optional fields.
TEST(GoldenTest, SubmissionsAreParsedAsInTheGoldenFiles) {
    for (const std::string name : {"full", "bare"}) {
        const auto spec = wire::parse_submission(golden_object("asked_submission_" + name + ".json"));
        expect_golden_line("asked_submission_" + name + "_read.json",
                           boost::json::serialize(wire::spec_to_record(spec)));
    }
    const auto full = wire::parse_submission(golden_object("asked_submission_full.json"));
    EXPECT_EQ(full.need.gpus, 1);
    EXPECT_EQ(full.need.memory_gb, 64);
    EXPECT_EQ(full.estimated_runtime, model::Seconds(240.25));
    EXPECT_EQ(full.checkpoint_interval, model::Seconds(30));
    EXPECT_EQ(full.checkpoint_duration, model::Seconds(4));
    EXPECT_EQ(full.deadline, model::Seconds(900));
    EXPECT_TRUE(full.one_zone && full.spot && !full.spread);
}

// The error texts that users get if a field is missing, null, of another type or out of range.
TEST(GoldenTest, SubmissionErrorsKeepTheirTexts) {
    const auto whole = golden_object("asked_submission_full.json");
    const std::vector<boost::json::value> wrong{nullptr, "", -1, 0.5, 1e300, boost::json::array(), "nonsense", false};
    std::string out;
    for (const auto& field : whole)
        for (std::size_t i = 0; i <= wrong.size(); ++i) {
            auto body = whole;
            out += std::string(field.key()) + " " + (i ? boost::json::serialize(wrong[i - 1]) : "absent") + ": ";
            body.erase(field.key());
            if (i) body[field.key()] = wrong[i - 1];
            try {
                wire::parse_submission(body);
                out += "taken\n";
            } catch (const wire::DecodeError& error) {
                out += std::string(error.what()) + "\n";
            }
        }
    expect_golden("submission_errors.txt", out);
}

// The bodies of responses to users.
TEST(GoldenTest, UserResponsesKeepTheirFormat) {
    std::string out = wire::submission_response("run-000412", "pending") + "\n";
    out += wire::poll_response("run-000412", wire::job_state_name(model::JobState::done), 3, 13) + "\n";
    for (const auto state : {model::JobState::open, model::JobState::done, model::JobState::cancelled}) {
        out += std::string(wire::job_state_name(state)) + "\n";
        EXPECT_EQ(wire::job_state_from(wire::job_state_name(state)), state);
    }
    out += wire::error_body("owner: \"nobody\" is unknown") + "\n";
    expect_golden("user_responses.txt", out);
}

// Heartbeats of workers: with each status and cause and an unknown cause, and without optional fields.
TEST(GoldenTest, HeartbeatsAreParsedAsInTheGoldenFiles) {
    for (const std::string name : {"full", "bare"})
        expect_golden("asked_report_" + name + "_read.txt",
                      print(wire::parse_heartbeat(golden("asked_report_" + name + ".json"))));
}

// The bodies of responses and direct commands to workers, with each type of command.
TEST(GoldenTest, WorkerResponsesKeepTheirFormat) {
    std::string out = wire::heartbeat_response(1'700'000'000'041, every_command()) + "\n";
    out += wire::heartbeat_response(1, {}) + "\n";
    out += wire::direct_commands(1'700'000'000'041, 2, every_command()) + "\n";
    out += wire::redirect_body("hearth-2") + "\n" + wire::redirect_body("") + "\n";
    expect_golden("worker_responses.txt", out);
}

// The cloud's catalog, its list of machines and its response to a launch request.
TEST(GoldenTest, CloudResponsesAreParsedAsInTheGoldenFiles) {
    const auto types = wire::parse_catalog(golden("given_catalogue.json"));
    expect_golden_line("given_catalogue_read.json", boost::json::serialize(wire::catalog_record(types)));
    for (const std::string name : {"first", "last"})
        expect_golden("given_machines_" + name + "_read.txt",
                      print(wire::parse_machines(golden("given_machines_" + name + ".json"))));
    EXPECT_EQ(wire::parse_launched(golden("given_rented.json")), (std::vector<std::string>{"n-000231", "n-000232"}));
}

// The bodies of launch and terminate requests to the cloud.
TEST(GoldenTest, CloudRequestsKeepTheirFormat) {
    expect_golden_line("cloud_requests.txt", wire::launch_body("r-17", "g8", "a", true, 12) + "\n" +
                                                 wire::terminate_body({"n-000231", "n-000232"}));
}

}  // namespace flintdale::test
