#include "recovery/snapshot_file.hpp"

#include <fcntl.h>
#include <fmt/format.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <fstream>

#include "wire/archive.hpp"
#include "wire/json.hpp"

namespace flintdale::recovery {

namespace {

namespace fs = std::filesystem;

constexpr std::string_view magic = "flintdale-records-1\n";
constexpr std::string_view ending = ".records";
constexpr std::size_t page_records = 4096;
constexpr std::size_t kept_snapshots = 2;
constexpr std::size_t frame_header_bytes = 4;  // the length of a page in bytes, little-endian
const std::string header_key = "snapshot";

// A file descriptor that is closed at the end of its scope.
struct Descriptor {
    int fd = -1;
    ~Descriptor() {
        if (fd >= 0) ::close(fd);
    }
};

[[noreturn]] void throw_system_error(const char* operation) {
    throw std::runtime_error(std::string(operation) + ": " + std::strerror(errno));
}

void write_all(int fd, std::string_view bytes) {
    while (!bytes.empty()) {
        const auto n = ::write(fd, bytes.data(), bytes.size());
        if (n < 0 && errno == EINTR) continue;
        if (n <= 0) throw_system_error("write");
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
}

std::string framed(const std::string& page) {
    std::string out(frame_header_bytes, '\0');
    for (std::size_t i = 0; i < frame_header_bytes; ++i) out[i] = static_cast<char>(page.size() >> (8 * i));
    return out + page;
}

// File names sort by generation, then by revision.
std::string name_of(const ReplicaContents& s) {
    return fmt::format("{:020}-{:020}{}", s.generation, s.revision, ending);
}

std::vector<fs::path> snapshots(const fs::path& directory) {
    std::vector<fs::path> out;
    std::error_code ec;
    for (const auto& entry : fs::directory_iterator(directory, ec))
        if (entry.path().extension() == ending) out.push_back(entry.path());
    std::sort(out.rbegin(), out.rend());
    return out;
}

// The pages of a snapshot file. Throws wire::DecodeError if a page is truncated or damaged.
std::vector<std::vector<wire::ArchivedRecord>> read_pages(const fs::path& path) {
    std::ifstream in(path, std::ios::binary);
    const std::string bytes{std::istreambuf_iterator<char>(in), {}};
    std::string_view rest(bytes);
    if (!rest.starts_with(magic)) throw wire::DecodeError("not a snapshot file");
    rest.remove_prefix(magic.size());
    std::vector<std::vector<wire::ArchivedRecord>> pages;
    while (!rest.empty()) {
        if (rest.size() < frame_header_bytes) throw wire::DecodeError("file is truncated");
        std::size_t size = 0;
        for (std::size_t i = frame_header_bytes; i-- > 0;) size = size << 8 | static_cast<unsigned char>(rest[i]);
        rest.remove_prefix(frame_header_bytes);
        if (rest.size() < size) throw wire::DecodeError("file is truncated");
        pages.push_back(wire::decode_archive(rest.substr(0, size)));
        rest.remove_prefix(size);
    }
    return pages;
}

// Throws unless the file is intact and contains all pages named in its header.
ReplicaContents read(const fs::path& path) {
    auto pages = read_pages(path);
    if (pages.empty() || pages[0].size() != 1 || pages[0][0].key != header_key)
        throw wire::DecodeError("header page is missing");
    const auto header = wire::parse_object(pages[0][0].text);
    if (header.at("pages").to_number<std::size_t>() + 1 != pages.size())
        throw wire::DecodeError("number of pages differs from the header");
    ReplicaContents contents;
    contents.from = "snapshot " + path.filename().string();
    contents.generation = header.at("generation").to_number<std::uint64_t>();
    contents.revision = header.at("revision").to_number<std::uint64_t>();
    contents.id = std::string(header.at("id").as_string());
    for (std::size_t i = 1; i < pages.size(); ++i)
        for (auto& record : pages[i])
            contents.records.emplace(std::move(record.key), Record{record.mod_revision, std::move(record.text)});
    return contents;
}

// Packs the records into compressed pages.
std::vector<std::string> encode_snapshot_pages(const ReplicaContents& source) {
    std::vector<std::string> pages;
    std::vector<wire::ArchivedRecord> page;
    const auto flush = [&] {
        if (!page.empty()) pages.push_back(wire::encode_archive(page));
        page.clear();
    };
    for (const auto& [key, record] : source.records) {
        page.push_back({key, record.mod_revision, record.text});
        if (page.size() == page_records) flush();
    }
    flush();
    return pages;
}

void write(const fs::path& path, const ReplicaContents& source) {
    const auto pages = encode_snapshot_pages(source);
    const boost::json::object header{
        {"generation", source.generation}, {"revision", source.revision}, {"id", source.id}, {"pages", pages.size()}};
    const std::array first{wire::ArchivedRecord{header_key, 0, boost::json::serialize(header)}};
    Descriptor file{::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644)};
    if (file.fd < 0) throw_system_error("open");
    write_all(file.fd, magic);
    write_all(file.fd, framed(wire::encode_archive(first)));
    for (const auto& page : pages) write_all(file.fd, framed(page));
    if (::fsync(file.fd) != 0) throw_system_error("fsync");
}

}  // namespace

bool SnapshotFile::put(const ReplicaContents& source) {
    const auto target = directory_ / name_of(source);
    const auto temporary = directory_ / (name_of(source) + ".part");
    try {
        fs::create_directories(directory_);
        write(temporary, source);
        fs::rename(temporary, target);
        const Descriptor dir{::open(directory_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC)};
        if (dir.fd < 0 || ::fsync(dir.fd) != 0) throw_system_error("fsync of the directory");
        const auto all = snapshots(directory_);
        for (std::size_t i = kept_snapshots; i < all.size(); ++i) fs::remove(all[i]);
        return true;
    } catch (const std::exception& e) {
        spdlog::error("event=snapshot_failed directory={} why=\"{}\"", directory_.string(), e.what());
        std::error_code ec;
        fs::remove(temporary, ec);
        return false;
    }
}

std::optional<ReplicaContents> SnapshotFile::newest() const {
    if (!in_use()) return std::nullopt;
    for (const auto& path : snapshots(directory_)) try {
            return read(path);
        } catch (const std::exception& e) {
            spdlog::error("event=snapshot_unreadable file={} why=\"{}\"", path.string(), e.what());
        }
    return std::nullopt;
}

}  // namespace flintdale::recovery
