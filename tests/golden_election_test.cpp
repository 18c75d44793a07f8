// Who reads which format and who leads, as it is on record.
#include "election/members.hpp"
#include "support/golden_store.hpp"

namespace flintdale::test {

namespace {

// All that can happen without the passing of time.
void settle(net::asio::io_context& io) {
    io.restart();
    while (io.poll() > 0) {
    }
}

}  // namespace

// A controller's own key, with its teams' figures.
TEST(GoldenTest, AMembersKeyIsWrittenAndReadAsBefore) {
    net::asio::io_context io;
    ChangeLoggingStore store;
    const auto settings = golden_settings("hearth-0", "hearth-1");
    state::RecordFormat record_format(settings);
    election::Members members(store, settings, record_format);
    net::asio::co_spawn(io, members.run(), net::asio::detached);
    settle(io);
    expect_golden("members_key.txt", store.change_log);
    EXPECT_FALSE(record_format.newest());
}

// A key that is there is known for its own, and the other's stricter figures hold.
TEST(GoldenTest, MembersKeysOfAnEarlierVersionAreUnderstood) {
    net::asio::io_context io;
    ChangeLoggingStore store;
    auto settings = golden_settings("hearth-0", "hearth-1");
    state::Txn txn;
    txn.changes = changes_in("members_key.txt");
    auto other = txn.changes.at(0);
    other.key = election::members_prefix + settings.peers.at(0).member;
    txn.changes.push_back(other);
    store.keys.commit(txn);
    state::RecordFormat record_format(settings);
    election::Members members(store, settings, record_format);
    net::asio::co_spawn(io, members.run(), net::asio::detached);
    settle(io);
    EXPECT_EQ(store.change_log, "") << "its own key is as it would write it";
    EXPECT_TRUE(record_format.newest()) << "both read the newest format";
    settings.teams.at(0).cpus_limit = 200;
    settings.teams.at(0).cpus = 80;
    settings.member = "hearth-9";
    settings.peers.at(0).member = "hearth-0";
    std::string table;
    election::Members stricter(store, settings, record_format, [&](const quota::Table& now) {
        for (const auto& [name, figures] : now)
            for (const double figure :
                 {figures.limit.cpus, figures.limit.gpus, figures.guarantee.cpus, figures.guarantee.gpus})
                table += name + " " + std::to_string(figure) + "\n";
    });
    net::asio::co_spawn(io, stricter.run(), net::asio::detached);
    settle(io);
    expect_golden("members_strictest.txt", table);
}

// The claim and the term as whoever wins them writes them, and the next term after one on record.
TEST(GoldenTest, ClaimAndTermAreWrittenAndReadAsBefore) {
    ChangeLoggingStore store;
    for (const std::int64_t time_of_day : {std::int64_t(1'700'000'000'123), std::int64_t(1)}) {
        net::asio::io_context io;
        election::Elector::Events events;
        election::Term won;
        events.elected = [&](election::Term term) { won = term; };
        events.stepped_down = [] {};
        election::Elector elector(io.get_executor(), store, "hearth-0", model::Seconds(2.5), events,
                                  [time_of_day] { return time_of_day; });
        net::asio::co_spawn(io, elector.run(), net::asio::detached);
        settle(io);
        EXPECT_TRUE(elector.leading());
        EXPECT_EQ(won.number, time_of_day == 1 ? 1'700'000'000'124u : 1'700'000'000'123u);
    }
    expect_golden("claim_and_term.txt", store.change_log);
}

// A claim of another that is on record is respected, and its holder and term are known.
TEST(GoldenTest, AnothersClaimIsUnderstood) {
    net::asio::io_context io;
    ChangeLoggingStore store;
    state::Txn txn;
    txn.changes = changes_in("claim_and_term.txt");
    txn.changes.resize(2);
    store.keys.commit(txn);
    election::Elector::Events events;
    events.elected = [](election::Term) {};
    events.stepped_down = [] {};
    election::Elector elector(io.get_executor(), store, "hearth-1", model::Seconds(2.5), events);
    net::asio::co_spawn(io, elector.run(), net::asio::detached);
    settle(io);
    EXPECT_FALSE(elector.leading());
    EXPECT_EQ(elector.leader(), "hearth-0");
    EXPECT_EQ(elector.term(), 1'700'000'000'123u);
    EXPECT_EQ(store.change_log, "");
}

}  // namespace flintdale::test
