// The record format that this controller may write to the store now, and the size limits that records keep to.
#pragma once
#include <boost/json.hpp>

#include "config/settings.hpp"

namespace flintdale::state {

// The format versions of what controllers keep in the store and send each other. A controller reads all of them. It
// writes a new one only once every controller of the cluster is known to read it: see election::Members and
// docs/operations.md.
//   1: a work record has 256 tasks; a submission has no dependencies
//   2: smaller work records take precedence over larger ones for their tasks; submissions with dependencies, and
//      fragmented ones; outcomes without the submission
inline constexpr std::uint64_t oldest_format = 1, newest_format = 2;

class RecordFormat {
  public:
    explicit RecordFormat(const config::Settings& settings)
        : limits_(settings.store_limits), next_limits_(settings.next_store_limits.value_or(settings.store_limits)) {}

    // Whether the newest format may be written: every controller reads it.
    bool newest() const { return format_ == newest_format; }
    std::uint64_t format() const { return format_; }

    // The limits to keep to now.
    const config::StoreLimits& limits() const { return limits_; }
    // The limits that the store will have some time after the upgrade.
    const config::StoreLimits& next_limits() const { return next_limits_; }

    // Every controller is known to read this format. If it is the newest, the limits to come are kept to from now on,
    // for they come without notice.
    void set_supported_format(std::uint64_t format) {
        if (format < newest_format) return;
        format_ = newest_format;
        limits_ = next_limits_;
    }

    // The store has rejected a transaction for good: its largest value in bytes, and its number of changes and
    // conditions. If the present limits allow it and those to come do not, those to come are in force, and so every
    // controller has its new version. True if that switches to the newest format.
    bool handle_rejection(std::size_t largest_value, std::size_t changes, std::size_t conditions) {
        const auto exceeds = [&](const config::StoreLimits& limits) {
            return largest_value > limits.value_bytes || changes > limits.txn_ops ||
                   conditions > limits.txn_ops * conditions_per_change;
        };
        if (newest() || exceeds(limits_) || !exceeds(next_limits_)) return false;
        set_supported_format(newest_format);
        return true;
    }

    // The number of conditions that a transaction on jobs may have beside the one on the generation marker.
    std::size_t max_conditions() const { return limits_.txn_ops * conditions_per_change - 1; }

    // Whether the store takes such a value, with a margin: it may store a value with spaces and longer numbers.
    bool fits(const boost::json::value& value) const { return size_of(value) <= max_value_bytes(); }
    // The largest size that fits, in bytes.
    std::size_t max_value_bytes() const { return limits_.value_bytes * 17 / 20; }
    // The size of a value as it is sent, in bytes.
    static std::size_t size_of(const boost::json::value& value) { return boost::json::serialize(value).size(); }

  private:
    static constexpr std::size_t conditions_per_change = 4;  // that the store allows a transaction

    std::uint64_t format_ = oldest_format;
    config::StoreLimits limits_, next_limits_;
};

}  // namespace flintdale::state
