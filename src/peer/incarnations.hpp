// Distinguishes messages of a controller's current incarnation from delayed messages of an ended one. A controller may
// restart before a peer notices, and messages of its previous incarnation may arrive after those of the new one. A
// connection belongs to one incarnation, and the newest connection to the newest incarnation. So a message of another
// incarnation on an older connection is from an ended one. Start times are not compared, because clocks drift. See
// docs/design.md, "Back before anybody noticed".
#pragma once
#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

namespace flintdale::peer {

class Incarnations {
  public:
    // The incarnation that sent a message: the known one, a new one that replaces it, or one that has ended.
    enum class From : std::uint8_t { present, next, previous };

    // Classifies a message from this incarnation of the member (0: an old version without incarnations). `connection`:
    // number of the connection it arrived on; connections are numbered in the order in which they were accepted.
    From classify(const std::string& member, std::uint64_t incarnation, std::uint64_t connection) {
        auto [it, is_new] = known_.try_emplace(member, Known{incarnation, connection});
        if (is_new) return From::next;
        auto& known = it->second;
        if (known.incarnation == incarnation) {
            known.connection = std::max(known.connection, connection);
            return From::present;
        }
        if (connection < known.connection) return From::previous;
        known = {incarnation, connection};
        return From::next;
    }

  private:
    struct Known {
        std::uint64_t incarnation;
        std::uint64_t connection;  // the newest connection with a message of this incarnation
    };
    std::map<std::string, Known> known_;  // by member
};

}  // namespace flintdale::peer
