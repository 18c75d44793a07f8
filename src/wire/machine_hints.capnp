@0xb3c8a1e54d7f0296;

# What a leader knows of machines and no heartbeat tells the next one. Nothing here is needed for safety: it only
# makes placement better after a failover.

struct Image @0xf2c1565c49d6c75f {
    name @0 :Text;
    gb @1 :Float64;
}

struct MachineHint @0x9b8e41dd6b92db19 {
    name @0 :Text;
    images @1 :List(UInt32);   # in its cache, as indices into Page.images, least recently used first
    quarantined @2 :Bool;         # several jobs failed there that succeeded elsewhere
}

struct Page @0xcec5dcf071f0be1c {
    images @0 :List(Image);
    machines @1 :List(MachineHint);
}
