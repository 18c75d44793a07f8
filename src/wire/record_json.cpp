#include "wire/record_json.hpp"

#include "wire/json_fields.hpp"
#include "wire/user_json.hpp"

namespace flintdale::wire {

namespace {

using namespace fields;

constexpr EnumNames<model::JobState, 3> job_state_names{
    {{model::JobState::open, "open"}, {model::JobState::done, "done"}, {model::JobState::cancelled, "aborted"}}};

// Format: [from, to, attempt, machine, done]
model::TaskRange parse_range(const json::array& range) {
    return {static_cast<std::uint32_t>(to_count(range.at(0), "range")),
            static_cast<std::uint32_t>(to_count(range.at(1), "range")), to_count(range.at(2), "range"),
            std::string(range.at(3).as_string()), to_count(range.at(4), "range") != 0};
}

}  // namespace

json::object spec_to_record(const model::JobSpec& spec) {
    json::object record{{"uid", spec.uid},
                        {"jobclass", spec.job_class},
                        {"owner", spec.team},
                        {"shape", name_of(job_kind_names, spec.kind)},
                        {"rank", name_of(priority_names, spec.priority)},
                        {"shards", spec.tasks},
                        {"cores", spec.need.cpus},
                        {"accelerators", spec.need.gpus},
                        {"mem_gb", spec.need.memory_gb},
                        {"bundle", spec.image},
                        {"image_gb", spec.image_gb},
                        {"one_zone", spec.one_zone},
                        {"scatter", spec.spread},
                        {"loaners", spec.spot},
                        {"guess_s", spec.estimated_runtime.count()},
                        {"snapshot_s", spec.checkpoint_interval.count()},
                        {"flush_s", spec.checkpoint_duration.count()},
                        {"at", spec.accepted_ms}};
    if (spec.types) record["hosttypes"] = json::value_from(*spec.types);
    if (spec.zone) record["hall"] = *spec.zone;
    if (!spec.dependencies.empty()) record["prereqs"] = json::value_from(spec.dependencies);
    if (spec.deadline) record["due_s"] = spec.deadline->count();
    return record;
}

model::JobSpec spec_from_record(const json::object& record) {
    auto spec = parse_submission(record);
    if (find(record, "at")) spec.accepted_ms = static_cast<std::int64_t>(count(record, "at"));
    return spec;
}

model::JobSize size_from_record(const json::object& record) {
    const auto* spec = find(record, "spec");
    const auto& object = spec ? as_object(*spec, "spec") : record;
    return {enumerator(object, "shape", job_kind_names), static_cast<std::uint32_t>(count(object, "shards"))};
}

void size_to_record(const model::JobSize& size, json::object& record) {
    record["shape"] = name_of(job_kind_names, size.kind);
    record["shards"] = size.tasks;
}

json::array ranges_to_record(const std::vector<model::TaskRange>& ranges) {
    json::array record;
    for (const auto& range : ranges)
        record.push_back({range.from, range.to, range.attempt, range.machine, range.done ? 1 : 0});
    return record;
}

std::vector<model::TaskRange> ranges_from_record(const json::array& record) {
    std::vector<model::TaskRange> ranges;
    for (const auto& range : record) ranges.push_back(parse_range(range.as_array()));
    return ranges;
}

std::string_view job_state_name(model::JobState state) { return name_of(job_state_names, state); }

model::JobState job_state_from(std::string_view name) {
    if (const auto state = value_of(job_state_names, name)) return *state;
    throw DecodeError("state: unknown");
}

}  // namespace flintdale::wire
