// Golden files: bytes of stored and sent data, written by the sources of revision 4931d57. The current code must write
// the same bytes and must read the old ones. Neither this code nor the tests write these files.
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

// The bytes of the golden file with this name.
std::string golden(const std::string& name);
// Expects that the bytes are equal to those of the golden file.
void expect_golden(const std::string& name, const std::string& bytes);
// The same for one line of text, which ends with a line feed in the file.
inline void expect_golden_line(const std::string& name, const std::string& text) { expect_golden(name, text + "\n"); }

inline boost::json::object golden_object(const std::string& name) {
    return boost::json::parse(golden(name)).as_object();
}

std::vector<std::string> lines_of(const std::string& text);
// Conversion of a change of a key to a line "KEY VALUE" and back. The deletion of a key has no value.
std::string line_of(const state::Change& change);
state::Change change_of(const std::string& line);
std::string lines_of(const std::vector<state::Change>& changes);
std::vector<state::Change> changes_in(const std::string& name);

// Settings of one of two controllers, with one team.
config::Settings golden_settings(const std::string& own_name, const std::string& other_name);
// A submission with every field, and one without optional fields.
model::JobSpec full_submission();
model::JobSpec bare_submission();

}  // namespace flintdale::test
