// Determines which record format every controller of the cluster can read, and which quota table applies. Each
// controller writes its format and its quota table to a key of its own in the state service. The key persists when the
// controller stops. So once all keys show a format, every controller can read it, also one that is down or cut off. A
// missing key is never taken as consent.
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
    // `quota_changed` receives the table that applies now. While the controllers' recorded tables differ, that is the
    // strictest combination of all.
    Members(state::Store& store, const config::Settings& settings, state::RecordFormat& record_format,
            std::function<void(const quota::Table&)> quota_changed = {});

    // Writes this controller's key, then follows the keys of all controllers. Never returns.
    awaitable<void> run();
    // Writes this controller's key again if it was lost. Retries until the key is in place.
    awaitable<void> restore_enrollment();
    // Whether this controller's own key has been written.
    bool enrolled() const { return enrolled_; }

  private:
    // Makes one attempt. Returns whether the key is in place.
    awaitable<bool> enroll();
    awaitable<void> enroll_with_retries();
    // Reads the keys. Returns whether all controllers have one and read the newest format.
    awaitable<bool> all_read_newest_format();
    std::uint64_t common_format(const std::vector<state::KeyValue>& members) const;
    void update_quota_table(const std::vector<state::KeyValue>& members);
    // Waits until a key changes or the watch fails; for one watch at most while the newest format is not in use.
    awaitable<void> wait_for_change(bool format_in_use);

    state::Store& store_;
    state::RecordFormat& record_format_;
    std::function<void(const quota::Table&)> quota_changed_;
    quota::Table own_table_, table_;
    std::string member_;
    std::size_t controller_count_;
    std::vector<std::string> names_;  // of all controllers that the settings name
    std::uint64_t revision_ = 0;      // of the last read or watch; 0 if the read failed
    bool enrolled_ = false;
};

}  // namespace flintdale::election
