// The target of a request: its path and what follows the question mark.
#pragma once
#include <algorithm>
#include <map>
#include <string>

namespace flintdale::load_test {

struct Query {
    std::string path;
    std::map<std::string, std::string> values;
    std::string text(const std::string& name) const {
        const auto it = values.find(name);
        return it == values.end() ? std::string() : it->second;
    }
    // `otherwise` where it is missing. Throws std::exception where it is no number.
    std::uint64_t number(const std::string& name, std::uint64_t otherwise) const {
        const auto it = values.find(name);
        return it == values.end() ? otherwise : std::stoull(it->second);
    }
};

inline Query parse_query(const std::string& target) {
    Query out;
    const auto mark = std::min(target.find('?'), target.size());
    out.path = target.substr(0, mark);
    for (auto from = mark + 1; from < target.size();) {
        const auto end = std::min(target.find('&', from), target.size());
        const auto part = target.substr(from, end - from);
        const auto equals = part.find('=');
        if (equals != std::string::npos) out.values[part.substr(0, equals)] = part.substr(equals + 1);
        from = end + 1;
    }
    return out;
}

}  // namespace flintdale::load_test
