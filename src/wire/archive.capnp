@0xe1d27b5c3f9a4d68;

# A page of records from a controller's replica of the store. Replicas offer pages to the controller that restores lost
# records; snapshots contain pages. Readers accept only complete pages: the Zstandard frame has a checksum.

struct Record @0xc7656ce800e3152b {
    key @0 :Text;
    modRevision @1 :UInt64;  # revision of the key's last change, in the page's history of the store
    text @2 :Text;           # the value, JSON
}

struct Archive @0x9ab7a701833b6679 {
    records @0 :List(Record);
}
