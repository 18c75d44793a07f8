@0xd6e1f3a49b0c8277;

# Status messages between controllers. No rule depends on their delivery. They make answers to users fresher and
# failovers faster, and inform the leader of cancellations that other controllers have acknowledged to users while the
# store does not answer.

struct JobCount @0xb1434d0913e5fc78 {
    uid @0 :Text;
    done @1 :UInt32;
    running @2 :UInt32;
}

struct ReceivedMessage @0xa888a321aacdd332 {
    member @0 :Text;
    incarnation @1 :UInt64;
    number @2 :UInt64;
}

# "An old version" is one that does not send the field.
struct StatusMessage @0xbbe192b8a6584567 {
    member @0 :Text;
    term @1 :UInt64;           # highest term that the sender has seen
    leader @2 :Text;           # leader of that term as far as the sender knows; empty: unknown
    storeHealthy @3 :Bool;     # the state service answers the sender
    counts @4 :List(JobCount); # from the leader: jobs whose task counts have changed
    leading @5 :Bool;          # the sender leads
    writes @6 :Float64;        # writes to the state service that the sender requested since its last message
    redirects @7 :UInt32;      # heartbeats that the sender redirected to the leader since its last message
    generation @9 :UInt64;     # of the history of records that the sender knows; 0: none, or an old version
    history @10 :Text;         # id of that history
    replicaRevision @11 :UInt64;  # revision up to which the sender's replica of the records is complete; 0: not certain
    rebuilding @12 :UInt64;    # generation whose rebuilding the sender sees in progress; 0: none
    incarnation @13 :UInt64;   # of the sender; differs after each start; 0: an old version
    number @14 :UInt64;        # of this message, counted from 1 in each incarnation; 0: an old version
    received @15 :List(ReceivedMessage);  # newest message that the sender has received from each other controller
    cancelled @16 :List(Text); # uids of jobs that the sender has recently learned to be cancelled
    cancellationsComplete @17 :Bool;  # `cancelled` has every cancellation that the sender acknowledged in that time
    relays @18 :Bool;          # the sender relays heartbeats to a leader that sets this too, and answers relayed ones
    workers @19 :UInt32;       # number of workers that report to the sender
    capacity @20 :UInt32;      # number of workers that may report to the sender
    fleet @21 :UInt32;         # from the leader: number of machines that it knows; 0: none yet
    format @8 :UInt32;         # record format that the sender knows every controller to read; 0: an old version
}
