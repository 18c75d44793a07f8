#include "simulator/worker_protocol.hpp"

#include <algorithm>

namespace flintdale::simulator {

using model::ExitReason;
using model::TaskStatus;
namespace json = boost::json;

namespace {
const char* name_of(TaskStatus status) {
    constexpr const char* names[] = {"pulling", "waiting", "running", "saving", "ended"};
    return names[static_cast<std::size_t>(status)];
}

const char* name_of(ExitReason reason) {
    constexpr const char* names[] = {"error", "done", "halted", "peers",  "incomplete",
                                     "error", "full", "in_use", "no_such"};
    return names[static_cast<std::size_t>(reason)];
}

CommandVerb verb_of(const json::object& command) {
    const auto verb = command.at("verb").as_string();
    if (verb == "run") return CommandVerb::run;
    if (verb == "kill") return CommandVerb::stop;
    if (verb == "clear") return CommandVerb::clear;
    return CommandVerb::unknown;
}

json::object task_json(const TaskName& name, const MachineTask& task) {
    json::object out{{"shard", name.first + "/" + std::to_string(name.second)},
                     {"try", task.attempt},
                     {"status", name_of(task.status)}};
    if (task.exited()) out["cause"] = name_of(task.exit_reason);
    return out;
}
}  // namespace

std::string heartbeat_body(Machine& machine) {
    json::array tasks;
    for (const auto& [name, task] : machine.tasks) tasks.push_back(task_json(name, task));
    return json::serialize(json::object{{"host", machine.name},
                                        {"endpoint", machine.address},
                                        {"hosttype", machine.type->name},
                                        {"hall", machine.zone},
                                        {"loaners", machine.spot},
                                        {"tenure", machine.incarnation},
                                        {"tick", ++machine.sequence},
                                        {"baton", machine.fencing_token},
                                        {"warning_s", nullptr},
                                        {"shards", std::move(tasks)}});
}

WorkerCommand parse_command(const json::value& command) {
    const auto& fields = command.as_object();
    const std::string shard(fields.at("shard").as_string());
    const auto slash = shard.rfind('/');
    WorkerCommand out;
    out.task = {shard.substr(0, slash), static_cast<std::uint32_t>(std::stoul(shard.substr(slash + 1)))};
    out.attempt = fields.at("try").to_number<std::uint64_t>();
    out.verb = verb_of(fields);
    return out;
}

bool has_run_command(const json::array& commands) {
    return std::any_of(commands.begin(), commands.end(),
                       [](const json::value& command) { return verb_of(command.as_object()) == CommandVerb::run; });
}

}  // namespace flintdale::simulator
