#include "wire/json.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace flintdale::wire {

namespace {

constexpr std::uint32_t max_tasks = 100'000;
constexpr std::size_t max_name = 200;
constexpr double max_amount = 1e9;

template <class E, std::size_t N>
using Names = std::array<std::pair<E, std::string_view>, N>;

constexpr Names<model::JobKind, 3> kinds{
    {{model::JobKind::array, "array"}, {model::JobKind::gang, "ensemble"}, {model::JobKind::service, "standing"}}};
constexpr Names<model::Priority, 4> priorities{{{model::Priority::critical, "critical"},
                                                {model::Priority::high, "high"},
                                                {model::Priority::normal, "normal"},
                                                {model::Priority::idle, "idle"}}};
constexpr Names<model::TaskStatus, 5> statuses{{{model::TaskStatus::fetching, "pulling"},
                                                {model::TaskStatus::waiting, "waiting"},
                                                {model::TaskStatus::running, "running"},
                                                {model::TaskStatus::checkpointing, "saving"},
                                                {model::TaskStatus::exited, "ended"}}};
constexpr Names<model::ExitReason, 8> exit_reasons{{{model::ExitReason::done, "done"},
                                                    {model::ExitReason::stopped, "halted"},
                                                    {model::ExitReason::gang_member_lost, "peers"},
                                                    {model::ExitReason::gang_incomplete, "incomplete"},
                                                    {model::ExitReason::error, "error"},
                                                    {model::ExitReason::insufficient_resources, "full"},
                                                    {model::ExitReason::conflicting_attempt, "in_use"},
                                                    {model::ExitReason::unknown_task, "no_such"}}};
constexpr Names<model::CommandType, 3> command_types{
    {{model::CommandType::run, "run"}, {model::CommandType::kill, "kill"}, {model::CommandType::clear, "clear"}}};
constexpr Names<model::MachineStatus, 3> machine_statuses{{{model::MachineStatus::booting, "starting"},
                                                           {model::MachineStatus::running, "running"},
                                                           {model::MachineStatus::failed, "failed"}}};
constexpr Names<model::JobState, 3> job_states{
    {{model::JobState::open, "open"}, {model::JobState::done, "done"}, {model::JobState::cancelled, "aborted"}}};

template <class E, std::size_t N>
std::string_view name_of(const Names<E, N>& names, E value) {
    for (const auto& [e, n] : names)
        if (e == value) return n;
    return "";
}

template <class E, std::size_t N>
std::optional<E> value_of(const Names<E, N>& names, std::string_view name) {
    for (const auto& [e, n] : names)
        if (n == name) return e;
    return std::nullopt;
}

[[noreturn]] void bad(std::string_view field, std::string_view why) {
    throw DecodeError(std::string(field) + ": " + std::string(why));
}

const json::value* find(const json::object& o, std::string_view field) {
    const auto* v = o.if_contains(field);
    return v && !v->is_null() ? v : nullptr;
}

const json::value& need(const json::object& o, std::string_view field) {
    const auto* v = find(o, field);
    if (!v) bad(field, "missing");
    return *v;
}

std::string text(const json::object& o, std::string_view field) {
    const auto& v = need(o, field);
    if (!v.is_string()) bad(field, "must be a string");
    const auto& s = v.get_string();
    if (s.empty() || s.size() > max_name) bad(field, "must be 1 to 200 bytes long");
    return std::string(s);
}

std::optional<std::string> optional_text(const json::object& o, std::string_view field) {
    if (!find(o, field)) return std::nullopt;
    return text(o, field);
}

double to_amount(const json::value& v, std::string_view field) {
    double d = 0;
    if (v.is_double())
        d = v.get_double();
    else if (v.is_int64())
        d = static_cast<double>(v.get_int64());
    else if (v.is_uint64())
        d = static_cast<double>(v.get_uint64());
    else
        bad(field, "must be a number");
    if (!std::isfinite(d)) bad(field, "must be finite");
    if (d < 0) bad(field, "must not be negative");
    if (d > max_amount) bad(field, "is too large");
    return d;
}

double amount(const json::object& o, std::string_view field) { return to_amount(need(o, field), field); }

bool flag(const json::object& o, std::string_view field) {
    const auto& v = need(o, field);
    if (!v.is_bool()) bad(field, "must be true or false");
    return v.get_bool();
}

bool flag_or(const json::object& o, std::string_view field, bool otherwise) {
    return find(o, field) ? flag(o, field) : otherwise;
}

std::uint64_t to_count(const json::value& v, std::string_view field) {
    if (v.is_uint64()) return v.get_uint64();
    if (v.is_int64() && v.get_int64() >= 0) return static_cast<std::uint64_t>(v.get_int64());
    // Some writers print whole numbers with a point; accept those that are exact.
    if (v.is_double() && v.get_double() >= 0 && v.get_double() < 9e15 && v.get_double() == std::floor(v.get_double()))
        return static_cast<std::uint64_t>(v.get_double());
    bad(field, "must be a whole number");
}

std::uint64_t count(const json::object& o, std::string_view field) { return to_count(need(o, field), field); }

template <class E, std::size_t N>
E word(const json::object& o, std::string_view field, const Names<E, N>& names) {
    const auto& v = need(o, field);
    if (v.is_string())
        if (auto e = value_of(names, std::string_view(v.get_string()))) return *e;
    std::string expected = "must be one of";
    for (const auto& [e, n] : names) expected += " " + std::string(n);
    bad(field, expected);
}

const json::array& list(const json::object& o, std::string_view field) {
    const auto& v = need(o, field);
    if (!v.is_array()) bad(field, "must be a list");
    return v.get_array();
}

const json::object& as_object(const json::value& v, std::string_view field) {
    if (!v.is_object()) bad(field, "must hold objects");
    return v.get_object();
}

model::TaskId task_id(const std::string& name, std::string_view field) {
    const auto slash = name.rfind('/');
    if (slash == std::string::npos || slash + 1 >= name.size() || name.size() - slash > 8) bad(field, "malformed");
    model::TaskId id{name.substr(0, slash), 0};
    for (char c : std::string_view(name).substr(slash + 1)) {
        if (c < '0' || c > '9') bad(field, "malformed");
        id.index = id.index * 10 + static_cast<std::uint32_t>(c - '0');
    }
    return id;
}

std::string task_name(const model::TaskId& id) { return id.uid + "/" + std::to_string(id.index); }

json::array commands_json(const std::vector<model::Command>& commands) {
    json::array out;
    for (const auto& o : commands) {
        json::object e;
        e["verb"] = name_of(command_types, o.type);
        e["shard"] = task_name(o.id);
        e["try"] = o.attempt;
        if (o.type == model::CommandType::kill) e["wind_down_s"] = o.grace_period.count();
        out.push_back(std::move(e));
    }
    return out;
}

json::value seconds_or_null(const std::optional<model::Seconds>& s) {
    return s ? json::value(s->count()) : json::value(nullptr);
}

}  // namespace

json::object parse_object(std::string_view body) {
    json::error_code ec;
    json::parse_options options;
    options.max_depth = 16;
    auto v = json::parse(json::string_view(body.data(), body.size()), ec, {}, options);
    if (ec) throw DecodeError("body: not JSON");
    if (!v.is_object()) throw DecodeError("body: not a JSON object");
    return std::move(v.get_object());
}

// "run-" and digits, as the platform makes them; the digits also keep keys of the state service clean.
bool valid_uid(std::string_view uid) {
    constexpr std::string_view prefix = "run-";
    if (!uid.starts_with(prefix) || uid.size() <= prefix.size() || uid.size() > 64) return false;
    for (char c : uid.substr(prefix.size()))
        if (!((c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '-')) return false;
    return true;
}

model::JobSpec parse_submission(const json::object& o) {
    model::JobSpec s;
    s.uid = text(o, "uid");
    if (!valid_uid(s.uid)) bad("uid", "malformed");
    s.job_class = text(o, "jobclass");
    s.team = text(o, "owner");
    s.kind = word(o, "shape", kinds);
    s.priority = word(o, "rank", priorities);
    const auto tasks = count(o, "shards");
    if (tasks < 1 || tasks > max_tasks) bad("shards", "must be 1 to 100000");
    s.tasks = static_cast<std::uint32_t>(tasks);
    s.need = {amount(o, "cores"), amount(o, "accelerators"), amount(o, "mem_gb")};
    s.image = text(o, "bundle");
    s.image_gb = amount(o, "image_gb");
    if (find(o, "hosttypes")) {
        const auto& types = list(o, "hosttypes");
        if (types.empty()) bad("hosttypes", "must be null or name a type");
        s.types.emplace();
        for (const auto& t : types) {
            if (!t.is_string() || t.get_string().empty() || t.get_string().size() > max_name)
                bad("hosttypes", "must hold names of types");
            s.types->emplace_back(t.get_string());
        }
    }
    s.zone = optional_text(o, "hall");
    // Only what may be null may be omitted.
    s.one_zone = flag(o, "one_zone");
    s.spread = flag(o, "scatter");
    s.spot = flag(o, "loaners");
    s.estimated_runtime = model::Seconds(amount(o, "guess_s"));
    s.checkpoint_interval = model::Seconds(amount(o, "snapshot_s"));
    s.checkpoint_duration = model::Seconds(amount(o, "flush_s"));
    if (find(o, "due_s")) s.deadline = model::Seconds(amount(o, "due_s"));
    if (find(o, "prereqs"))
        for (const auto& v : list(o, "prereqs")) {
            if (!v.is_string() || !valid_uid(std::string_view(v.get_string())))
                bad("prereqs", "must hold names of jobs");
            s.dependencies.emplace_back(v.get_string());
        }
    // Whoever is named twice is needed once.
    std::sort(s.dependencies.begin(), s.dependencies.end());
    s.dependencies.erase(std::unique(s.dependencies.begin(), s.dependencies.end()), s.dependencies.end());
    return s;
}

std::string submission_response(std::string_view uid, std::string_view status) {
    return json::serialize(json::object{{"uid", uid}, {"status", status}});
}

std::string poll_response(std::string_view uid, std::string_view status, std::uint32_t done, std::uint32_t running) {
    return json::serialize(json::object{{"uid", uid}, {"status", status}, {"done", done}, {"running", running}});
}

std::string error_body(std::string_view message) { return json::serialize(json::object{{"error", message}}); }

json::object spec_to_record(const model::JobSpec& s) {
    json::object o{{"uid", s.uid},
                   {"jobclass", s.job_class},
                   {"owner", s.team},
                   {"shape", name_of(kinds, s.kind)},
                   {"rank", name_of(priorities, s.priority)},
                   {"shards", s.tasks},
                   {"cores", s.need.cpus},
                   {"accelerators", s.need.gpus},
                   {"mem_gb", s.need.memory_gb},
                   {"bundle", s.image},
                   {"image_gb", s.image_gb},
                   {"one_zone", s.one_zone},
                   {"scatter", s.spread},
                   {"loaners", s.spot},
                   {"guess_s", s.estimated_runtime.count()},
                   {"snapshot_s", s.checkpoint_interval.count()},
                   {"flush_s", s.checkpoint_duration.count()},
                   {"at", s.accepted_ms}};
    if (s.types) o["hosttypes"] = json::value_from(*s.types);
    if (s.zone) o["hall"] = *s.zone;
    if (!s.dependencies.empty()) o["prereqs"] = json::value_from(s.dependencies);
    if (s.deadline) o["due_s"] = seconds_or_null(s.deadline);
    return o;
}

model::JobSpec spec_from_record(const json::object& record) {
    auto s = parse_submission(record);
    if (find(record, "at")) s.accepted_ms = static_cast<std::int64_t>(count(record, "at"));
    return s;
}

model::JobSize size_from_record(const json::object& record) {
    const auto* spec = find(record, "spec");
    const auto& o = spec ? as_object(*spec, "spec") : record;
    return {word(o, "shape", kinds), static_cast<std::uint32_t>(count(o, "shards"))};
}

void size_to_record(const model::JobSize& size, json::object& record) {
    record["shape"] = name_of(kinds, size.kind);
    record["shards"] = size.tasks;
}

json::array ranges_to_record(const std::vector<model::TaskRange>& ranges) {
    json::array out;
    for (const auto& r : ranges) out.push_back({r.from, r.to, r.attempt, r.machine, r.done ? 1 : 0});
    return out;
}

std::vector<model::TaskRange> ranges_from_record(const json::array& record) {
    std::vector<model::TaskRange> out;
    for (const auto& v : record) {
        const auto& a = v.as_array();
        out.push_back({static_cast<std::uint32_t>(to_count(a.at(0), "range")),
                       static_cast<std::uint32_t>(to_count(a.at(1), "range")), to_count(a.at(2), "range"),
                       std::string(a.at(3).as_string()), to_count(a.at(4), "range") != 0});
    }
    return out;
}

std::string_view job_state_name(model::JobState state) { return name_of(job_states, state); }
model::JobState job_state_from(std::string_view name) {
    if (auto s = value_of(job_states, name)) return *s;
    throw DecodeError("state: unknown");
}

model::Heartbeat parse_heartbeat(std::string_view body) {
    const auto o = parse_object(body);
    model::Heartbeat r;
    r.machine = text(o, "host");
    r.addr = text(o, "endpoint");
    r.type = text(o, "hosttype");
    r.zone = text(o, "hall");
    r.spot = flag_or(o, "loaners", false);
    r.incarnation = count(o, "tenure");
    r.sequence = count(o, "tick");
    r.fencing_token = count(o, "baton");
    if (find(o, "warning_s")) r.termination_notice = model::Seconds(amount(o, "warning_s"));
    if (find(o, "shards"))
        for (const auto& v : list(o, "shards")) {
            const auto& t = as_object(v, "shards");
            model::TaskReport task;
            task.id = task_id(text(t, "shard"), "shard");
            task.attempt = count(t, "try");
            task.status = word(t, "status", statuses);
            // An unknown cause must not make the whole report unreadable: it counts as a failure.
            if (task.status == model::TaskStatus::exited)
                task.exit_reason = value_of(exit_reasons, optional_text(t, "cause").value_or("error"))
                                       .value_or(model::ExitReason::error);
            task.checkpointed = flag_or(t, "kept", false);
            r.tasks.push_back(std::move(task));
        }
    return r;
}

std::string heartbeat_response(std::uint64_t fencing_token, const std::vector<model::Command>& commands) {
    return json::serialize(json::object{{"baton", fencing_token}, {"orders", commands_json(commands)}});
}

std::string direct_commands(std::uint64_t fencing_token, std::uint64_t incarnation,
                            const std::vector<model::Command>& commands) {
    return json::serialize(
        json::object{{"baton", fencing_token}, {"tenure", incarnation}, {"orders", commands_json(commands)}});
}

std::string redirect_body(std::string_view leader) {
    if (leader.empty()) return "{}";
    return json::serialize(json::object{{"overseer", leader}});
}

std::vector<model::MachineType> parse_catalog(std::string_view body) {
    const auto o = parse_object(body);
    std::vector<model::MachineType> out;
    for (const auto& v : list(o, "hosttypes")) {
        const auto& t = as_object(v, "hosttypes");
        model::MachineType m;
        m.name = text(t, "name");
        m.capacity = {amount(t, "cores"), amount(t, "accelerators"), amount(t, "mem_gb")};
        m.cache_gb = find(t, "local_gb") ? amount(t, "local_gb") : 0;
        m.fetch_gb_per_s = find(t, "pull_gb_per_s") ? amount(t, "pull_gb_per_s") : 0;
        m.price = amount(t, "price");
        m.spot_price = find(t, "market_price") ? amount(t, "market_price") : m.price;
        m.boot = model::Seconds(find(t, "boot_s") ? amount(t, "boot_s") : 0);
        for (const auto& z : list(t, "halls"))
            if (z.is_string()) m.zones.emplace_back(z.get_string());
        out.push_back(std::move(m));
    }
    return out;
}

json::object catalog_record(const std::vector<model::MachineType>& types) {
    json::array list;
    for (const auto& t : types)
        list.push_back(json::object{{"name", t.name},
                                    {"cores", t.capacity.cpus},
                                    {"accelerators", t.capacity.gpus},
                                    {"mem_gb", t.capacity.memory_gb},
                                    {"local_gb", t.cache_gb},
                                    {"pull_gb_per_s", t.fetch_gb_per_s},
                                    {"price", t.price},
                                    {"market_price", t.spot_price},
                                    {"boot_s", t.boot.count()},
                                    {"halls", json::value_from(t.zones)}});
    return {{"hosttypes", std::move(list)}};
}

MachinePage parse_machines(std::string_view body) {
    const auto o = parse_object(body);
    MachinePage page;
    for (const auto& v : list(o, "hosts")) {
        const auto& h = as_object(v, "hosts");
        model::ListedMachine m;
        m.name = text(h, "uid");
        m.addr = optional_text(h, "endpoint").value_or("");
        m.type = text(h, "hosttype");
        m.zone = text(h, "hall");
        m.spot = flag_or(h, "loaners", false);
        m.status = word(h, "status", machine_statuses);
        m.age = model::Seconds(find(h, "held_s") ? amount(h, "held_s") : 0);
        page.machines.push_back(std::move(m));
    }
    page.more = flag_or(o, "truncated", false);
    return page;
}

std::vector<std::string> parse_launched(std::string_view body) {
    const auto o = parse_object(body);
    std::vector<std::string> out;
    for (const auto& v : list(o, "hosts"))
        if (v.is_string()) out.emplace_back(v.get_string());
    return out;
}

std::string launch_body(std::string_view request, std::string_view type, std::string_view zone, bool spot, int number) {
    return json::serialize(
        json::object{{"hire", request}, {"hosttype", type}, {"hall", zone}, {"loaners", spot}, {"number", number}});
}

std::string terminate_body(const std::vector<std::string>& names) {
    return json::serialize(json::object{{"hosts", json::value_from(names)}});
}

}  // namespace flintdale::wire
