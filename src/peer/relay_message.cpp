#include "peer/relay_message.hpp"

#include "model/task.hpp"
#include "peer/capnp_message.hpp"
#include "wire/relay.capnp.h"

namespace flintdale::peer {

namespace {

constexpr double no_termination_notice = -1;

// Throws std::runtime_error if the value is greater than the last enumerator.
template <class E>
E to_enum(std::uint8_t value, E last, const char* field) {
    if (value > static_cast<std::uint8_t>(last)) throw std::runtime_error(std::string("unknown ") + field);
    return static_cast<E>(value);
}

void write(const model::TaskReport& from, ::RelayedTask::Builder to) {
    to.setUid(from.id.uid);
    to.setIndex(from.id.index);
    to.setAttempt(from.attempt);
    to.setStatus(static_cast<std::uint8_t>(from.status));
    to.setExitReason(static_cast<std::uint8_t>(from.exit_reason));
    to.setCheckpointed(from.checkpointed);
}

model::TaskReport read(::RelayedTask::Reader from) {
    model::TaskReport task;
    task.id = {from.getUid().cStr(), from.getIndex()};
    task.attempt = from.getAttempt();
    task.status = to_enum(from.getStatus(), model::TaskStatus::exited, "status");
    task.exit_reason = to_enum(from.getExitReason(), model::ExitReason::unknown_task, "cause");
    task.checkpointed = from.getCheckpointed();
    return task;
}

void write(const RelayedHeartbeat& from, ::RelayedHeartbeat::Builder to) {
    const auto& heartbeat = from.report;
    const auto& notice = heartbeat.termination_notice;
    to.setNumber(from.number);
    to.setHandle(from.handle);
    to.setMachine(heartbeat.machine);
    to.setAddress(heartbeat.addr);
    to.setType(heartbeat.type);
    to.setZone(heartbeat.zone);
    to.setSpot(heartbeat.spot);
    to.setIncarnation(heartbeat.incarnation);
    to.setSequence(heartbeat.sequence);
    to.setFencingToken(heartbeat.fencing_token);
    to.setTerminationNoticeS(notice ? notice->count() : no_termination_notice);
    auto tasks = to.initTasks(static_cast<unsigned>(heartbeat.tasks.size()));
    for (unsigned i = 0; i < tasks.size(); ++i) write(heartbeat.tasks[i], tasks[i]);
}

RelayedHeartbeat read(::RelayedHeartbeat::Reader from) {
    RelayedHeartbeat out;
    out.number = from.getNumber();
    out.handle = from.getHandle();
    auto& heartbeat = out.report;
    heartbeat.machine = from.getMachine().cStr();
    heartbeat.addr = from.getAddress().cStr();
    heartbeat.type = from.getType().cStr();
    heartbeat.zone = from.getZone().cStr();
    heartbeat.spot = from.getSpot();
    heartbeat.incarnation = from.getIncarnation();
    heartbeat.sequence = from.getSequence();
    heartbeat.fencing_token = from.getFencingToken();
    const auto notice_s = from.getTerminationNoticeS();
    if (notice_s >= 0) heartbeat.termination_notice = model::Seconds(notice_s);
    const auto tasks = from.getTasks();
    heartbeat.tasks.reserve(tasks.size());
    for (const auto task : tasks) heartbeat.tasks.push_back(read(task));
    return out;
}

void write(const RepeatedHeartbeat& from, ::RepeatedHeartbeat::Builder to) {
    to.setNumber(from.number);
    to.setHandle(from.handle);
    to.setSequence(from.sequence);
    to.setOriginal(from.original);
}

RepeatedHeartbeat read(::RepeatedHeartbeat::Reader from) {
    return {from.getNumber(), from.getHandle(), from.getSequence(), from.getOriginal()};
}

void write(const model::Command& from, ::RelayedCommand::Builder to) {
    to.setType(static_cast<std::uint8_t>(from.type));
    to.setUid(from.id.uid);
    to.setIndex(from.id.index);
    to.setAttempt(from.attempt);
    to.setGracePeriodS(from.grace_period.count());
}

model::Command read(::RelayedCommand::Reader from) {
    model::Command command;
    command.type = to_enum(from.getType(), model::CommandType::clear, "verb");
    command.id = {from.getUid().cStr(), from.getIndex()};
    command.attempt = from.getAttempt();
    command.grace_period = model::Seconds(from.getGracePeriodS());
    return command;
}

void write(const RelayedResponse& from, ::RelayedResponse::Builder to) {
    to.setNumber(from.number);
    to.setOutcome(static_cast<std::uint8_t>(from.outcome));
    to.setFencingToken(from.fencing_token);
    if (from.commands.empty()) return;
    auto commands = to.initCommands(static_cast<unsigned>(from.commands.size()));
    for (unsigned i = 0; i < commands.size(); ++i) write(from.commands[i], commands[i]);
}

RelayedResponse read(::RelayedResponse::Reader from) {
    RelayedResponse out;
    out.number = from.getNumber();
    out.outcome = to_enum(from.getOutcome(), RelayOutcome::unknown_handle, "outcome");
    out.fencing_token = from.getFencingToken();
    for (const auto command : from.getCommands()) out.commands.push_back(read(command));
    return out;
}

RelayMessage read_message(::RelayMessage::Reader from) {
    RelayMessage out;
    out.member = from.getMember().cStr();
    out.incarnation = from.getIncarnation();
    out.receiver_incarnation = from.getReceiverIncarnation();
    for (const auto heartbeat : from.getReports()) out.reports.push_back(read(heartbeat));
    for (const auto heartbeat : from.getRepeated()) out.repeated.push_back(read(heartbeat));
    for (const auto response : from.getAnswers()) out.answers.push_back(read(response));
    return out;
}

}  // namespace

// The bytes of the message depend on the order in which the lists are written.
std::string encode(const RelayMessage& from) {
    capnp::MallocMessageBuilder message;
    auto to = message.initRoot<::RelayMessage>();
    to.setMember(from.member);
    to.setIncarnation(from.incarnation);
    to.setReceiverIncarnation(from.receiver_incarnation);
    auto reports = to.initReports(static_cast<unsigned>(from.reports.size()));
    for (unsigned i = 0; i < reports.size(); ++i) write(from.reports[i], reports[i]);
    auto repeated = to.initRepeated(static_cast<unsigned>(from.repeated.size()));
    for (unsigned i = 0; i < repeated.size(); ++i) write(from.repeated[i], repeated[i]);
    auto answers = to.initAnswers(static_cast<unsigned>(from.answers.size()));
    for (unsigned i = 0; i < answers.size(); ++i) write(from.answers[i], answers[i]);
    return to_bytes(message);
}

RelayMessage decode_relay(const std::string& bytes) { return from_bytes<::RelayMessage>(bytes, read_message); }

}  // namespace flintdale::peer
