@0xe1d27b5c3f9a4d68;

# Records of the store from a replica: offered to the controller that rebuilds them after a loss, and kept in
# snapshots. A page is read as a whole or not at all (Zstandard has a checksum).

struct Record @0xc7656ce800e3152b {
    key @0 :Text;
    modRevision @1 :UInt64;  # of the key, in the history that the page is of
    text @2 :Text;        # its value, JSON
}

struct Archive @0x9ab7a701833b6679 {
    records @0 :List(Record);
}
