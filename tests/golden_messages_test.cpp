// What controllers tell each other, and the bodies that users, workers and the cloud send and are sent.
#include "peer/peer_connections.hpp"
#include "support/golden_support.hpp"
#include "wire/json.hpp"

namespace flintdale::test {

namespace {

peer::StatusMessage full_beat() {
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

// The flags that full_beat leaves out, so that no two can be taken for each other.
peer::StatusMessage other_flags(bool leading, bool whole) {
    peer::StatusMessage status;
    status.leading = leading;
    status.cancellations.complete = whole;
    return status;
}

model::Heartbeat full_report() {
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
    message.reports[0].report = full_report();
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

// A report as it was read, one line for the worker and one for each task.
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

// The numbers that stand for words of the protocol in relayed reports, and in the golden texts here.
TEST(GoldenTest, NumbersOfStatusesCausesVerbsAndStatesAreAsBefore) {
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

// A beat with every field, and each flag that it leaves out by itself.
TEST(GoldenTest, BeatsAreWrittenAndReadAsBefore) {
    expect_golden("beat_full.bin", peer::encode(full_beat()));
    expect_golden("beat_full.bin", peer::encode(peer::decode_status(golden("beat_full.bin"))));
    expect_golden("beat_leading.bin", peer::encode(other_flags(true, false)));
    expect_golden("beat_leading.bin", peer::encode(peer::decode_status(golden("beat_leading.bin"))));
    expect_golden("beat_whole.bin", peer::encode(other_flags(false, true)));
    expect_golden("beat_whole.bin", peer::encode(peer::decode_status(golden("beat_whole.bin"))));
    const auto read = peer::decode_status(golden("beat_full.bin"));
    EXPECT_TRUE(read.store_healthy && read.relays);
    EXPECT_FALSE(read.leading || read.cancellations.complete);
    EXPECT_EQ(read.term, full_beat().term);
    EXPECT_EQ(read.connection, 0u);
}

// A relayed message with reports in full and repeated, and answers of each kind with each type.
TEST(GoldenTest, RelayedMessagesAreWrittenAndReadAsBefore) {
    expect_golden("relay_full.bin", peer::encode(full_relay()));
    const auto read = peer::decode_relay(golden("relay_full.bin"));
    expect_golden("relay_full.bin", peer::encode(read));
    ASSERT_EQ(read.reports.size(), 2u);
    EXPECT_EQ(read.reports[0].report, full_report());
    EXPECT_FALSE(read.reports[1].report.termination_notice);
    expect_golden("relay_empty.bin", peer::encode(peer::RelayMessage()));
    EXPECT_TRUE(peer::decode_relay(golden("relay_empty.bin")).empty());
}

// A user's submission, with every field and with none that may be absent.
TEST(GoldenTest, SubmissionsAreUnderstoodAsBefore) {
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

// Each field in turn is left out, null, of another kind or out of range; what a user reads then.
TEST(GoldenTest, ComplaintsAboutSubmissionsAreAsBefore) {
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
            } catch (const wire::DecodeError& complaint) {
                out += std::string(complaint.what()) + "\n";
            }
        }
    expect_golden("complaints_about_submissions.txt", out);
}

// What users are answered.
TEST(GoldenTest, AnswersToUsersAreAsBefore) {
    std::string out = wire::submission_response("run-000412", "pending") + "\n";
    out += wire::poll_response("run-000412", wire::job_state_name(model::JobState::done), 3, 13) + "\n";
    for (const auto state : {model::JobState::open, model::JobState::done, model::JobState::cancelled}) {
        out += std::string(wire::job_state_name(state)) + "\n";
        EXPECT_EQ(wire::job_state_from(wire::job_state_name(state)), state);
    }
    out += wire::error_body("owner: \"nobody\" is unknown") + "\n";
    expect_golden("answers_to_users.txt", out);
}

// A worker's report with each status and cause, with a cause that nobody knows, and with as little as there can be.
TEST(GoldenTest, WorkersReportsAreUnderstoodAsBefore) {
    for (const std::string name : {"full", "bare"})
        expect_golden("asked_report_" + name + "_read.txt",
                      print(wire::parse_heartbeat(golden("asked_report_" + name + ".json"))));
}

// What workers are answered and sent, with each type.
TEST(GoldenTest, AnswersToWorkersAreAsBefore) {
    std::string out = wire::heartbeat_response(1'700'000'000'041, every_command()) + "\n";
    out += wire::heartbeat_response(1, {}) + "\n";
    out += wire::direct_commands(1'700'000'000'041, 2, every_command()) + "\n";
    out += wire::redirect_body("hearth-2") + "\n" + wire::redirect_body("") + "\n";
    expect_golden("answers_to_workers.txt", out);
}

// What the cloud says of machine types and of machines.
TEST(GoldenTest, TheCloudsAnswersAreUnderstoodAsBefore) {
    const auto types = wire::parse_catalog(golden("given_catalogue.json"));
    expect_golden_line("given_catalogue_read.json", boost::json::serialize(wire::catalog_record(types)));
    for (const std::string name : {"first", "last"})
        expect_golden("given_machines_" + name + "_read.txt",
                      print(wire::parse_machines(golden("given_machines_" + name + ".json"))));
    EXPECT_EQ(wire::parse_launched(golden("given_rented.json")), (std::vector<std::string>{"n-000231", "n-000232"}));
}

// What the cloud is asked.
TEST(GoldenTest, RequestsToTheCloudAreAsBefore) {
    expect_golden_line("asked_of_the_cloud.txt", wire::launch_body("r-17", "g8", "a", true, 12) + "\n" +
                                                     wire::terminate_body({"n-000231", "n-000232"}));
}

}  // namespace flintdale::test
