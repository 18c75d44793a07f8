// Which record format every controller of the cluster can read, and which quota table holds. Each controller puts a key
// of its own in the state service with both. A key stays when its controller ends. So what is known of a format once
// all keys are there holds for good, also for a controller that is down or cut off, and nothing is ever concluded from
// silence.
#pragma once
#include <functional>
#include <string>
#include <vector>

#include "quota/quota_accounting.hpp"
#include "state/record_format.hpp"
#include "state/store.hpp"

namespace flintdale::election {

using net::awaitable;

inline constexpr const char* members_prefix = "members/";

class Members {
  public:
    // `quota_changed` receives the table that holds now: while controllers with other tables are on record, the
    // strictest of all.
    Members(state::Store& store, const config::Settings& settings, state::RecordFormat& record_format,
            std::function<void(const quota::Table&)> quota_changed = {});

    // Puts this controller's key in place, and follows those of the others. Never ends.
    awaitable<void> run();
    // Puts this controller's key in place again, where it may have been lost.
    awaitable<void> restore_enrollment();
    // Whether this controller's own key is there.
    bool enrolled() const { return enrolled_; }

  private:
    // One attempt; true if the key is in place.
    awaitable<bool> enroll();
    awaitable<void> enroll_with_retries();
    // Reads the keys; true once all controllers are there and read the newest format.
    awaitable<bool> all_read_newest_format();
    std::uint64_t common_format(const std::vector<state::KeyValue>& members) const;
    void update_quota_table(const std::vector<state::KeyValue>& members);
    // Waits until a key changes, or the watch breaks off.
    awaitable<void> wait_for_change(bool format_in_use);

    state::Store& store_;
    state::RecordFormat& record_format_;
    std::function<void(const quota::Table&)> quota_changed_;
    quota::Table own_table_, table_;
    std::string member_;
    std::size_t controller_count_;
    std::vector<std::string> names_;  // of the controllers in the settings
    std::uint64_t revision_ = 0;      // of the last read; 0 if it failed
    bool enrolled_ = false;
};

}  // namespace flintdale::election
