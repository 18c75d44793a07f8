#include "fleet/ledger.hpp"

#include <algorithm>

namespace flintdale::fleet {

void Machine::used_image(const std::string& image, double gb, double cache_gb) {
    std::erase_if(images, [&](const auto& e) { return e.first == image; });
    images.emplace_back(image, gb);
    double held = 0;
    for (const auto& [name, size] : images) held += size;
    while (images.size() > 1 && held > cache_gb) {
        held -= images.front().second;
        images.erase(images.begin());
    }
}

placement::Host Machine::host() const {
    placement::Host h{name,
                      type,
                      zone,
                      spot,
                      capacity,
                      free,
                      static_cast<unsigned>(tasks.size()),
                      {},
                      {},
                      fetch_gb_per_s,
                      wire::Rank::idle,
                      standing,
                      {}};
    for (const auto& [image, gb] : images) h.images.insert(image);
    for (const auto& [task, fetch] : fetching) {
        if (h.images.contains(fetch.image)) continue;
        h.fetching[fetch.image] = fetch.gb;
        h.fetching_for = std::max(h.fetching_for, fetch.rank);
    }
    return h;
}

void Ledger::set_types(std::vector<wire::MachineType> types) {
    types_ = std::move(types);
    for (auto& [name, m] : machines_)
        if (m->capacity.cpus == 0) describe(*m, m->type, m->zone, m->spot);
}

const wire::MachineType* Ledger::type(const std::string& name) const {
    for (const auto& t : types_)
        if (t.name == name) return &t;
    return nullptr;
}

Machine* Ledger::find(const std::string& name) {
    const auto it = machines_.find(name);
    return it == machines_.end() ? nullptr : it->second.get();
}

Machine& Ledger::add(const std::string& name, const std::string& type, const std::string& zone, bool spot,
                     TimePoint now) {
    auto& slot = machines_[name];
    if (!slot) {
        slot = std::make_unique<Machine>();
        slot->name = name;
        slot->known_since = slot->last_report = slot->idle_since = now;
    }
    if (slot->type.empty() && !type.empty()) describe(*slot, type, zone, spot);
    return *slot;
}

void Ledger::describe(Machine& m, const std::string& type_name, const std::string& zone, bool spot) {
    m.type = type_name;
    m.zone = zone;
    m.spot = spot;
    if (const auto* t = type(type_name); t && m.capacity.cpus == 0) {
        m.capacity = t->capacity;
        m.fetch_gb_per_s = t->fetch_gb_per_s;
        // Tasks assigned before the type was known have been taken from zero.
        placement::give(m.free, m.capacity);
    }
}

void Ledger::remove(const std::string& name) {
    machines_.erase(name);
    gone_.insert(name);
}

void Ledger::assign(Machine& m, const TaskKey& task, const wire::JobSpec& spec) {
    if (!m.tasks.insert(task).second) return;
    placement::take(m.free, spec.need);
    if (spec.shape == wire::Shape::service) placement::give(m.standing, spec.need);
    m.fetching[task] = {spec.image, spec.image_gb, spec.rank};
}

void Ledger::unassign(Machine& m, const TaskKey& task, const wire::JobSpec& spec, TimePoint now) {
    if (!m.tasks.erase(task)) return;
    m.fetching.erase(task);
    placement::give(m.free, spec.need);
    if (spec.shape == wire::Shape::service) placement::take(m.standing, spec.need);
    if (m.tasks.empty()) m.idle_since = now;
}

void Ledger::refused(const Pool& pool, TimePoint now) {
    auto& b = back_off_[pool];
    b.times = std::min(b.times + 1, 4);
    b.until = now + std::chrono::seconds(4 << b.times);
}

bool Ledger::open(const Pool& pool, TimePoint now) const {
    const auto it = back_off_.find(pool);
    return it == back_off_.end() || now >= it->second.until;
}

}  // namespace flintdale::fleet
