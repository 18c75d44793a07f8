#include "load_test/messages.hpp"

#include "wire/json.hpp"

namespace flintdale::load_test {

namespace json = boost::json;

namespace {

constexpr const char* kind_field = "message";

std::int64_t to_number(TimePoint t) { return t.time_since_epoch().count(); }
TimePoint to_time(const json::value& v) { return TimePoint(TimePoint::duration(v.to_number<std::int64_t>())); }
std::string text(const json::object& o, const char* field) { return std::string(o.at(field).as_string()); }

std::string line_of(const char* kind, json::object body) {
    body[kind_field] = kind;
    return json::serialize(body);
}

struct ToWorkersWriter {
    std::string operator()(const UploadJob& m) const {
        return line_of("upload", {{"spec", wire::spec_to_record(m.spec)}, {"runs_s", m.runs.count()}});
    }
    std::string operator()(const AddMachine& m) const {
        return line_of("add", {{"name", m.name},
                               {"address", m.address},
                               {"type", m.type},
                               {"zone", m.zone},
                               {"spot", m.spot},
                               {"boots_in_s", m.boots_in.count()}});
    }
    std::string operator()(const RemoveMachine& m) const { return line_of("remove", {{"name", m.name}}); }
    std::string operator()(const RestartWorker& m) const { return line_of("restart", {{"name", m.name}}); }
    std::string operator()(const KillMachine& m) const { return line_of("kill", {{"name", m.name}}); }
    std::string operator()(const TakeSample&) const { return line_of("sample", {}); }
};

using CountField = std::pair<const char*, std::uint64_t WorkerCounts::*>;
constexpr CountField count_fields[] = {{"reports", &WorkerCounts::reports},
                                       {"answered", &WorkerCounts::answered},
                                       {"redirected", &WorkerCounts::redirected},
                                       {"unavailable", &WorkerCounts::unavailable},
                                       {"unanswered", &WorkerCounts::unanswered},
                                       {"bytes_sent", &WorkerCounts::bytes_sent},
                                       {"bytes_received", &WorkerCounts::bytes_received},
                                       {"started", &WorkerCounts::started},
                                       {"finished", &WorkerCounts::finished},
                                       {"lease_kills", &WorkerCounts::lease_kills},
                                       {"up", &WorkerCounts::up},
                                       {"connected", &WorkerCounts::connected}};

json::object to_json(const WorkerCounts& c) {
    json::object o;
    for (const auto& [name, member] : count_fields) o[name] = c.*member;
    return o;
}

WorkerCounts counts_of(const json::object& o) {
    WorkerCounts c;
    for (const auto& [name, member] : count_fields) c.*member = o.at(name).to_number<std::uint64_t>();
    return c;
}

// Short, for there are thousands a second.
json::array to_json(const TaskEvent& e) {
    return {static_cast<int>(e.kind), to_number(e.at), e.task.first, e.task.second,
            e.place.machine,          e.place.type,    e.place.zone, e.place.spot};
}

TaskEvent event_of(const json::array& a) {
    TaskEvent e;
    e.kind = static_cast<TaskEvent::Kind>(a.at(0).to_number<int>());
    e.at = to_time(a.at(1));
    e.task = {std::string(a.at(2).as_string()), a.at(3).to_number<std::uint32_t>()};
    e.place = {std::string(a.at(4).as_string()), std::string(a.at(5).as_string()), std::string(a.at(6).as_string()),
               a.at(7).as_bool()};
    return e;
}

struct FromWorkersWriter {
    std::string operator()(const Progress& m) const {
        json::array events, tokens;
        for (const auto& e : m.events) events.push_back(to_json(e));
        for (const auto& t : m.tokens) tokens.push_back(json::array{t.fencing_token, to_number(t.at), t.runs});
        return line_of("progress", {{"now", to_number(m.now)},
                                    {"counts", to_json(m.counts)},
                                    {"events", std::move(events)},
                                    {"tokens", std::move(tokens)},
                                    {"came_up", json::value_from(m.came_up)}});
    }
    std::string operator()(const Sample& m) const {
        return line_of("sample", {{"counts", to_json(m.counts)},
                                  {"answers", json::value_from(m.answers.bins())},
                                  {"by_controller", json::value_from(m.by_controller)}});
    }
};

Progress progress_of(const json::object& o) {
    Progress m;
    m.now = to_time(o.at("now"));
    m.counts = counts_of(o.at("counts").as_object());
    for (const auto& e : o.at("events").as_array()) m.events.push_back(event_of(e.as_array()));
    for (const auto& t : o.at("tokens").as_array()) {
        const auto& a = t.as_array();
        m.tokens.push_back({a.at(0).to_number<std::uint64_t>(), to_time(a.at(1)), a.at(2).as_bool()});
    }
    m.came_up = json::value_to<std::vector<std::string>>(o.at("came_up"));
    return m;
}

}  // namespace

WorkerCounts& WorkerCounts::operator+=(const WorkerCounts& o) {
    for (const auto& [name, member] : count_fields) this->*member += o.*member;
    return *this;
}

std::string to_line(const ToWorkers& message) { return std::visit(ToWorkersWriter{}, message); }
std::string to_line(const FromWorkers& message) { return std::visit(FromWorkersWriter{}, message); }

ToWorkers parse_to_workers(const std::string& line) {
    const auto parsed = json::parse(line);
    const auto& o = parsed.as_object();
    const auto kind = text(o, kind_field);
    if (kind == "upload")
        return UploadJob{wire::spec_from_record(o.at("spec").as_object()), Seconds(o.at("runs_s").to_number<double>())};
    if (kind == "add")
        return AddMachine{text(o, "name"), text(o, "address"),     text(o, "type"),
                          text(o, "zone"), o.at("spot").as_bool(), Seconds(o.at("boots_in_s").to_number<double>())};
    if (kind == "remove") return RemoveMachine{text(o, "name")};
    if (kind == "restart") return RestartWorker{text(o, "name")};
    if (kind == "kill") return KillMachine{text(o, "name")};
    if (kind == "sample") return TakeSample{};
    throw std::runtime_error("unknown message: " + kind);
}

FromWorkers parse_from_workers(const std::string& line) {
    const auto parsed = json::parse(line);
    const auto& o = parsed.as_object();
    const auto kind = text(o, kind_field);
    if (kind == "progress") return progress_of(o);
    if (kind == "sample")
        return Sample{counts_of(o.at("counts").as_object()),
                      Latencies(json::value_to<std::vector<std::uint64_t>>(o.at("answers"))),
                      json::value_to<std::vector<std::uint64_t>>(o.at("by_controller"))};
    throw std::runtime_error("unknown message: " + kind);
}

}  // namespace flintdale::load_test
