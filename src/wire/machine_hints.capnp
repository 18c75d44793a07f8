@0xb3c8a1e54d7f0296;

# Hints about machines that a leader leaves for the next one, because heartbeats do not contain this information.
# They only improve placement after a failover; no safety rule depends on them.

struct Image @0xf2c1565c49d6c75f {
    name @0 :Text;
    gb @1 :Float64;
}

struct MachineHint @0x9b8e41dd6b92db19 {
    name @0 :Text;
    images @1 :List(UInt32);   # in the machine's cache, as indices into Page.images, least recently used first
    quarantined @2 :Bool;         # several jobs failed there that succeeded elsewhere
}

struct Page @0xcec5dcf071f0be1c {
    images @0 :List(Image);
    machines @1 :List(MachineHint);
}
