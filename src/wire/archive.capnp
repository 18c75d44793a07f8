@0xe1d27b5c3f9a4d68;

# Records of the state service as somebody remembers them: offered to whoever rebuilds after a loss, and kept in
# snapshots. A page by itself is whole or unreadable (Zstandard's checksum tells).

struct Record {
    key @0 :Text;
    stamp @1 :UInt64;     # of the key, in the history that the page is of
    text @2 :Text;        # its value, JSON
}

struct Archive {
    records @0 :List(Record);
}
