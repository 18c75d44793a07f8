#include "simulator/scenario.hpp"

#include <toml++/toml.h>

#include <algorithm>
#include <fstream>
#include <map>
#include <sstream>

#include "model/job.hpp"
#include "model/machine.hpp"

namespace flintdale::simulator {

namespace {

using config::ConfigError;

class Table {
  public:
    Table(const toml::table& table, std::string where) : table_(table), where_(std::move(where)) {}
    double number(const char* key, std::optional<double> otherwise = {}) const {
        if (const auto v = table_[key].value<double>()) return *v;
        if (table_.contains(key) || !otherwise) throw ConfigError(where_ + "." + key + ": expected a number");
        return *otherwise;
    }
    bool flag(const char* key) const { return table_[key].value_or(false); }
    std::string text(const char* key, std::optional<std::string> otherwise = {}) const {
        if (const auto v = table_[key].value<std::string>()) return *v;
        if (table_.contains(key) || !otherwise) throw ConfigError(where_ + "." + key + ": expected text");
        return *otherwise;
    }
    std::vector<std::string> texts(const char* key) const {
        std::vector<std::string> out;
        const auto* list = table_[key].as_array();
        if (!list) throw ConfigError(where_ + "." + key + ": expected a list of texts");
        for (const auto& v : *list) out.push_back(v.value_or(std::string()));
        return out;
    }
    template <class Each>
    void each(const char* key, Each take) const {
        const auto* list = table_[key].as_array();
        if (!list) return;
        std::size_t n = 0;
        for (const auto& v : *list) {
            const auto where = where_ + key + "[" + std::to_string(n++) + "]";
            if (!v.as_table()) throw ConfigError(where + ": expected a table");
            take(Table(*v.as_table(), where));
        }
    }

  private:
    const toml::table& table_;
    std::string where_;
};

template <class T>
T one_of(const std::map<std::string, T>& names, const std::string& name, const std::string& what) {
    const auto it = names.find(name);
    if (it == names.end()) throw ConfigError(what + ": unknown \"" + name + "\"");
    return it->second;
}

const std::map<std::string, model::JobKind> kinds{
    {"array", model::JobKind::array}, {"gang", model::JobKind::gang}, {"service", model::JobKind::service}};
const std::map<std::string, model::Priority> priorities{{"idle", model::Priority::idle},
                                                        {"normal", model::Priority::normal},
                                                        {"high", model::Priority::high},
                                                        {"critical", model::Priority::critical}};

JobClass read_job_class(const Table& values, const std::string& where) {
    JobClass job_class;
    job_class.like.job_class = values.text("class");
    job_class.like.team = values.text("team");
    job_class.like.kind = one_of(kinds, values.text("shape"), where + ".shape");
    job_class.like.priority = one_of(priorities, values.text("rank", "normal"), where + ".rank");
    job_class.like.need = {values.number("cpus", 1), values.number("gpus", 0), values.number("memory_gb", 1)};
    job_class.like.image = values.text("image", job_class.like.job_class);
    job_class.like.image_gb = values.number("image_gb", 1);
    job_class.like.one_zone = values.flag("one_zone");
    job_class.like.spread = values.flag("spread");
    job_class.like.spot = values.flag("spot");
    job_class.like.checkpoint_interval = Seconds(values.number("checkpoint_s", 0));
    job_class.like.checkpoint_duration = Seconds(values.number("save_s", 0));
    job_class.initial = static_cast<int>(values.number("initial", 0));
    job_class.per_minute = values.number("per_minute", 0);
    job_class.tasks_from = static_cast<std::uint32_t>(values.number("tasks_from", 1));
    job_class.tasks_to = static_cast<std::uint32_t>(values.number("tasks_to", job_class.tasks_from));
    job_class.runs_s = values.number("runs_s", 30);
    job_class.like.estimated_runtime = Seconds(job_class.like.kind == model::JobKind::service ? 0 : job_class.runs_s);
    job_class.cancelled = values.number("cancelled", 0);
    job_class.cancel_from = values.number("cancel_from_s", 5);
    job_class.cancel_to = values.number("cancel_to_s", 60);
    return job_class;
}

toml::table parse_toml(const std::string& text, const std::string& name) {
    try {
        return toml::parse(text, name);
    } catch (const toml::parse_error& e) {
        throw ConfigError(name + ": line " + std::to_string(e.source().begin.line) + ": " +
                          std::string(e.description()));
    }
}

// `restart_s`: a number of seconds, or two between which the seed draws.
void read_restart_delay(Scenario& scenario, const toml::table& world, const Table& values) {
    const auto where = scenario.name + ": world.restart_s";
    if (const auto* range = world["restart_s"].as_array()) {
        if (range->size() != 2) throw ConfigError(where + ": expected a number, or two");
        scenario.restart_from = (*range)[0].value_or(0.0);
        scenario.restart_to = (*range)[1].value_or(0.0);
    } else if (world.contains("restart_s")) {
        scenario.restart_from = scenario.restart_to = values.number("restart_s");
    }
    if (scenario.restart_from < 0 || scenario.restart_to < scenario.restart_from)
        throw ConfigError(where + ": expected seconds from 0 up, the lower first");
}

void read_world(Scenario& scenario, const toml::table& world) {
    const Table values(world, scenario.name + ": world");
    scenario.members = values.texts("members");
    scenario.member_zones = values.texts("member_zones");
    if (scenario.members.empty() || scenario.members.size() != scenario.member_zones.size())
        throw ConfigError(scenario.name + ": world.member_zones: expected one for each of world.members");
    scenario.length = Seconds(values.number("length_s", 300));
    scenario.capacity = static_cast<std::size_t>(values.number("capacity", 0));
    scenario.warm = static_cast<std::size_t>(values.number("warm", 0));
    scenario.late = values.number("late", 0);
    scenario.slow = values.number("slow", 0);
    scenario.slowest = Seconds(values.number("slowest_s", 1));
    read_restart_delay(scenario, world, values);
    scenario.drawn = values.number("drawn", 0);
    scenario.draws_losses = values.flag("draws_losses");
    scenario.known_jobs = values.number("known_jobs", scenario.known_jobs);
    scenario.direct_share = values.number("direct_share", scenario.direct_share);
    scenario.pairs = static_cast<std::size_t>(values.number("pairs", 0));
}

model::MachineType read_machine_type(const Table& values) {
    model::MachineType type;
    type.name = values.text("type");
    type.capacity = {values.number("cpus"), values.number("gpus", 0), values.number("memory_gb")};
    type.cache_gb = values.number("cache_gb", 100);
    type.fetch_gb_per_s = values.number("fetch_gb_per_s", 0.5);
    type.price = values.number("price", 1);
    type.spot_price = values.number("spot_price", type.price / 2);
    type.boot = Seconds(values.number("boot_s", 20));
    type.zones = values.texts("zones");
    return type;
}

// `where`: the list of faults, for errors.
Fault read_fault(const Table& values, const std::string& where) {
    Fault fault;
    const auto kind = values.text("kind");
    fault.at = Seconds(values.number("at_s"));
    fault.duration = Seconds(values.number("lasts_s", 0));
    fault.share = values.number("share", 1);
    fault.node = values.text("node", "leader");
    fault.zone = values.text("zone", "");
    fault.prefix = values.text("prefix", "");
    fault.amount = Seconds(values.number("seconds", 0));
    fault.times = values.number("times", 1);
    fault.interval = Seconds(values.number("every_s", 1));
    fault.at_to = Seconds(values.number("at_to_s", 0));
    fault.duration_to = Seconds(values.number("lasts_to_s", 0));
    fault.chance = values.number("chance", 1);
    const auto step = values.text("after", "");

    const auto known_kind = fault_kind_from(kind);
    if (!known_kind) throw ConfigError(where + ": unknown kind \"" + kind + "\"");
    const auto trigger = fault_trigger_from(step);
    if (!trigger) throw ConfigError(where + ": unknown step \"" + step + "\"");
    fault.kind = *known_kind;
    fault.trigger = *trigger;
    return fault;
}

}  // namespace

Scenario parse_scenario(const std::string& text, const std::string& name) {
    const auto root = parse_toml(text, name);
    Scenario scenario;
    scenario.name = name;
    scenario.cluster = text;
    const auto* world = root["world"].as_table();
    if (!world) throw ConfigError(name + ": world: expected a table");
    read_world(scenario, *world);
    const Table top(root, name + ": ");
    top.each("machines", [&](const Table& values) { scenario.types.push_back(read_machine_type(values)); });
    if (scenario.types.empty()) throw ConfigError(name + ": machines: expected at least one type");
    top.each("jobs", [&](const Table& values) { scenario.jobs.push_back(read_job_class(values, name + ": jobs")); });
    top.each("troubles", [&](const Table& values) {
        const auto where = name + ": troubles";
        auto fault = read_fault(values, where);
        if (fault.trigger != FaultTrigger::none && scenario.faults.empty())
            throw ConfigError(where + ": the first one comes after nothing");
        scenario.faults.push_back(std::move(fault));
    });
    return scenario;
}

Scenario load_scenario(const std::string& path) {
    std::ifstream in(path);
    if (!in) throw ConfigError(path + ": cannot be read");
    std::ostringstream text;
    text << in.rdbuf();
    return parse_scenario(text.str(), path);
}

}  // namespace flintdale::simulator
