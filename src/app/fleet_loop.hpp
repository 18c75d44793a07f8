// Carries out in the cloud what the scheduler asks of the fleet: it lists the machines, launches new ones and releases
// those that are no longer needed.
//
// A leader that was cut off or paused may have a successor, and must not launch or release machines on what it
// remembers: once a leader released all machines that its successor was using. So the term is checked before every call
// that changes the fleet.
#pragma once
#include <deque>

#include "app/term_context.hpp"
#include "cloud/client.hpp"

namespace flintdale::app {

class FleetLoop {
  public:
    FleetLoop(TermContext& context, cloud::Cloud& cloud) : context_(context), cloud_(cloud) {}
    // Each runs until the term ends.
    awaitable<void> run_listing();
    awaitable<void> run_scaling();

  private:
    struct LaunchRequest {
        fleet::InstanceRequest instances;
        std::string name;  // the same at every attempt, so that the cloud grants it once
        int attempts = 0;
    };
    enum class Leadership : std::uint8_t { confirmed, lost, unknown };

    awaitable<Leadership> verify_leadership();
    awaitable<void> release_machines();
    // Launches what is needed, first of all what earlier requests left unanswered. True if a refusal leaves a need that
    // another pool may meet at once.
    awaitable<bool> launch_machines();
    void plan_launches();
    // Returns whether fewer machines than asked for were granted.
    bool apply_launch_result(LaunchRequest request, const cloud::LaunchResult& result);

    TermContext& context_;
    cloud::Cloud& cloud_;
    std::uint64_t launches_ = 0;
    std::deque<LaunchRequest> unanswered_;
};

}  // namespace flintdale::app
