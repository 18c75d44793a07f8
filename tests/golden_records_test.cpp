// Records of jobs and of machines in the state service, and snapshots: their bytes stay what they were.
#include <filesystem>
#include <fstream>

#include "recovery/snapshot_file.hpp"
#include "scheduler/handover_hints.hpp"
#include "scheduler/job.hpp"
#include "support/golden_support.hpp"
#include "support/scheduler_harness.hpp"
#include "wire/archive.hpp"
#include "wire/machine_hints.hpp"

namespace flintdale::test {

namespace {

std::string print(const boost::json::object& object) { return boost::json::serialize(object); }

// In which everybody reads the newest format and values are short.
state::RecordFormat newest_form(const config::Settings& settings) {
    state::RecordFormat record_format(settings);
    record_format.set_supported_format(state::newest_format);
    return record_format;
}

void expect_first_record(const std::string& name, const model::JobSpec& spec) {
    expect_golden_line(name, print(scheduler::first_work_record(spec)));
    const auto read = scheduler::spec_from_records(golden_object(name), {});
    ASSERT_TRUE(read);
    expect_golden_line(name, print(scheduler::first_work_record(*read)));
}

// 600 tasks: done, on two machines, lost again, and some never placed.
scheduler::Job long_job(scheduler::Machine& first, scheduler::Machine& second) {
    scheduler::Job job;
    job.spec = bare_submission();
    job.spec.kind = model::JobKind::array;
    job.spec.tasks = 600;
    job.tasks.resize(600);
    job.chunks.assign(3, scheduler::Chunk());
    for (std::uint32_t i = 0; i < 590; ++i) {
        auto& task = job.tasks[i];
        task.attempt = 1 + i / 100;
        task.state = i < 90 ? scheduler::Task::State::done : scheduler::Task::State::placed;
        if (i % 100 == 99) task.state = scheduler::Task::State::waiting;
        if (task.state == scheduler::Task::State::placed) task.machine = i < 300 ? &first : &second;
    }
    return job;
}

std::string all_work(const scheduler::Job& job) {
    std::vector<state::Change> out;
    for (std::uint32_t chunk = 0; chunk < job.chunks.size(); ++chunk) {
        state::Change change;
        change.key = scheduler::work_key(job.spec.uid, chunk, job.tasks_per_record);
        change.value = scheduler::work_record(job, chunk);
        out.push_back(change);
    }
    return lines_of(out);
}

// Each golden record's ranges of tasks, read and written again.
std::string ranges_again(const std::string& name) {
    auto changes = changes_in(name);
    for (auto& change : changes) {
        auto& record = change.value->as_object();
        record["tasks"] = wire::ranges_to_record(wire::ranges_from_record(record.at("tasks").as_array()));
    }
    return lines_of(changes);
}

std::string outcomes_of(const state::RecordFormat& record_format) {
    std::string out;
    const auto spec = wire::spec_to_record(full_submission());
    for (const auto state : {model::JobState::done, model::JobState::cancelled})
        for (const auto at : {std::int64_t(0), std::int64_t(1'700'000'000'456)})
            for (const auto* kept : {&spec, static_cast<const boost::json::object*>(nullptr)}) {
                state::Change change;
                change.key = scheduler::outcome_key(full_submission().uid);
                model::JobSize size;
                size.kind = model::JobKind::gang;
                size.tasks = 16;
                change.value = scheduler::outcome_record(record_format, state, at, kept, size);
                out += line_of(change);
            }
    return out;
}

// What is read of an outcome: whether it is a cancellation, the state, and the size where it is told.
std::string outcomes_read(const std::string& name) {
    std::string out;
    for (const auto& change : changes_in(name)) {
        const state::KeyValue item{change.key, *change.value, 1};
        const auto& record = change.value->as_object();
        out += scheduler::is_cancelled(item) ? "a cancellation, " : "no cancellation, ";
        out += std::to_string(static_cast<int>(wire::job_state_from(std::string(record.at("state").as_string()))));
        try {
            const auto size = wire::size_from_record(record);
            out += ", " + std::to_string(static_cast<int>(size.kind)) + ", " + std::to_string(size.tasks) + "\n";
        } catch (const wire::DecodeError& complaint) {
            out += ", no size\n";
        }
    }
    return out;
}

std::vector<wire::ArchivedRecord> archived_records() {
    std::vector<wire::ArchivedRecord> out;
    for (const auto& line : lines_of(golden("work_in_chunks_of_256.txt"))) {
        wire::ArchivedRecord record;
        record.key = change_of(line).key;
        record.mod_revision = 7'000'000'000 + out.size();
        record.text = line.substr(line.find(' ') + 1);
        out.push_back(record);
    }
    return out;
}

recovery::ReplicaContents remembered() {
    recovery::ReplicaContents source;
    source.generation = 3;
    source.id = "hearth-0-1700000000123";
    source.revision = 7'000'000'100;
    source.complete = true;
    for (const auto& record : archived_records()) {
        recovery::Record kept;
        kept.mod_revision = record.mod_revision;
        kept.text = record.text;
        source.records[record.key] = kept;
    }
    return source;
}

std::vector<wire::MachineHint> machine_notes() {
    std::vector<wire::MachineHint> notes(3);
    notes[0].name = "n-000001";
    notes[0].images = {{"img-07", 6.25}, {"img-1", 0.5}};
    notes[1].name = "n-000002";
    notes[1].quarantined = true;
    notes[2].name = "n-000003";
    notes[2].images = {{"img-1", 0.5}};
    return notes;
}

std::vector<model::MachineType> machine_types() {
    std::vector<model::MachineType> types(2);
    types[0].name = "g8";
    types[0].capacity.cpus = 96;
    types[0].capacity.gpus = 8;
    types[0].capacity.memory_gb = 768;
    types[0].cache_gb = 200;
    types[0].fetch_gb_per_s = 1.25;
    types[0].price = 12;
    types[0].spot_price = 4.5;
    types[0].boot = model::Seconds(45);
    types[0].zones = {"a", "b"};
    types[1].name = "c4";
    types[1].capacity.cpus = 4;
    types[1].price = 0.5;
    return types;
}

}  // namespace

// The first record of work, with all that a submission may hold, and with nothing that may be absent.
TEST(GoldenTest, FirstRecordOfASubmissionIsWrittenAndReadAsBefore) {
    expect_first_record("first_record_full.json", full_submission());
    expect_first_record("first_record_bare.json", bare_submission());
}

// Every shape and rank has its word on record.
TEST(GoldenTest, ShapesAndRanksAreWrittenAndReadAsBefore) {
    std::string out, again;
    for (const auto kind : {model::JobKind::array, model::JobKind::gang, model::JobKind::service})
        for (const auto priority :
             {model::Priority::idle, model::Priority::normal, model::Priority::high, model::Priority::critical}) {
            auto spec = bare_submission();
            spec.kind = kind;
            spec.priority = priority;
            out += print(wire::spec_to_record(spec)) + "\n";
        }
    expect_golden("shapes_and_ranks.txt", out);
    for (const auto& line : lines_of(golden("shapes_and_ranks.txt")))
        again += print(wire::spec_to_record(wire::spec_from_record(boost::json::parse(line).as_object()))) + "\n";
    expect_golden("shapes_and_ranks.txt", again);
}

// Records of 256 tasks each, and the smaller ones that overrule them where values must be shorter.
TEST(GoldenTest, WorkInLargeAndSmallRecordsIsWrittenAndReadAsBefore) {
    scheduler::Machine first, second;
    first.name = "n-000001";
    second.name = "n-000002";
    auto job = long_job(first, second);
    expect_golden("work_in_chunks_of_256.txt", all_work(job));
    expect_golden("work_in_chunks_of_256.txt", ranges_again("work_in_chunks_of_256.txt"));
    for (std::uint32_t chunk = 0; chunk < 3; ++chunk) job.chunks[chunk].mod_revision = 100 + chunk;
    job.split_records(128);
    expect_golden("work_in_pages_of_128.txt", all_work(job));
    expect_golden("work_in_pages_of_128.txt", ranges_again("work_in_pages_of_128.txt"));
    std::string superseded;
    for (const auto& record : job.superseded)
        superseded += record.key + " " + std::to_string(record.mod_revision) + "\n";
    expect_golden("work_overruled.txt", superseded);
}

// A new leader finds on record what the former one wrote, task by task, whatever the size of the records.
TEST(GoldenTest, ALeaderReadsRecordsOfWorkAsBefore) {
    for (const bool small : {false, true}) {
        SchedulerHarness world;
        for (const auto* name : {"work_in_chunks_of_256.txt", "work_in_pages_of_128.txt"}) {
            if (!small && name == std::string("work_in_pages_of_128.txt")) continue;
            state::Txn txn;
            txn.changes = changes_in(name);
            if (small && name == std::string("work_in_chunks_of_256.txt")) {
                // The larger records are older: of them only the submission still counts.
                for (auto& change : txn.changes) change.value->as_object()["tasks"] = boost::json::array();
            }
            world.keys.commit(txn);
        }
        world.elect();
        const auto* job = world.leader->job(bare_submission().uid);
        ASSERT_NE(job, nullptr);
        expect_golden(small ? "work_in_pages_of_128.txt" : "work_in_chunks_of_256.txt", all_work(*job));
    }
}

// A submission that is too long for one value, in fragments.
TEST(GoldenTest, ALongSubmissionIsCutAndPutTogetherAsBefore) {
    auto settings = golden_settings("hearth-0", "hearth-1");
    settings.store_limits.value_bytes = 1024;
    const auto record_format = newest_form(settings);
    auto spec = full_submission();
    spec.zone = "\u00e9\u00e9\"\\\u00e9";
    for (int i = 0; i < 200; ++i) spec.dependencies.push_back("run-" + std::to_string(1'000'000 + i));
    expect_golden("long_submission.txt", lines_of(scheduler::accepted_records(spec, record_format)));
    const auto changes = changes_in("long_submission.txt");
    std::map<std::uint32_t, std::string> fragments;
    for (const auto& change : changes) {
        const auto named = scheduler::parse_work_key(change.key);
        ASSERT_TRUE(named);
        if (named->fragment) fragments[named->fragment] = std::string(change.value->as_object().at("text").as_string());
    }
    const auto read = scheduler::spec_from_records(changes.at(0).value->as_object(), fragments);
    ASSERT_TRUE(read);
    expect_golden("long_submission.txt", lines_of(scheduler::accepted_records(*read, record_format)));
    const auto size = wire::size_from_record(changes.at(0).value->as_object());
    EXPECT_EQ(size.kind, model::JobKind::gang);
    EXPECT_EQ(size.tasks, 16u);
}

// Where old controllers may read it, a submission is in one record, however long.
TEST(GoldenTest, TheOldFormIsWrittenAsBefore) {
    auto settings = golden_settings("hearth-0", "hearth-1");
    settings.store_limits.value_bytes = 300;
    const state::RecordFormat record_format(settings);
    expect_golden("accepted_in_the_old_form.txt",
                  lines_of(scheduler::accepted_records(full_submission(), record_format)));
}

// The names of all kinds of keys, and what is read of each.
TEST(GoldenTest, KeysOfJobsAreNamedAndReadAsBefore) {
    const std::string uid = "run-000412";
    std::string out, read;
    for (const auto& key :
         {scheduler::work_key(uid, 0), scheduler::work_key(uid, 3), scheduler::work_key(uid, 0, 128),
          scheduler::work_key(uid, 11, 1), scheduler::fragment_key(uid, 1), scheduler::fragment_key(uid, 27),
          scheduler::outcome_key(uid), std::string(scheduler::jobs_prefix), std::string(scheduler::work_prefix),
          std::string(scheduler::over_prefix), scheduler::work_key(uid, 0) + "/s0",
          scheduler::work_key(uid, 0) + "/p256.1", scheduler::work_key(uid, 0) + "/x"})
        out += key + "\n";
    expect_golden("keys_of_jobs.txt", out);
    for (const auto& key : lines_of(golden("keys_of_jobs.txt"))) {
        const auto named = scheduler::parse_work_key(key);
        read += key + ": ";
        read += named
                    ? named->uid + " " + std::to_string(named->chunk) + " " + std::to_string(named->tasks_per_record) +
                          " " + std::to_string(named->fragment) + (named->first() ? " the first\n" : "\n")
                    : "no work\n";
    }
    expect_golden("keys_of_jobs_read.txt", read);
}

// Outcomes, with and without the submission and the time, in the old form and the new.
TEST(GoldenTest, OutcomesAreWrittenAndReadAsBefore) {
    auto settings = golden_settings("hearth-0", "hearth-1");
    expect_golden("outcomes_old_form.txt", outcomes_of(state::RecordFormat(settings)));
    expect_golden("outcomes_new_form.txt", outcomes_of(newest_form(settings)));
    settings.store_limits.value_bytes = 300;
    expect_golden("outcomes_short_values.txt", outcomes_of(newest_form(settings)));
    for (const std::string record_format : {"old_form", "new_form", "short_values"})
        expect_golden("outcomes_" + record_format + "_read.txt", outcomes_read("outcomes_" + record_format + ".txt"));
}

// Pages of remembered records, as bytes and as text.
TEST(GoldenTest, ArchivePagesAreWrittenAndReadAsBefore) {
    expect_golden("archive_page.bin", wire::encode_archive(archived_records()));
    expect_golden("archive_page.bin", wire::encode_archive(wire::decode_archive(golden("archive_page.bin"))));
    EXPECT_EQ(wire::decode_archive(golden("archive_page.bin")), archived_records());
    expect_golden("archive_page.txt", wire::encode_archive_text(archived_records()));
    EXPECT_EQ(wire::decode_archive_text(golden("archive_page.txt")), archived_records());
}

// The snapshot's name and bytes; and one that was left by the version before is read.
TEST(GoldenTest, SnapshotsAreWrittenAndReadAsBefore) {
    const auto directory = std::filesystem::path(::testing::TempDir()) / "golden_snapshot";
    std::filesystem::remove_all(directory);
    ASSERT_TRUE(recovery::SnapshotFile(directory).put(remembered()));
    std::string name, bytes;
    for (const auto& entry : std::filesystem::directory_iterator(directory)) {
        name += entry.path().filename().string();
        std::ifstream in(entry.path(), std::ios::binary);
        bytes.assign(std::istreambuf_iterator<char>(in), {});
    }
    expect_golden_line("snapshot_name.txt", name);
    expect_golden("snapshot.bin", bytes);
    std::filesystem::remove_all(directory);
    std::filesystem::create_directories(directory);
    std::ofstream(directory / lines_of(golden("snapshot_name.txt")).at(0), std::ios::binary) << golden("snapshot.bin");
    const auto read = recovery::SnapshotFile(directory).newest();
    std::filesystem::remove_all(directory);
    ASSERT_TRUE(read);
    const auto expected = remembered();
    EXPECT_EQ(read->generation, expected.generation);
    EXPECT_EQ(read->id, expected.id);
    EXPECT_EQ(read->revision, expected.revision);
    EXPECT_EQ(read->records, expected.records);
}

// Pages of hints for the next leader, their names, and which of them are written again.
TEST(GoldenTest, HintsAreWrittenAndReadAsBefore) {
    auto settings = golden_settings("hearth-0", "hearth-1");
    settings.store_limits.value_bytes = 160;
    const state::RecordFormat record_format(settings);
    scheduler::HandoverHints writer(record_format), reader(record_format);
    expect_golden("hints.txt", lines_of(writer.pages(machine_notes())));
    std::vector<state::KeyValue> items;
    for (const auto& change : changes_in("hints.txt")) items.push_back({change.key, *change.value, 1});
    EXPECT_EQ(reader.read(items), machine_notes());
    // The pages there are known: those that are no longer needed are removed.
    expect_golden("hints_removed.txt", lines_of(reader.pages({})));
}

// The machine types as they are kept.
TEST(GoldenTest, TheCatalogueIsWrittenAndReadAsBefore) {
    expect_golden_line("catalogue_record.json", print(wire::catalog_record(machine_types())));
    expect_golden_line("catalogue_record.json",
                       print(wire::catalog_record(wire::parse_catalog(golden("catalogue_record.json")))));
}

}  // namespace flintdale::test
