#include "wire/worker_json.hpp"

#include "model/task.hpp"
#include "wire/json_fields.hpp"

namespace flintdale::wire {

namespace {

using namespace fields;

constexpr EnumNames<model::TaskStatus, 5> task_status_names{{{model::TaskStatus::fetching, "pulling"},
                                                             {model::TaskStatus::waiting, "waiting"},
                                                             {model::TaskStatus::running, "running"},
                                                             {model::TaskStatus::checkpointing, "saving"},
                                                             {model::TaskStatus::exited, "ended"}}};
constexpr EnumNames<model::ExitReason, 8> exit_reason_names{{{model::ExitReason::done, "done"},
                                                             {model::ExitReason::stopped, "halted"},
                                                             {model::ExitReason::gang_member_lost, "peers"},
                                                             {model::ExitReason::gang_incomplete, "incomplete"},
                                                             {model::ExitReason::error, "error"},
                                                             {model::ExitReason::insufficient_resources, "full"},
                                                             {model::ExitReason::conflicting_attempt, "in_use"},
                                                             {model::ExitReason::unknown_task, "no_such"}}};
constexpr EnumNames<model::CommandType, 3> command_type_names{
    {{model::CommandType::run, "run"}, {model::CommandType::kill, "kill"}, {model::CommandType::clear, "clear"}}};

constexpr std::size_t max_index_digits = 7;

// Format: UID/INDEX
model::TaskId parse_task_id(const std::string& name, std::string_view field) {
    const auto slash = name.rfind('/');
    if (slash == std::string::npos) fail(field, "malformed");
    const auto digits = std::string_view(name).substr(slash + 1);
    if (digits.empty() || digits.size() > max_index_digits) fail(field, "malformed");
    model::TaskId id{name.substr(0, slash), 0};
    for (const char digit : digits) {
        if (digit < '0' || digit > '9') fail(field, "malformed");
        id.index = id.index * 10 + static_cast<std::uint32_t>(digit - '0');
    }
    return id;
}

std::string task_name(const model::TaskId& id) { return id.uid + "/" + std::to_string(id.index); }

model::TaskReport parse_task(const json::object& body) {
    model::TaskReport task;
    task.id = parse_task_id(text(body, "shard"), "shard");
    task.attempt = count(body, "try");
    task.status = enumerator(body, "status", task_status_names);
    // An unknown cause must not invalidate the whole heartbeat.
    if (task.status == model::TaskStatus::exited)
        task.exit_reason = value_of(exit_reason_names, optional_text(body, "cause").value_or("error"))
                               .value_or(model::ExitReason::error);
    task.checkpointed = flag_or(body, "kept", false);
    return task;
}

json::array commands_json(const std::vector<model::Command>& commands) {
    json::array out;
    for (const auto& command : commands) {
        json::object object;
        object["verb"] = name_of(command_type_names, command.type);
        object["shard"] = task_name(command.id);
        object["try"] = command.attempt;
        if (command.type == model::CommandType::kill) object["wind_down_s"] = command.grace_period.count();
        out.push_back(std::move(object));
    }
    return out;
}

}  // namespace

model::Heartbeat parse_heartbeat(std::string_view body) {
    const auto object = parse_object(body);
    model::Heartbeat heartbeat;
    heartbeat.machine = text(object, "host");
    heartbeat.addr = text(object, "endpoint");
    heartbeat.type = text(object, "hosttype");
    heartbeat.zone = text(object, "hall");
    heartbeat.spot = flag_or(object, "loaners", false);
    heartbeat.incarnation = count(object, "tenure");
    heartbeat.sequence = count(object, "tick");
    heartbeat.fencing_token = count(object, "baton");
    if (find(object, "warning_s")) heartbeat.termination_notice = model::Seconds(amount(object, "warning_s"));
    if (!find(object, "shards")) return heartbeat;
    for (const auto& task : list(object, "shards")) heartbeat.tasks.push_back(parse_task(as_object(task, "shards")));
    return heartbeat;
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

}  // namespace flintdale::wire
