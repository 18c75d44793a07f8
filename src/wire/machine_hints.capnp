@0xb3c8a1e54d7f0296;

# What a leader knows of machines that no report would tell the next one. Nothing here is needed for safety: it only
# makes placement better after a hand-over.

struct Image @0xf2c1565c49d6c75f {
    name @0 :Text;
    gb @1 :Float64;
}

struct MachineHint @0x9b8e41dd6b92db19 {
    name @0 :Text;
    images @1 :List(UInt32);   # that its cache holds, as places in Page.images, oldest use first
    quarantined @2 :Bool;         # several jobs failed there that went well elsewhere
}

struct Page @0xcec5dcf071f0be1c {
    images @0 :List(Image);
    machines @1 :List(MachineHint);
}
