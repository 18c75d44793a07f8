#include <gtest/gtest.h>

#include "support/scheduler_harness.hpp"

namespace flintdale::test {

namespace {
std::string settings_error(const std::string& text) {
    try {
        config::parse_settings(text, "file");
    } catch (const config::ConfigError& e) {
        return e.what();
    }
    return "";
}
std::string operator_settings_error(const std::string& text) {
    try {
        config::parse_operator_settings(text, "file.ini");
    } catch (const config::ConfigError& e) {
        return e.what();
    }
    return "";
}
}  // namespace

TEST(ConfigTest, NamesTheInvalidSetting) {
    EXPECT_NE(settings_error("member = ").find("file: line 1"), std::string::npos);
    EXPECT_NE(settings_error("").find("member"), std::string::npos);
    EXPECT_NE(settings_error("member=\"m\"\nlocation=\"z\"\nserve_on=\"nowhere\"").find("serve_on"), std::string::npos);
    EXPECT_NE(settings_error("member=\"m\"\nlocation=\"z\"\nserve_on=\"1.2.3.4:99999\"").find("serve_on"),
              std::string::npos);
    EXPECT_EQ(settings().worker_lease, Seconds(18));
}

TEST(ConfigTest, NextLimitsInheritWhatTheyDoNotNameAndAreChecked) {
    const std::string cluster = R"(
member = "one"
location = "a"
serve_on = "127.0.0.1:1"
peer_listen = "127.0.0.1:2"
[endpoints]
cloud = "127.0.0.1:3"
state = "127.0.0.1:4"
[cluster.workers]
report_s = 3.0
lease_s = 18.0
gang_wait_s = 30.0
gang_peer_s = 4.0
cancel_s = 48.0
[cluster.cloud]
rps = 6.0
list_lag_s = 3.0
[cluster.state]
rps = 100.0
write_rps = 30.0
value_kb = 16.0
txn_ops = 12
)";
    const auto with = [&](const std::string& next) { return cluster + "[cluster.state.next]\n" + next; };
    EXPECT_FALSE(config::parse_settings(cluster, "f").next_store_limits);
    const auto next = *config::parse_settings(with("value_kb = 2.0\ntxn_ops = 4\n"), "f").next_store_limits;
    EXPECT_EQ(next.value_bytes, 2048u);
    EXPECT_EQ(next.txn_ops, 4u);
    EXPECT_EQ(next.rps, 100.0);
    EXPECT_EQ(next.write_rps, 30.0);
    EXPECT_NE(settings_error(with("txn_ops = 0")).find("cluster.state.next.txn_ops"), std::string::npos);
    EXPECT_NE(settings_error(with("write_rps = \"few\"")).find("cluster.state.next.write_rps"), std::string::npos);
    EXPECT_NE(settings_error(cluster + "next = 3\n").find("cluster.state.next"), std::string::npos);
}

TEST(ConfigTest, ChecksOperatorSettings) {
    EXPECT_EQ(
        config::parse_operator_settings("[placement]\nwindow_s = 2.5\n[groups]\ntrain = g8 g4\n", "f").batching_window,
        Seconds(2.5));
    EXPECT_EQ(config::parse_operator_settings("[groups]\ntrain = g8 g4\n", "f").machine_type_groups.at("train").size(),
              2u);
    EXPECT_NE(operator_settings_error("[placement]\nwindow = 3\n").find("placement.window: unknown"),
              std::string::npos);
    EXPECT_NE(operator_settings_error("[placement]\nwindow_s = soon\n").find("expected a number"), std::string::npos);
    EXPECT_NE(operator_settings_error("[placement]\nwindow_s = -1\n").find("file.ini: placement.window_s"),
              std::string::npos);
    EXPECT_NE(operator_settings_error("window_s = 3\n").find("[section]"), std::string::npos);
}

}  // namespace flintdale::test
