@0xd6e1f3a49b0c8277;

# What controllers send each other. No rule needs a message to arrive: they make answers fresher and failovers quicker,
# and let a leader know what the others have acknowledged to users while the store does not answer.

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

struct StatusMessage @0xbbe192b8a6584567 {
    member @0 :Text;
    term @1 :UInt64;          # highest term the sender has seen
    leader @2 :Text;          # who the sender believes leads that term, or empty
    storeHealthy @3 :Bool;      # the sender's own access to the state service works
    counts @4 :List(JobCount); # from the leader: jobs whose display counts changed
    leading @5 :Bool;
    writes @6 :Float64;       # to the state service, that the sender lately asked for
    redirects @7 :UInt32;     # heartbeats that the sender turned away to the leader since its last message
    generation @9 :UInt64;    # of the records' history that the sender knows; 0: none, or a version that does not tell
    history @10 :Text;
    replicaRevision @11 :UInt64;  # up to which the sender has the records; 0: not certain
    rebuilding @12 :UInt64;   # the generation that it sees being rebuilt; 0: none
    incarnation @13 :UInt64;  # of the sender: another one each time that it is started; 0: a version without
    number @14 :UInt64;       # of this message of the sender's incarnation, from 1; 0: a version that does not count
    received @15 :List(ReceivedMessage);  # the newest message of each other controller that the sender has received
    cancelled @16 :List(Text); # jobs that the sender has lately learned to be cancelled
    cancellationsComplete @17 :Bool;  # and it has acknowledged no others to users in that time
    relays @18 :Bool;         # the sender passes reports on to a leader that does so too, and answers what is passed on to it
    workers @19 :UInt32;      # that report to the sender
    capacity @20 :UInt32;     # that may
    fleet @21 :UInt32;        # from the leader: machines that it knows of; 0: none yet
    format @8 :UInt32;        # that the sender knows every controller to read; 0 from versions that do not tell
}
