#include "wire/user_json.hpp"

#include <algorithm>

#include "wire/json_fields.hpp"

namespace flintdale::wire {

namespace {

using namespace fields;

constexpr std::uint32_t max_tasks = 100'000;
constexpr std::size_t max_type_name_bytes = 200;
constexpr std::string_view uid_prefix = "run-";
constexpr std::size_t max_uid_bytes = 64;

std::uint32_t parse_tasks(const json::object& body) {
    const auto tasks = count(body, "shards");
    if (tasks < 1 || tasks > max_tasks) fail("shards", "must be 1 to 100000");
    return static_cast<std::uint32_t>(tasks);
}

std::optional<std::vector<std::string>> parse_machine_types(const json::object& body) {
    if (!find(body, "hosttypes")) return std::nullopt;
    const auto& list = fields::list(body, "hosttypes");
    if (list.empty()) fail("hosttypes", "must be null or name a type");
    std::vector<std::string> types;
    for (const auto& type : list) {
        if (!type.is_string() || type.get_string().empty() || type.get_string().size() > max_type_name_bytes)
            fail("hosttypes", "must hold names of types");
        types.emplace_back(type.get_string());
    }
    return types;
}

std::vector<std::string> parse_dependencies(const json::object& body) {
    std::vector<std::string> uids;
    if (!find(body, "prereqs")) return uids;
    for (const auto& uid : list(body, "prereqs")) {
        if (!uid.is_string() || !valid_uid(std::string_view(uid.get_string())))
            fail("prereqs", "must hold names of jobs");
        uids.emplace_back(uid.get_string());
    }
    // Removes duplicates.
    std::sort(uids.begin(), uids.end());
    uids.erase(std::unique(uids.begin(), uids.end()), uids.end());
    return uids;
}

bool is_uid_character(char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '-';
}

}  // namespace

bool valid_uid(std::string_view uid) {
    if (!uid.starts_with(uid_prefix) || uid.size() <= uid_prefix.size() || uid.size() > max_uid_bytes) return false;
    const auto rest = uid.substr(uid_prefix.size());
    return std::all_of(rest.begin(), rest.end(), is_uid_character);
}

// Fields that may be null may also be omitted; all other fields are required.
model::JobSpec parse_submission(const json::object& body) {
    model::JobSpec spec;
    spec.uid = text(body, "uid");
    if (!valid_uid(spec.uid)) fail("uid", "malformed");
    spec.job_class = text(body, "jobclass");
    spec.team = text(body, "owner");
    spec.kind = enumerator(body, "shape", job_kind_names);
    spec.priority = enumerator(body, "rank", priority_names);
    spec.tasks = parse_tasks(body);
    spec.need = {amount(body, "cores"), amount(body, "accelerators"), amount(body, "mem_gb")};
    spec.image = text(body, "bundle");
    spec.image_gb = amount(body, "image_gb");
    spec.types = parse_machine_types(body);
    spec.zone = optional_text(body, "hall");
    spec.one_zone = flag(body, "one_zone");
    spec.spread = flag(body, "scatter");
    spec.spot = flag(body, "loaners");
    spec.estimated_runtime = model::Seconds(amount(body, "guess_s"));
    spec.checkpoint_interval = model::Seconds(amount(body, "snapshot_s"));
    spec.checkpoint_duration = model::Seconds(amount(body, "flush_s"));
    if (find(body, "due_s")) spec.deadline = model::Seconds(amount(body, "due_s"));
    spec.dependencies = parse_dependencies(body);
    return spec;
}

std::string submission_response(std::string_view uid, std::string_view status) {
    return json::serialize(json::object{{"uid", uid}, {"status", status}});
}

std::string poll_response(std::string_view uid, std::string_view status, std::uint32_t done, std::uint32_t running) {
    return json::serialize(json::object{{"uid", uid}, {"status", status}, {"done", done}, {"running", running}});
}

std::string error_body(std::string_view message) { return json::serialize(json::object{{"error", message}}); }

}  // namespace flintdale::wire
