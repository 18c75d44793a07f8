// Slopes from the results of scale runs: each quantity as a fixed part and so much a worker.
#pragma once
#include <boost/json.hpp>
#include <string>
#include <vector>

namespace flintdale::load_test {

struct Point {
    double workers = 0, value = 0;
};

struct Line {
    double fixed = 0, slope = 0;
    double residual = 0;  // the greatest distance of a point from the line
    double spread = 0;    // of runs of one size: the greatest difference over their mean
    double bend = 1;      // the slope between the two largest sizes over that between the two smallest
    std::size_t sizes = 0, runs = 0;
    double from = 0, to = 0;  // workers
    // Whether a line says what the points say; else the page gives the points.
    bool straight() const { return sizes < 3 || (bend > 0.67 && bend < 1.5); }
};

// Least squares. The points of one size are runs of it.
Line fit_line(std::vector<Point> points);

// A table in Markdown of the runs that passed, by the number of controllers and the operators' settings.
std::string fit_table(const std::vector<boost::json::object>& results);

}  // namespace flintdale::load_test
