// Assigns small numeric ids to machine pools, zones and images. Placement compares ids instead of strings because it
// does so for every machine that it examines. Ids are assigned in the order of first use and never change.
#pragma once
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace flintdale::placement {

using Id = std::uint32_t;

constexpr Id unknown_zone = 0;  // of machines that have neither reported nor been listed yet
constexpr Id no_pool = static_cast<Id>(-1);

class Directory {
  public:
    struct Pool {
        std::string type, zone;
        bool spot = false;
        Id zone_id = 0;
    };

    Id image(const std::string& name) {
        const auto [it, is_new] = images_.try_emplace(name, static_cast<Id>(images_.size()));
        if (is_new) image_names_.push_back(&it->first);
        return it->second;
    }
    const std::string& image_name(Id image) const { return *image_names_.at(image); }
    Id zone(const std::string& name) { return id_of(zones_, name); }

    Id pool(const std::string& type, const std::string& zone_name, bool spot) {
        const auto [it, is_new] = pool_ids_.try_emplace({type, zone_name, spot}, static_cast<Id>(pools_.size()));
        if (is_new) pools_.push_back({type, zone_name, spot, zone(zone_name)});
        return it->second;
    }
    // All pools; the index is the pool's id.
    const std::vector<Pool>& pools() const { return pools_; }

  private:
    static Id id_of(std::map<std::string, Id>& ids, const std::string& name) {
        return ids.try_emplace(name, static_cast<Id>(ids.size())).first->second;
    }

    std::map<std::string, Id> images_, zones_{{"", unknown_zone}};
    std::vector<const std::string*> image_names_;
    std::map<std::tuple<std::string, std::string, bool>, Id> pool_ids_;
    std::vector<Pool> pools_;
};

}  // namespace flintdale::placement
