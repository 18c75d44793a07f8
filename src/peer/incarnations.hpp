// Which incarnation of a controller a message is from. A process that ended may be back before anybody noticed, and
// what the one before it had sent may be held on its way and come after it. One connection belongs to one incarnation,
// and the newest connection to the newest: so a message of another incarnation on an older connection is from one that
// is no more. Times are not compared, for clocks wander. docs/design.md, "Back before anybody noticed".
#pragma once
#include <cstdint>
#include <map>
#include <string>

namespace flintdale::peer {

class Incarnations {
  public:
    enum class From : std::uint8_t { present, next, former };
    // `incarnation`: as the sender tells, 0 from versions that do not. `connection`: counts those that were accepted
    // here.
    From heard(const std::string& member, std::uint64_t incarnation, std::uint64_t connection) {
        auto [it, fresh] = incarnations_.try_emplace(member, Incarnation{incarnation, connection});
        if (fresh) return From::next;
        auto& known = it->second;
        if (known.incarnation == incarnation) {
            known.connection = std::max(known.connection, connection);
            return From::present;
        }
        if (connection < known.connection) return From::former;
        known = {incarnation, connection};
        return From::next;
    }

  private:
    struct Incarnation {
        std::uint64_t incarnation, connection;
    };
    std::map<std::string, Incarnation> incarnations_;
};

}  // namespace flintdale::peer
