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

JobClass job_class(const Table& t, const std::string& where) {
    JobClass c;
    c.like.job_class = t.text("class");
    c.like.team = t.text("team");
    c.like.kind = one_of(kinds, t.text("shape"), where + ".shape");
    c.like.priority = one_of(priorities, t.text("rank", "normal"), where + ".rank");
    c.like.need = {t.number("cpus", 1), t.number("gpus", 0), t.number("memory_gb", 1)};
    c.like.image = t.text("image", c.like.job_class);
    c.like.image_gb = t.number("image_gb", 1);
    c.like.one_zone = t.flag("one_zone");
    c.like.spread = t.flag("spread");
    c.like.spot = t.flag("spot");
    c.like.checkpoint_interval = Seconds(t.number("checkpoint_s", 0));
    c.like.checkpoint_duration = Seconds(t.number("save_s", 0));
    c.initial = static_cast<int>(t.number("initial", 0));
    c.per_minute = t.number("per_minute", 0);
    c.tasks_from = static_cast<std::uint32_t>(t.number("tasks_from", 1));
    c.tasks_to = static_cast<std::uint32_t>(t.number("tasks_to", c.tasks_from));
    c.runs_s = t.number("runs_s", 30);
    c.like.estimated_runtime = Seconds(c.like.kind == model::JobKind::service ? 0 : c.runs_s);
    c.cancelled = t.number("cancelled", 0);
    c.cancel_from = t.number("cancel_from_s", 5);
    c.cancel_to = t.number("cancel_to_s", 60);
    return c;
}

}  // namespace

Scenario parse_scenario(const std::string& text, const std::string& name) {
    toml::table root;
    try {
        root = toml::parse(text, name);
    } catch (const toml::parse_error& e) {
        throw ConfigError(name + ": line " + std::to_string(e.source().begin.line) + ": " +
                          std::string(e.description()));
    }
    Scenario s;
    s.name = name;
    s.cluster = text;
    const auto* world = root["world"].as_table();
    if (!world) throw ConfigError(name + ": world: expected a table");
    const Table w(*world, name + ": world");
    s.members = w.texts("members");
    s.member_zones = w.texts("member_zones");
    if (s.members.empty() || s.members.size() != s.member_zones.size())
        throw ConfigError(name + ": world.member_zones: expected one for each of world.members");
    s.length = Seconds(w.number("length_s", 300));
    s.capacity = static_cast<std::size_t>(w.number("capacity", 0));
    s.warm = static_cast<std::size_t>(w.number("warm", 0));
    s.late = w.number("late", 0);
    s.slow = w.number("slow", 0);
    s.slowest = Seconds(w.number("slowest_s", 1));
    if (const auto* restart = (*world)["restart_s"].as_array()) {
        if (restart->size() != 2) throw ConfigError(name + ": world.restart_s: expected a number, or two");
        s.restart_from = (*restart)[0].value_or(0.0);
        s.restart_to = (*restart)[1].value_or(0.0);
    } else if (world->contains("restart_s")) {
        s.restart_from = s.restart_to = w.number("restart_s");
    }
    if (s.restart_from < 0 || s.restart_to < s.restart_from)
        throw ConfigError(name + ": world.restart_s: expected seconds from 0 up, the lower first");
    s.drawn = w.number("drawn", 0);
    s.draws_losses = w.flag("draws_losses");
    s.known_jobs = w.number("known_jobs", s.known_jobs);
    s.direct_share = w.number("direct_share", s.direct_share);
    s.pairs = static_cast<std::size_t>(w.number("pairs", 0));
    const Table top(root, name + ": ");
    top.each("machines", [&](const Table& t) {
        model::MachineType m;
        m.name = t.text("type");
        m.capacity = {t.number("cpus"), t.number("gpus", 0), t.number("memory_gb")};
        m.cache_gb = t.number("cache_gb", 100);
        m.fetch_gb_per_s = t.number("fetch_gb_per_s", 0.5);
        m.price = t.number("price", 1);
        m.spot_price = t.number("spot_price", m.price / 2);
        m.boot = Seconds(t.number("boot_s", 20));
        m.zones = t.texts("zones");
        s.types.push_back(std::move(m));
    });
    if (s.types.empty()) throw ConfigError(name + ": machines: expected at least one type");
    top.each("jobs", [&](const Table& t) { s.jobs.push_back(job_class(t, name + ": jobs")); });
    top.each("troubles", [&](const Table& t) {
        Fault trouble{t.text("kind"),
                      Seconds(t.number("at_s")),
                      Seconds(t.number("lasts_s", 0)),
                      t.number("share", 1),
                      t.text("node", "leader"),
                      t.text("zone", ""),
                      t.text("prefix", ""),
                      t.number("seconds", 0),
                      t.number("times", 1),
                      t.number("every_s", 1),
                      Seconds(t.number("at_to_s", 0)),
                      Seconds(t.number("lasts_to_s", 0)),
                      t.number("chance", 1),
                      t.text("after", "")};
        const std::string steps[] = {"", "begun", "elected", "cancelled"};
        if (std::find(std::begin(steps), std::end(steps), trouble.after) == std::end(steps))
            throw ConfigError(name + ": troubles: unknown step \"" + trouble.after + "\"");
        if (!trouble.after.empty() && s.troubles.empty())
            throw ConfigError(name + ": troubles: the first one comes after nothing");
        s.troubles.push_back(std::move(trouble));
    });
    return s;
}

Scenario load_scenario(const std::string& path) {
    std::ifstream in(path);
    if (!in) throw ConfigError(path + ": cannot be read");
    std::ostringstream text;
    text << in.rdbuf();
    return parse_scenario(text.str(), path);
}

}  // namespace flintdale::simulator
