// Which form every controller of the cluster can read. Each puts a key of its own in the state service that says what
// it reads; a key stays when its controller dies. So what is known of a form once all keys are there holds for good,
// for a controller that is down or cut off as well, and nothing is ever concluded from silence.
#pragma once
#include "quota/quota_accounting.hpp"
#include "state/record_format.hpp"
#include "state/store.hpp"

namespace flintdale::election {

using net::awaitable;

inline constexpr const char* members_prefix = "members/";

class Members {
  public:
    // `teams` is told the figures that hold now: while controllers with other tables are on record, the strictest of
    // all.
    Members(state::Store& store, const config::Settings& settings, state::RecordFormat& record_format,
            std::function<void(const quota::Table&)> teams = {});

    awaitable<void> run();
    // Puts this controller's key in place again, where it may have been lost.
    awaitable<void> restore_enrollment();
    // Whether this controller's own key is there.
    bool enrolled() const { return enrolled_; }

  private:
    awaitable<bool> enroll();
    // Counts the keys; true once all controllers are there.
    awaitable<bool> all_there();
    void settle_teams(const std::vector<state::KeyValue>& items);

    state::Store& store_;
    state::RecordFormat& record_format_;
    std::function<void(const quota::Table&)> teams_changed_;
    quota::Table own_teams_, teams_;
    std::string member_;
    std::size_t nodes_;
    std::vector<std::string> names_;  // of all controllers
    std::uint64_t revision_ = 0;
    bool enrolled_ = false;
};

}  // namespace flintdale::election
