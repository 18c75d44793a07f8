#include "peer/relay_message.hpp"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>

#include <cstring>
#include <stdexcept>

#include "wire/relay.capnp.h"

namespace flintdale::peer {

namespace {

constexpr double no_notice = -1;

template <class E>
E checked(std::uint8_t value, E last, const char* what) {
    if (value > static_cast<std::uint8_t>(last)) throw std::runtime_error(std::string("unknown ") + what);
    return static_cast<E>(value);
}

void write(const RelayedReport& from, ::RelayedReport::Builder to) {
    const auto& r = from.report;
    to.setNumber(from.number);
    to.setHandle(from.handle);
    to.setMachine(r.machine);
    to.setAddress(r.addr);
    to.setType(r.type);
    to.setZone(r.zone);
    to.setSpot(r.spot);
    to.setTenure(r.tenure);
    to.setTick(r.tick);
    to.setToken(r.token);
    to.setNoticeS(r.notice ? r.notice->count() : no_notice);
    auto tasks = to.initTasks(static_cast<unsigned>(r.tasks.size()));
    for (unsigned i = 0; i < tasks.size(); ++i) {
        const auto& t = r.tasks[i];
        tasks[i].setUid(t.id.uid);
        tasks[i].setIndex(t.id.index);
        tasks[i].setAttempt(t.attempt);
        tasks[i].setStatus(static_cast<std::uint8_t>(t.status));
        tasks[i].setCause(static_cast<std::uint8_t>(t.cause));
        tasks[i].setSaved(t.saved);
    }
}

RelayedReport read(::RelayedReport::Reader from) {
    RelayedReport out;
    out.number = from.getNumber();
    out.handle = from.getHandle();
    auto& r = out.report;
    r.machine = from.getMachine().cStr();
    r.addr = from.getAddress().cStr();
    r.type = from.getType().cStr();
    r.zone = from.getZone().cStr();
    r.spot = from.getSpot();
    r.tenure = from.getTenure();
    r.tick = from.getTick();
    r.token = from.getToken();
    if (from.getNoticeS() >= 0) r.notice = wire::Seconds(from.getNoticeS());
    const auto tasks = from.getTasks();
    r.tasks.reserve(tasks.size());
    for (const auto t : tasks) {
        wire::TaskReport task;
        task.id = {t.getUid().cStr(), t.getIndex()};
        task.attempt = t.getAttempt();
        task.status = checked(t.getStatus(), wire::TaskStatus::exited, "status");
        task.cause = checked(t.getCause(), wire::Cause::unknown, "cause");
        task.saved = t.getSaved();
        r.tasks.push_back(std::move(task));
    }
    return out;
}

void write(const RelayedAnswer& from, ::RelayedAnswer::Builder to) {
    to.setNumber(from.number);
    to.setOutcome(static_cast<std::uint8_t>(from.outcome));
    to.setToken(from.token);
    if (from.orders.empty()) return;
    auto orders = to.initOrders(static_cast<unsigned>(from.orders.size()));
    for (unsigned i = 0; i < orders.size(); ++i) {
        const auto& o = from.orders[i];
        orders[i].setVerb(static_cast<std::uint8_t>(o.verb));
        orders[i].setUid(o.id.uid);
        orders[i].setIndex(o.id.index);
        orders[i].setAttempt(o.attempt);
        orders[i].setGraceS(o.grace.count());
    }
}

RelayedAnswer read(::RelayedAnswer::Reader from) {
    RelayedAnswer out;
    out.number = from.getNumber();
    out.outcome = checked(from.getOutcome(), RelayOutcome::unknown_handle, "outcome");
    out.token = from.getToken();
    for (const auto o : from.getOrders())
        out.orders.push_back({checked(o.getVerb(), wire::Verb::clear, "verb"),
                              {o.getUid().cStr(), o.getIndex()},
                              o.getAttempt(),
                              wire::Seconds(o.getGraceS())});
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
        repeated[i].setTick(from.repeated[i].tick);
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
            out.repeated.push_back({r.getNumber(), r.getHandle(), r.getTick(), r.getFull()});
        for (const auto a : from.getAnswers()) out.answers.push_back(read(a));
        return out;
    } catch (const kj::Exception& e) {
        throw std::runtime_error(e.getDescription().cStr());
    }
}

}  // namespace flintdale::peer
