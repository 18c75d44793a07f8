@0xb3c0f5d2a97e4186;

# Workers' reports that a controller which does not lead passes on to the leader, and the leader's answers.

struct RelayedTask {
    uid @0 :Text;
    index @1 :UInt32;
    attempt @2 :UInt64;
    status @3 :UInt8;
    cause @4 :UInt8;
    saved @5 :Bool;
}

struct RelayedReport {
    number @0 :UInt64;        # of the sender's incarnation; the answer bears it
    handle @1 :UInt32;        # under which this report may be repeated
    machine @2 :Text;
    address @3 :Text;
    type @4 :Text;
    zone @5 :Text;
    spot @6 :Bool;
    tenure @7 :UInt64;
    tick @8 :UInt64;
    token @9 :UInt64;
    noticeS @10 :Float64;     # below 0: none
    tasks @11 :List(RelayedTask);
}

struct RepeatedReport {       # the worker reports the same as under that handle
    number @0 :UInt64;
    handle @1 :UInt32;
    tick @2 :UInt64;
    full @3 :UInt64;          # the number of the report that is meant
}

struct RelayedOrder {
    verb @0 :UInt8;
    uid @1 :Text;
    index @2 :UInt32;
    attempt @3 :UInt64;
    graceS @4 :Float64;
}

struct RelayedAnswer {
    number @0 :UInt64;
    outcome @1 :UInt8;
    token @2 :UInt64;
    orders @3 :List(RelayedOrder);
}

struct RelayMessage {
    member @0 :Text;          # who sends
    incarnation @1 :UInt64;   # of the sender
    to @2 :UInt64;            # incarnation of the receiver that is meant
    reports @3 :List(RelayedReport);
    repeated @4 :List(RepeatedReport);
    answers @5 :List(RelayedAnswer);
}
