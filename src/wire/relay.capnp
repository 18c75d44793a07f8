@0xb3c0f5d2a97e4186;

# Heartbeats of workers that a follower relays to the leader, and the leader's responses.

struct RelayedTask @0x941f491ae1d4b09e {
    uid @0 :Text;
    index @1 :UInt32;
    attempt @2 :UInt64;
    status @3 :UInt8;
    exitReason @4 :UInt8;
    checkpointed @5 :Bool;
}

struct RelayedHeartbeat @0xfefbec9492288a56 {
    number @0 :UInt64;        # unique in the sender's incarnation; the response has the same number
    handle @1 :UInt32;        # by which a RepeatedHeartbeat refers to this heartbeat
    machine @2 :Text;
    address @3 :Text;
    type @4 :Text;
    zone @5 :Text;
    spot @6 :Bool;
    incarnation @7 :UInt64;
    sequence @8 :UInt64;
    fencingToken @9 :UInt64;
    terminationNoticeS @10 :Float64;  # below 0: none
    tasks @11 :List(RelayedTask);
}

# A heartbeat with the same content as the last one with this handle, except for its sequence.
struct RepeatedHeartbeat @0xfe8e148f3093fae3 {
    number @0 :UInt64;
    handle @1 :UInt32;
    sequence @2 :UInt64;
    original @3 :UInt64;      # number of the full heartbeat that is repeated
}

struct RelayedCommand @0xdbcc81ee455c81ed {
    type @0 :UInt8;
    uid @1 :Text;
    index @2 :UInt32;
    attempt @3 :UInt64;
    gracePeriodS @4 :Float64;
}

struct RelayedResponse @0xbdd1979c9d70ae99 {
    number @0 :UInt64;
    outcome @1 :UInt8;
    fencingToken @2 :UInt64;
    commands @3 :List(RelayedCommand);
}

struct RelayMessage @0x8813b61ad402331d {
    member @0 :Text;          # the sender
    incarnation @1 :UInt64;   # of the sender
    receiverIncarnation @2 :UInt64;  # other incarnations of the receiver must ignore the message
    reports @3 :List(RelayedHeartbeat);
    repeated @4 :List(RepeatedHeartbeat);
    answers @5 :List(RelayedResponse);
}
