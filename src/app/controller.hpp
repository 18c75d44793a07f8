// Wires the packages into one controller.
#pragma once
#include "agent/caretaker.hpp"
#include "api/desk.hpp"
#include "app/reign.hpp"
#include "cloud/client.hpp"
#include "election/members.hpp"
#include "peer/link.hpp"
#include "state/http_store.hpp"

namespace flintdale::app {

class Controller {
  public:
    Controller(net::asio::io_context& io, config::Settings settings, config::Tunables tunables);
    void start();

  private:
    awaitable<net::Reply> handle(net::Request request);
    awaitable<net::Reply> beat(std::string body);
    awaitable<void> catalog_loop();
    awaitable<void> peer_loop();
    awaitable<void> outcomes_loop();
    bool leaderless() const;
    awaitable<void> keep_catalog();
    awaitable<void> recall_catalog();
    void share_writes(double own);
    void resign_if_deaf();
    net::Reply ready() const;
    void received(const peer::Beat& beat);

    net::Executor ex_;
    config::Settings settings_;
    config::Tunables tunables_;
    state::Form form_;
    state::HttpStore store_;
    cloud::HttpCloud cloud_;
    election::Elector elector_;
    election::Members members_;
    agent::Caretaker caretaker_;
    std::shared_ptr<Reign> reign_;
    std::vector<wire::MachineType> types_;
    std::unordered_map<std::string, api::DisplayCount> counts_;
    struct PeerState {
        wire::TimePoint heard{};
        bool state_ok = false, leading = false;
        double writes = 0;
        double knocks = 0;  // of the last seconds, older ones counting less
    };
    std::unordered_map<std::string, PeerState> peer_state_;
    std::uint32_t knocks_ = 0;  // reports turned away to the leader since the last beat
    api::Desk desk_;
    peer::Links peers_;
    net::HttpServer server_;
};

}  // namespace flintdale::app
