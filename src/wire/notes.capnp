@0xb3c8a1e54d7f0296;

# What a leader knows of machines that no report would tell the next one. Nothing here is needed for safety: it only
# makes placement better after a hand-over.

struct Image {
    name @0 :Text;
    gb @1 :Float64;
}

struct MachineNote {
    name @0 :Text;
    images @1 :List(UInt32);   # that its cache holds, as places in Page.images, oldest use first
    suspect @2 :Bool;          # several jobs failed there that went well elsewhere
}

struct Page {
    images @0 :List(Image);
    machines @1 :List(MachineNote);
}
