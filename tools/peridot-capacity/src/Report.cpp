// Formatting.

#include "Report.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace peridot::capacity {

std::string toLines(const Series& series)
{
    std::string text;
    for (const auto& [x, y] : series.points)
        text += fmt::format("measure={} x={:g} y={:.4g}\n", series.name, x, y);
    const auto fit = fitLine(series.points);
    text += fmt::format("fit={} x=\"{}\" y=\"{}\" slope={:.4g} slope_error={:.2g} intercept={:.4g} r2={:.4f} "
                        "target_x={:g} at_target={:.4g}\n",
        series.name, series.xName, series.yName, fit.slope, fit.slopeError, fit.intercept, fit.determination,
        series.targetX, fit.at(series.targetX));
    return text;
}

std::string toJson(const std::vector<Series>& all)
{
    auto json = nlohmann::json::array();
    for (const auto& series : all) {
        const auto fit = fitLine(series.points);
        nlohmann::json points = nlohmann::json::array();
        for (const auto& [x, y] : series.points)
            points.push_back({ { "x", x }, { "y", y } });
        json.push_back({ { "name", series.name }, { "x", series.xName }, { "y", series.yName }, { "points", points },
            { "slope", fit.slope }, { "slope_error", fit.slopeError }, { "intercept", fit.intercept },
            { "r2", fit.determination }, { "target_x", series.targetX }, { "at_target", fit.at(series.targetX) } });
    }
    return json.dump(2) + "\n";
}

std::string toGnuplot(const std::vector<Series>& all, const std::string& directory)
{
    std::string text = "set terminal svg size 640,400 font 'sans,12'\nset key left top\nset grid\n";
    for (const auto& series : all) {
        const auto fit = fitLine(series.points);
        text += fmt::format("set output \"{}/{}.svg\"\nset xlabel \"{}\"\nset ylabel \"{}\"\n", directory, series.name,
            series.xName, series.yName);
        text += fmt::format("plot [0:*] [0:*] '-' with points pt 7 title 'measured', {} + {} * x title 'fit'\n",
            fit.intercept, fit.slope);
        for (const auto& [x, y] : series.points)
            text += fmt::format("{} {}\n", x, y);
        text += "e\n";
    }
    return text;
}

}
