// Which life of a controller a message is from. A process that ended may be back before anybody noticed, and what the
// one before it had sent may be held on its way and come after it. One connection belongs to one life, and the newest
// connection to the newest: so a message of another life on an older connection is from one that is no more. Times are
// not compared, for clocks wander. docs/design.md, "Back before anybody noticed".
#pragma once
#include <cstdint>
#include <map>
#include <string>

namespace flintdale::peer {

class Lives {
  public:
    enum class From : std::uint8_t { present, next, former };
    // `life`: as the sender tells, 0 from versions that do not. `connection`: counts those that were accepted here.
    From heard(const std::string& member, std::uint64_t life, std::uint64_t connection) {
        auto [it, fresh] = lives_.try_emplace(member, Life{life, connection});
        if (fresh) return From::next;
        auto& known = it->second;
        if (known.life == life) {
            known.connection = std::max(known.connection, connection);
            return From::present;
        }
        if (connection < known.connection) return From::former;
        known = {life, connection};
        return From::next;
    }

  private:
    struct Life {
        std::uint64_t life, connection;
    };
    std::map<std::string, Life> lives_;
};

}  // namespace flintdale::peer
