@0xe1d27b5c3f9a4d68;

# Records of the state service as somebody remembers them: offered to whoever rebuilds after a loss, and kept in
# snapshots. A page by itself is whole or unreadable (Zstandard's checksum tells).

struct Record @0xc7656ce800e3152b {
    key @0 :Text;
    modRevision @1 :UInt64;  # of the key, in the history that the page is of
    text @2 :Text;        # its value, JSON
}

struct Archive @0x9ab7a701833b6679 {
    records @0 :List(Record);
}
