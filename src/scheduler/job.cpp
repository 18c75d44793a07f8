#include "scheduler/job.hpp"

#include <charconv>

#include "model/job.hpp"
#include "model/task.hpp"

namespace flintdale::scheduler {

std::string outcome_key(const std::string& uid) { return over_prefix + uid; }

bool is_cancelled(const state::KeyValue& item) {
    if (!item.key.starts_with(over_prefix) || !item.value.is_object()) return false;
    const auto* state = item.value.get_object().if_contains("state");
    return state && state->is_string() && state->get_string() == wire::job_state_name(model::JobState::cancelled);
}

std::string work_key(const std::string& uid, std::uint32_t chunk, std::uint32_t tasks_per_record) {
    if (tasks_per_record != chunk_tasks)
        return work_prefix + uid + "/p" + std::to_string(tasks_per_record) + "." + std::to_string(chunk);
    return work_prefix + uid + (chunk ? "/" + std::to_string(chunk) : std::string());
}

std::string fragment_key(const std::string& uid, std::size_t fragment) {
    return work_prefix + uid + "/s" + std::to_string(fragment);
}

namespace {

constexpr std::size_t types_of_old = 40;  // that a submission may name in the oldest format

bool parse_number(std::string_view text, std::uint32_t& into) {
    const auto* end = text.data() + text.size();
    const auto [p, ec] = std::from_chars(text.data(), end, into);
    return ec == std::errc() && p == end;
}

}  // namespace

std::optional<WorkKey> parse_work_key(const std::string& key) {
    if (!key.starts_with(work_prefix)) return std::nullopt;
    const auto rest = std::string_view(key).substr(std::string_view(work_prefix).size());
    const auto slash = rest.find('/');
    WorkKey out;
    out.uid = rest.substr(0, slash);
    if (slash == std::string_view::npos) return out;
    auto tail = rest.substr(slash + 1);
    bool good = false;
    if (tail.starts_with('s')) {
        good = parse_number(tail.substr(1), out.fragment) && out.fragment > 0;
    } else if (tail.starts_with('p')) {
        const auto point = tail.find('.');
        good = point != std::string_view::npos && parse_number(tail.substr(1, point - 1), out.tasks_per_record) &&
               parse_number(tail.substr(point + 1), out.chunk) && out.tasks_per_record > 0 &&
               out.tasks_per_record < chunk_tasks;
    } else {
        good = parse_number(tail, out.chunk);
    }
    return good ? std::optional(out) : std::nullopt;
}

void Job::split_records(std::uint32_t tasks_each) {
    const auto old_tasks_per_record = tasks_per_record;
    const auto old = std::move(chunks);
    for (std::uint32_t c = 0; c < old.size(); ++c)
        if (old[c].mod_revision)
            superseded.push_back({work_key(spec.uid, c, old_tasks_per_record), old[c].mod_revision});
    tasks_per_record = tasks_each;
    chunks.assign((spec.tasks + tasks_per_record - 1) / tasks_per_record, Chunk{});
    for (std::uint32_t i = 0; i < spec.tasks; ++i) {
        // What the larger record holds need not be written again.
        auto& chunk = chunks[chunk_of(i)];
        chunk.durable = old[i / old_tasks_per_record].durable;
        chunk.changed = std::max({chunk.changed, chunk.durable, tasks[i].generation});
    }
}

boost::json::object outcome_record(const state::RecordFormat& record_format, model::JobState state, std::int64_t at,
                                   const boost::json::object* spec, const model::JobSize& size) {
    boost::json::object o{{"state", wire::job_state_name(state)}};
    if (spec) o["spec"] = *spec;
    // The oldest format holds the whole submission, and nothing else is read there.
    if (!record_format.newest()) return o;
    if (at) o["at"] = at;
    wire::size_to_record(size, o);
    if (!record_format.fits(o)) o.erase("spec");
    return o;
}

boost::json::object first_work_record(const JobSpec& spec) {
    return {{"spec", wire::spec_to_record(spec)}, {"tasks", boost::json::array()}};
}

bool readable_by_all(const JobSpec& spec, const state::RecordFormat& record_format) {
    // A third of a value is left for the submission beside the ranges of its first tasks.
    return spec.dependencies.empty() && (!spec.types || spec.types->size() <= types_of_old) &&
           state::RecordFormat::size_of(wire::spec_to_record(spec)) <= record_format.limits().value_bytes / 3;
}

std::vector<state::Change> accepted_records(const JobSpec& spec, const state::RecordFormat& record_format) {
    std::vector<state::Change> out;
    auto whole = first_work_record(spec);
    if (!record_format.newest() || record_format.fits(whole)) {
        out.push_back({work_key(spec.uid, 0), std::move(whole), 0});
        return out;
    }
    const auto text = boost::json::serialize(whole.at("spec"));
    std::vector<state::Change> fragments;
    for (std::size_t at = 0; at < text.size();) {
        auto length = std::min(record_format.max_value_bytes(), text.size() - at);
        boost::json::object fragment;
        for (;;) {
            // Not in the middle of a character.
            while (at + length < text.size() && (static_cast<unsigned char>(text[at + length]) & 0xC0) == 0x80)
                --length;
            fragment["text"] = text.substr(at, length);
            const auto size = state::RecordFormat::size_of(fragment);
            if (size <= record_format.max_value_bytes()) break;
            length -= std::min(length - 1, (size - record_format.max_value_bytes() + 1) / 2 + 4);
        }
        at += length;
        fragments.push_back({fragment_key(spec.uid, fragments.size() + 1), std::move(fragment), 0});
    }
    if (fragments.size() + 1 > record_format.limits().txn_ops) return {};
    boost::json::object first{{"cut", fragments.size()}, {"tasks", boost::json::array()}};
    wire::size_to_record({spec.kind, spec.tasks}, first);
    out.push_back({work_key(spec.uid, 0), std::move(first), 0});
    for (auto& fragment : fragments) out.push_back(std::move(fragment));
    return out;
}

std::optional<JobSpec> spec_from_records(const boost::json::object& first,
                                         const std::map<std::uint32_t, std::string>& fragments) {
    const auto* cut = first.if_contains("cut");
    if (!cut) return wire::spec_from_record(first.at("spec").as_object());
    if (fragments.size() < cut->to_number<std::size_t>()) return std::nullopt;
    std::string text;
    for (const auto& [n, fragment] : fragments) text += fragment;
    return wire::spec_from_record(wire::parse_object(text));
}

boost::json::object work_record(const Job& job, std::uint32_t chunk) {
    std::vector<model::TaskRange> ranges;
    const std::uint32_t from = chunk * job.tasks_per_record;
    const std::uint32_t to = std::min<std::uint32_t>(from + job.tasks_per_record, job.spec.tasks);
    for (std::uint32_t i = from; i < to; ++i) {
        const auto& t = job.tasks[i];
        model::TaskRange r{i, i, t.attempt, t.state == Task::State::placed ? t.machine->name : "",
                           t.state == Task::State::done};
        if (!ranges.empty()) {
            auto& last = ranges.back();
            if (last.attempt == r.attempt && last.machine == r.machine && last.done == r.done) {
                last.to = i;
                continue;
            }
        }
        ranges.push_back(std::move(r));
    }
    boost::json::object o;
    if (chunk == 0 && job.tasks_per_record == chunk_tasks) o["spec"] = wire::spec_to_record(job.spec);
    o["tasks"] = wire::ranges_to_record(ranges);
    return o;
}

}  // namespace flintdale::scheduler
