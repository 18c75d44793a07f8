// The record format that this controller may currently write to the store, and the size limits for records.
#pragma once
#include <boost/json.hpp>

#include "config/settings.hpp"

namespace flintdale::state {

// Version numbers of the data that controllers store and send each other. A controller reads all versions. It writes a
// new one only once every controller of the cluster is known to read it: see election::Members and docs/operations.md.
//   1: a work record covers 256 tasks; submissions have no dependencies
//   2: a work record may cover fewer tasks, and overrides larger ones for those tasks; submissions may have
//      dependencies and may be fragmented; outcomes may omit the submission
inline constexpr std::uint64_t oldest_format = 1, newest_format = 2;

class RecordFormat {
  public:
    explicit RecordFormat(const config::Settings& settings)
        : limits_(settings.store_limits), next_limits_(settings.next_store_limits.value_or(settings.store_limits)) {}

    // Whether the newest format may be written, because every controller reads it.
    bool newest() const { return format_ == newest_format; }
    std::uint64_t format() const { return format_; }

    // The limits in force.
    const config::StoreLimits& limits() const { return limits_; }
    // The limits that the store will enforce at some time after the upgrade; equal to limits() if none are announced.
    const config::StoreLimits& next_limits() const { return next_limits_; }

    // Every controller is known to read this format. If it is the newest one, next_limits() apply from now on, because
    // the store enforces them without notice.
    void set_supported_format(std::uint64_t format) {
        if (format < newest_format) return;
        format_ = newest_format;
        limits_ = next_limits_;
    }

    // The store has permanently rejected a transaction with this largest value in bytes and this number of changes and
    // conditions. If limits() allow it and next_limits() do not, the store already enforces next_limits(), which
    // implies that every controller is upgraded. Returns true if this switches to the newest format.
    bool handle_rejection(std::size_t largest_value, std::size_t changes, std::size_t conditions) {
        const auto exceeds = [&](const config::StoreLimits& limits) {
            return largest_value > limits.value_bytes || changes > limits.txn_ops ||
                   conditions > limits.txn_ops * conditions_per_change;
        };
        if (newest() || exceeds(limits_) || !exceeds(next_limits_)) return false;
        set_supported_format(newest_format);
        return true;
    }

    // The number of conditions that a transaction on job records may have in addition to the one on the generation
    // marker.
    std::size_t max_conditions() const { return limits_.txn_ops * conditions_per_change - 1; }

    // Whether the store accepts a value of this size, with a margin: its own serialization may contain spaces and
    // longer numbers.
    bool fits(const boost::json::value& value) const { return size_of(value) <= max_value_bytes(); }
    // The largest value that fits(), in bytes as sent.
    std::size_t max_value_bytes() const { return limits_.value_bytes * 17 / 20; }
    // The serialized size of a value, in bytes.
    static std::size_t size_of(const boost::json::value& value) { return boost::json::serialize(value).size(); }

  private:
    static constexpr std::size_t conditions_per_change = 4;  // the store's limit on conditions is txn_ops times this

    std::uint64_t format_ = oldest_format;
    config::StoreLimits limits_, next_limits_;
};

}  // namespace flintdale::state
