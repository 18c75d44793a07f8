#include "app/machine_type_catalog.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <string>

#include "wire/json.hpp"

namespace flintdale::app {

using namespace std::chrono_literals;
using model::MachineType;

namespace {

const std::string catalog_key = "fleet/catalog";
constexpr std::chrono::seconds retry_interval{2}, leader_interval{30}, follower_interval{300};

std::string page_key(std::size_t page) { return catalog_key + (page ? "/" + std::to_string(page) : std::string()); }

bool contains(const std::vector<MachineType>& types, const std::string& name) {
    return std::any_of(types.begin(), types.end(), [&](const MachineType& type) { return type.name == name; });
}

std::vector<MachineType> types_on_record(const std::vector<state::KeyValue>& pages) {
    std::vector<MachineType> types;
    for (const auto& page : pages) try {
            for (auto& type : wire::parse_catalog(boost::json::serialize(page.value)))
                if (!contains(types, type.name)) types.push_back(std::move(type));
        } catch (const wire::DecodeError& e) {
            spdlog::error("event=record_unreadable key={} why=\"{}\"", page.key, e.what());
        }
    return types;
}

std::uint64_t revision_of(const std::vector<state::KeyValue>& items, const std::string& key) {
    const auto it = std::find_if(items.begin(), items.end(), [&](const auto& item) { return item.key == key; });
    return it == items.end() ? 0 : it->mod_revision;
}

}  // namespace

MachineTypeCatalog::MachineTypeCatalog(cloud::Cloud& cloud, state::Store& store,
                                       const state::RecordFormat& record_format, Callbacks callbacks)
    : cloud_(cloud), store_(store), record_format_(record_format), callbacks_(std::move(callbacks)) {}

awaitable<void> MachineTypeCatalog::run() {
    for (;;) {
        auto types = co_await cloud_.catalog();
        if (types && !types->empty()) {
            const bool count_changed = types_.size() != types->size();
            types_ = std::move(*types);
            callbacks_.changed(types_);
            if (count_changed || !recorded_) co_await record_types();
        } else if (types_.empty()) {
            co_await read_recorded();
        }
        const auto interval = callbacks_.leading() ? leader_interval : follower_interval;
        co_await net::sleep_for(types_.empty() ? retry_interval : interval);
    }
}

awaitable<void> MachineTypeCatalog::record_types() {
    const auto recorded = co_await store_.range(catalog_key, std::string(), state::RequestPriority::bookkeeping);
    if (recorded.outcome != state::Outcome::ok) co_return;
    recorded_ = true;
    if (types_on_record(recorded.items).size() == types_.size()) co_return;
    std::size_t first = 0;
    for (std::size_t number = 0; first < types_.size(); ++number) {
        auto page = page_from(first);
        first += page.count;
        const auto key = page_key(number);
        state::Txn txn;
        txn.conditions.push_back({key, revision_of(recorded.items, key)});
        txn.changes.push_back({key, std::move(page.record), 0});
        co_await store_.commit(std::move(txn), state::RequestPriority::bookkeeping);
    }
}

MachineTypeCatalog::Page MachineTypeCatalog::page_from(std::size_t first) const {
    const auto begin = types_.begin() + static_cast<std::ptrdiff_t>(first);
    Page page;
    page.count = types_.size() - first;
    page.record = wire::catalog_record({begin, types_.end()});
    while (page.count > 1 && !record_format_.fits(page.record)) {
        page.count = (page.count + 1) / 2;
        page.record = wire::catalog_record({begin, begin + static_cast<std::ptrdiff_t>(page.count)});
    }
    return page;
}

awaitable<void> MachineTypeCatalog::read_recorded() {
    const auto recorded = co_await store_.range(catalog_key, std::string(), state::RequestPriority::bookkeeping);
    if (recorded.outcome != state::Outcome::ok || !types_.empty()) co_return;
    types_ = types_on_record(recorded.items);
    if (!types_.empty()) callbacks_.changed(types_);
}

}  // namespace flintdale::app
