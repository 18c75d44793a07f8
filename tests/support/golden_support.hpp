// Golden files: bytes of stored and sent data, made by the sources of revision 4931d57. What is written today must be
// the same bytes, and what was written then must be read today. Nothing here or in the tests writes these files.
#pragma once
#include <gtest/gtest.h>

#include <boost/json.hpp>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "model/command.hpp"
#include "model/heartbeat.hpp"
#include "model/job.hpp"
#include "model/machine.hpp"
#include "state/store.hpp"

namespace flintdale::test {

// The bytes of that golden file.
std::string golden(const std::string& name);
// That these bytes are what the golden file holds.
void expect_golden(const std::string& name, const std::string& bytes);
// The same for text, which a file ends with a line end.
inline void expect_golden_line(const std::string& name, const std::string& text) { expect_golden(name, text + "\n"); }

inline boost::json::object golden_object(const std::string& name) {
    return boost::json::parse(golden(name)).as_object();
}

std::vector<std::string> lines_of(const std::string& text);
// A key and its value as one line, and back. A key that is removed has no value.
std::string line_of(const state::Change& change);
state::Change change_of(const std::string& line);
std::string lines_of(const std::vector<state::Change>& changes);
std::vector<state::Change> changes_in(const std::string& name);

// One controller of two, with a team, in a small cluster.
config::Settings golden_settings(const std::string& own_name, const std::string& other_name);
// A submission with every field, and one with none that may be absent.
model::JobSpec full_submission();
model::JobSpec bare_submission();

}  // namespace flintdale::test
