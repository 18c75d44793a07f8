// In which form this controller may write to the state service now, and within which limits.
#pragma once
#include <boost/json.hpp>

#include "config/settings.hpp"

namespace flintdale::state {

// The forms of what controllers keep in the state service and tell each other. A controller reads all of them. It
// writes a new one only once every controller of the cluster is known to read it: see election::Members and
// docs/operations.md.
//   1: a work record has 256 tasks; a submission has no prerequisites
//   2: smaller records overrule larger ones for their tasks; submissions with prerequisites, and cut into pieces;
//      outcomes without the submission
inline constexpr std::uint64_t oldest_format = 1, newest_format = 2;

class RecordFormat {
  public:
    explicit RecordFormat(const config::Settings& settings)
        : limits_(settings.store_limits), next_(settings.next_store_limits.value_or(settings.store_limits)) {}

    // Every controller reads the newest format.
    bool newest() const { return format_ == newest_format; }
    std::uint64_t format() const { return format_; }
    const config::StoreLimits& limits() const { return limits_; }
    // The limits that the service will have some time after the upgrade.
    const config::StoreLimits& next_limits() const { return next_; }

    // Proof has come that every controller reads that format. The limits to come are kept to from now on, for they come
    // without notice.
    void all_read(std::uint64_t format) {
        if (format < newest_format) return;
        format_ = newest_format;
        limits_ = next_;
    }

    // The service has refused a transaction of that size for good. If the present limits allow it and those to come do
    // not, they have come, and so every controller has its new version: true if that was news.
    bool refused(std::size_t largest_value, std::size_t changes, std::size_t conditions) {
        const auto exceeds = [&](const config::StoreLimits& l) {
            return largest_value > l.value_bytes || changes > l.txn_ops || conditions > l.txn_ops * 4;
        };
        if (newest() || exceeds(limits_) || !exceeds(next_)) return false;
        all_read(newest_format);
        return true;
    }

    // That a transaction on jobs may hold beside the one on the marker.
    std::size_t conditions() const { return limits_.txn_ops * 4 - 1; }

    // Whether such a value is taken. The service may print what it keeps with spaces and longer numbers.
    bool fits(const boost::json::value& value) const { return size_of(value) <= room(); }
    std::size_t room() const { return limits_.value_bytes * 17 / 20; }
    static std::size_t size_of(const boost::json::value& value) { return boost::json::serialize(value).size(); }

  private:
    std::uint64_t format_ = oldest_format;
    config::StoreLimits limits_, next_;
};

}  // namespace flintdale::state
