#include "app/leader_term_adapters.hpp"

namespace flintdale::app {

void ReplicatedRecords::suspect_loss(const char* why) {
    recovery_.suspect_loss(why, recovery::RecoveryCoordinator::Loss::beyond_replica);
}

}  // namespace flintdale::app
