#include "fleet/machine_inventory.hpp"

#include <algorithm>
#include <utility>

namespace flintdale::fleet {

namespace {
// The back-off after refused launch requests is base_pause, doubled once for each refusal in a row: 8 to 64 s.
constexpr int max_doublings = 4;
constexpr std::chrono::seconds base_pause{4};
}  // namespace

void Machine::record_image_use(const Image& image, double cache_gb) {
    std::erase_if(images, [&](const Image& e) { return e.id == image.id; });
    images.push_back(image);
    double cached_gb = 0;
    for (const auto& e : images) cached_gb += e.gb;
    while (images.size() > 1 && cached_gb > cache_gb) {
        cached_gb -= images.front().gb;
        images.erase(images.begin());
    }
    update_row();
}

model::Seconds Machine::replacement_time(model::Seconds boot) const {
    double cached_gb = 0;
    for (const auto& image : images) cached_gb += image.gb;
    return std::max(boot, model::Seconds(row.fetch_gb_per_s > 0 ? cached_gb / row.fetch_gb_per_s : 0));
}

double Machine::utilization() const {
    const auto share = [](double free, double capacity) { return capacity > 0 ? 1 - free / capacity : 0; };
    return std::max({share(row.free.cpus, row.capacity.cpus), share(row.free.gpus, row.capacity.gpus),
                     share(row.free.memory_gb, row.capacity.memory_gb)});
}

void Machine::update_row() {
    row.images.clear();
    for (const auto& e : images) row.images.push_back(e.id);
    row.fetching.clear();
    row.fetching_for = model::Priority::idle;
    for (const auto& [task, fetch] : fetching) {
        if (row.has(fetch.image.id)) continue;
        if (!row.fetches(fetch.image.id)) row.fetching.push_back({fetch.image.id, fetch.image.gb});
        row.fetching_for = std::max(row.fetching_for, fetch.priority);
    }
}

void MachineInventory::set_types(std::vector<model::MachineType> types) {
    types_ = std::move(types);
    for (const auto& t : types_)
        for (const auto& zone : t.zones)
            for (const bool spot : {true, false}) directory_.pool(t.name, zone, spot);
    for (auto& [name, m] : machines_)
        if (m->row.capacity.cpus == 0) set_pool(*m, m->type, m->zone, m->spot);
}

const model::MachineType* MachineInventory::type(const std::string& name) const {
    for (const auto& t : types_)
        if (t.name == name) return &t;
    return nullptr;
}

Machine* MachineInventory::find(const std::string& name) const {
    const auto it = machines_.find(name);
    return it == machines_.end() ? nullptr : it->second.get();
}

Machine& MachineInventory::add(const std::string& name, const std::string& type, const std::string& zone, bool spot,
                               TimePoint now) {
    auto& slot = machines_[name];
    if (!slot) {
        slot = std::make_unique<Machine>();
        slot->name = name;
        slot->row.slot = static_cast<placement::Id>(by_slot_.size());
        by_slot_.push_back(slot.get());
        slot->known_since = slot->last_report = slot->idle_since = now;
    }
    if (slot->type.empty() && !type.empty()) {
        set_pool(*slot, type, zone, spot);
        if (const auto it = pending_hints_.find(name); it != pending_hints_.end()) {
            apply_hint(it->second, *slot);
            pending_hints_.erase(it);
        }
    }
    return *slot;
}

void MachineInventory::set_pool(Machine& m, const std::string& type_name, const std::string& zone, bool spot) {
    m.type = type_name;
    m.zone = zone;
    m.spot = spot;
    m.row.pool = directory_.pool(type_name, zone, spot);
    m.row.zone = directory_.zone(zone);
    m.row.spot = spot;
    if (const auto* t = type(type_name); t && m.row.capacity.cpus == 0) {
        m.row.capacity = t->capacity;
        m.row.fetch_gb_per_s = t->fetch_gb_per_s;
        // Tasks that were assigned before the type was known have made the free resources negative.
        placement::add_resources(m.row.free, m.row.capacity);
    }
}

void MachineInventory::remove(const std::string& name) {
    if (const auto* m = find(name)) by_slot_[m->row.slot] = nullptr;
    machines_.erase(name);
    gone_.insert(name);
}

void MachineInventory::assign(Machine& m, const TaskKey& task, const model::JobSpec& spec, model::Priority priority) {
    if (!m.tasks.insert(task).second) return;
    placement::subtract_resources(m.row.free, spec.need);
    ++m.row.load;
    if (spec.kind == model::JobKind::service) placement::add_resources(m.row.held_by_services, spec.need);
    m.fetching[task] = {{directory_.image(spec.image), spec.image_gb}, priority};
    m.update_row();
}

void MachineInventory::image_ready(Machine& m, const TaskKey& task, const model::JobSpec& spec) {
    if (m.fetching.erase(task)) record_image_use(m, spec);
}

void MachineInventory::record_image_use(Machine& m, const model::JobSpec& spec) {
    m.record_image_use({directory_.image(spec.image), spec.image_gb}, cache_gb(m));
}

double MachineInventory::cache_gb(const Machine& m) const {
    const auto* t = type(m.type);
    return t ? t->cache_gb : 0;
}

void MachineInventory::unassign(Machine& m, const TaskKey& task, const model::JobSpec& spec, TimePoint now) {
    if (!m.tasks.erase(task)) return;
    if (m.fetching.erase(task))
        m.update_row();
    else
        record_image_use(m, spec);
    placement::add_resources(m.row.free, spec.need);
    --m.row.load;
    if (spec.kind == model::JobKind::service) placement::subtract_resources(m.row.held_by_services, spec.need);
    if (m.tasks.empty()) m.idle_since = now;
}

std::vector<wire::MachineHint> MachineInventory::hints() const {
    std::vector<wire::MachineHint> hints;
    for (const auto& [name, m] : machines_) {
        if (m->releasing || (m->images.empty() && !m->quarantined)) continue;
        wire::MachineHint hint{name, {}, m->quarantined};
        for (const auto& image : m->images) hint.images.push_back({directory_.image_name(image.id), image.gb});
        hints.push_back(std::move(hint));
    }
    return hints;
}

void MachineInventory::apply_hints(std::vector<wire::MachineHint> hints) {
    for (auto& hint : hints) {
        if (confirmed_gone(hint.name)) continue;
        // The type determines the size of the machine's cache.
        if (auto* m = find(hint.name); m && !m->type.empty())
            apply_hint(hint, *m);
        else
            pending_hints_[hint.name] = std::move(hint);
    }
}

// This leader's own knowledge is newer than the hint, so its images count as used more recently.
void MachineInventory::apply_hint(const wire::MachineHint& hint, Machine& m) {
    const auto known = std::exchange(m.images, {});
    for (const auto& image : hint.images) m.record_image_use({directory_.image(image.name), image.gb}, cache_gb(m));
    for (const auto& image : known) m.record_image_use(image, cache_gb(m));
    m.quarantined = m.quarantined || hint.quarantined;
}

void MachineInventory::launch_refused(const Pool& pool, TimePoint now) {
    auto& back_off = back_off_[pool];
    back_off.refusals = std::min(back_off.refusals + 1, max_doublings);
    back_off.until = now + base_pause * (1 << back_off.refusals);
}

bool MachineInventory::may_launch(const Pool& pool, TimePoint now) const {
    const auto it = back_off_.find(pool);
    return it == back_off_.end() || now >= it->second.until;
}

}  // namespace flintdale::fleet
