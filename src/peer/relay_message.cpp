#include "peer/relay_message.hpp"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>

#include <cstring>
#include <stdexcept>

#include "model/task.hpp"
#include "wire/relay.capnp.h"

namespace flintdale::peer {

namespace {

constexpr double no_notice = -1;

template <class E>
E checked(std::uint8_t value, E last, const char* what) {
    if (value > static_cast<std::uint8_t>(last)) throw std::runtime_error(std::string("unknown ") + what);
    return static_cast<E>(value);
}

void write(const RelayedHeartbeat& from, ::RelayedHeartbeat::Builder to) {
    const auto& r = from.report;
    to.setNumber(from.number);
    to.setHandle(from.handle);
    to.setMachine(r.machine);
    to.setAddress(r.addr);
    to.setType(r.type);
    to.setZone(r.zone);
    to.setSpot(r.spot);
    to.setIncarnation(r.incarnation);
    to.setSequence(r.sequence);
    to.setFencingToken(r.fencing_token);
    to.setTerminationNoticeS(r.termination_notice ? r.termination_notice->count() : no_notice);
    auto tasks = to.initTasks(static_cast<unsigned>(r.tasks.size()));
    for (unsigned i = 0; i < tasks.size(); ++i) {
        const auto& t = r.tasks[i];
        tasks[i].setUid(t.id.uid);
        tasks[i].setIndex(t.id.index);
        tasks[i].setAttempt(t.attempt);
        tasks[i].setStatus(static_cast<std::uint8_t>(t.status));
        tasks[i].setExitReason(static_cast<std::uint8_t>(t.exit_reason));
        tasks[i].setCheckpointed(t.checkpointed);
    }
}

RelayedHeartbeat read(::RelayedHeartbeat::Reader from) {
    RelayedHeartbeat out;
    out.number = from.getNumber();
    out.handle = from.getHandle();
    auto& r = out.report;
    r.machine = from.getMachine().cStr();
    r.addr = from.getAddress().cStr();
    r.type = from.getType().cStr();
    r.zone = from.getZone().cStr();
    r.spot = from.getSpot();
    r.incarnation = from.getIncarnation();
    r.sequence = from.getSequence();
    r.fencing_token = from.getFencingToken();
    if (from.getTerminationNoticeS() >= 0) r.termination_notice = model::Seconds(from.getTerminationNoticeS());
    const auto tasks = from.getTasks();
    r.tasks.reserve(tasks.size());
    for (const auto t : tasks) {
        model::TaskReport task;
        task.id = {t.getUid().cStr(), t.getIndex()};
        task.attempt = t.getAttempt();
        task.status = checked(t.getStatus(), model::TaskStatus::exited, "status");
        task.exit_reason = checked(t.getExitReason(), model::ExitReason::unknown_task, "cause");
        task.checkpointed = t.getCheckpointed();
        r.tasks.push_back(std::move(task));
    }
    return out;
}

void write(const RelayedResponse& from, ::RelayedResponse::Builder to) {
    to.setNumber(from.number);
    to.setOutcome(static_cast<std::uint8_t>(from.outcome));
    to.setFencingToken(from.fencing_token);
    if (from.commands.empty()) return;
    auto commands = to.initCommands(static_cast<unsigned>(from.commands.size()));
    for (unsigned i = 0; i < commands.size(); ++i) {
        const auto& o = from.commands[i];
        commands[i].setType(static_cast<std::uint8_t>(o.type));
        commands[i].setUid(o.id.uid);
        commands[i].setIndex(o.id.index);
        commands[i].setAttempt(o.attempt);
        commands[i].setGracePeriodS(o.grace_period.count());
    }
}

RelayedResponse read(::RelayedResponse::Reader from) {
    RelayedResponse out;
    out.number = from.getNumber();
    out.outcome = checked(from.getOutcome(), RelayOutcome::unknown_handle, "outcome");
    out.fencing_token = from.getFencingToken();
    for (const auto o : from.getCommands())
        out.commands.push_back({checked(o.getType(), model::CommandType::clear, "verb"),
                                {o.getUid().cStr(), o.getIndex()},
                                o.getAttempt(),
                                model::Seconds(o.getGracePeriodS())});
    return out;
}

}  // namespace

std::string encode(const RelayMessage& from) {
    capnp::MallocMessageBuilder message;
    auto to = message.initRoot<::RelayMessage>();
    to.setMember(from.member);
    to.setIncarnation(from.incarnation);
    to.setTo(from.to);
    auto reports = to.initReports(static_cast<unsigned>(from.reports.size()));
    for (unsigned i = 0; i < reports.size(); ++i) write(from.reports[i], reports[i]);
    auto repeated = to.initRepeated(static_cast<unsigned>(from.repeated.size()));
    for (unsigned i = 0; i < repeated.size(); ++i) {
        repeated[i].setNumber(from.repeated[i].number);
        repeated[i].setHandle(from.repeated[i].handle);
        repeated[i].setSequence(from.repeated[i].sequence);
        repeated[i].setFull(from.repeated[i].full);
    }
    auto answers = to.initAnswers(static_cast<unsigned>(from.answers.size()));
    for (unsigned i = 0; i < answers.size(); ++i) write(from.answers[i], answers[i]);
    const auto words = capnp::messageToFlatArray(message);
    const auto bytes = words.asBytes();
    return std::string(reinterpret_cast<const char*>(bytes.begin()), bytes.size());
}

RelayMessage decode_relay(const std::string& bytes) {
    std::vector<capnp::word> words(bytes.size() / sizeof(capnp::word));
    std::memcpy(words.data(), bytes.data(), words.size() * sizeof(capnp::word));
    try {
        capnp::FlatArrayMessageReader reader(kj::arrayPtr(words.data(), words.size()));
        const auto from = reader.getRoot<::RelayMessage>();
        RelayMessage out;
        out.member = from.getMember().cStr();
        out.incarnation = from.getIncarnation();
        out.to = from.getTo();
        for (const auto r : from.getReports()) out.reports.push_back(read(r));
        for (const auto r : from.getRepeated())
            out.repeated.push_back({r.getNumber(), r.getHandle(), r.getSequence(), r.getFull()});
        for (const auto a : from.getAnswers()) out.answers.push_back(read(a));
        return out;
    } catch (const kj::Exception& e) {
        throw std::runtime_error(e.getDescription().cStr());
    }
}

}  // namespace flintdale::peer
