#include "scheduler/handover_hints.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <set>

namespace flintdale::scheduler {

std::vector<state::Change> HandoverHints::pages(std::span<const wire::MachineHint> hints) {
    std::vector<state::Change> out;
    std::set<std::string> needed;
    for (std::size_t at = 0, n = 0; at < hints.size(); ++n) {
        auto count = std::min(per_page_, hints.size() - at);
        boost::json::value value = boost::json::string(wire::encode_machine_hints(hints.subspan(at, count)));
        while (count > 1 && !record_format_.fits(value)) {
            count = per_page_ = (count + 1) / 2;
            value = boost::json::string(wire::encode_machine_hints(hints.subspan(at, count)));
        }
        at += count;
        const auto key = hints_prefix + std::to_string(n);
        needed.insert(key);
        if (on_record_[key] != std::string_view(value.as_string())) out.push_back({key, std::move(value), 0});
    }
    for (const auto& [key, text] : on_record_)
        if (!needed.contains(key)) out.push_back({key, std::nullopt, 0});
    return out;
}

void HandoverHints::written(const state::Change& page) {
    if (page.value)
        on_record_[page.key] = std::string(page.value->as_string());
    else
        on_record_.erase(page.key);
}

std::vector<wire::MachineHint> HandoverHints::read(const std::vector<state::KeyValue>& items) {
    std::vector<wire::MachineHint> out;
    for (const auto& item : items) {
        on_record_[item.key].clear();
        try {
            auto hints = wire::decode_machine_hints(std::string_view(item.value.as_string()));
            std::move(hints.begin(), hints.end(), std::back_inserter(out));
        } catch (const std::exception& e) {
            spdlog::info("event=machine_hints_unreadable key={} why=\"{}\"", item.key, e.what());
        }
    }
    return out;
}

}  // namespace flintdale::scheduler
