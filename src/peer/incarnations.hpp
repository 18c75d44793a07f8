// Tells which incarnation of a controller a message is from. A process that ended may be started again before any peer
// notices, and messages of the incarnation before it may be delayed and arrive after its own. One connection belongs to
// one incarnation, and the newest connection to the newest incarnation: so a message of another incarnation on an older
// connection is from one that has ended. Times are not compared, for clocks drift. docs/design.md, "Back before anybody
// noticed".
#pragma once
#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

namespace flintdale::peer {

class Incarnations {
  public:
    // The incarnation that a message is from: the one known, a new one that takes its place, or one that has ended.
    enum class From : std::uint8_t { present, next, previous };

    // A message has arrived from that incarnation of the member (0: a version that has none), on the connection with
    // that number. Connections are counted in the order in which they were accepted here.
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
        std::uint64_t connection;  // the newest one that a message of it came on
    };
    std::map<std::string, Known> known_;  // by member
};

}  // namespace flintdale::peer
