#include <policy/Plots.h>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <map>

namespace Lovageward::Bench {

namespace {

constexpr double panelWidth = 300;
constexpr double panelHeight = 200;
constexpr double margin = 50;
constexpr double lowestLoad = 0.65;
constexpr double highestLoad = 1.25;
constexpr std::size_t columns = 3;
const std::array<const char *, 6> colours = { "#888888", "#cc8800", "#2277cc", "#cc2222", "#22aa55", "#8844bb" };

using Panel = std::vector<const CaseResult *>;

double findHighestValue(const Panel &panel, const MeasureField &field)
{
    double highest = 0;
    for (const auto *result : panel) {
        for (const auto &policyResult : result->policies) {
            highest = std::max(highest, policyResult.quartiles(field.value).upper);
        }
    }
    return highest > 0 ? highest : 1;
}

std::string renderPolicy(const Panel &panel, const MeasureField &field, std::size_t policy, double highest)
{
    std::string points;
    std::string whiskers;
    auto y = [highest](double value) { return panelHeight - value / highest * panelHeight; };
    for (const auto *result : panel) {
        auto x = (result->load - lowestLoad) / (highestLoad - lowestLoad) * panelWidth;
        auto quartiles = result->policies[policy].quartiles(field.value);
        points += fmt::format("{:.1f},{:.1f} ", x, y(quartiles.median));
        whiskers += fmt::format("<path d=\"M{:.1f} {:.1f}V{:.1f}\"/>", x, y(quartiles.lower), y(quartiles.upper));
    }
    return fmt::format(
        "<g stroke=\"{}\" fill=\"none\" stroke-width=\"1.5\"><polyline points=\"{}\"/>{}</g>\n", colours[policy % colours.size()], points, whiskers);
}

std::string renderPanel(const Panel &panel, const MeasureField &field, double left, double top)
{
    auto highest = findHighestValue(panel, field);
    auto text = fmt::format("<g transform=\"translate({:.0f},{:.0f})\">\n", left, top);
    text += fmt::format("<rect width=\"{:.0f}\" height=\"{:.0f}\" fill=\"none\" stroke=\"#bbb\"/>\n", panelWidth, panelHeight);
    text += fmt::format("<text y=\"-6\">{}: {}</text>\n", panel.front()->deployment, nameOf(panel.front()->disturbance));
    text += fmt::format(
        "<text x=\"-4\" y=\"10\" text-anchor=\"end\">{:.3g}</text><text x=\"-4\" y=\"{:.0f}\" text-anchor=\"end\">0</text>\n", highest, panelHeight);
    for (const auto *result : panel) {
        auto x = (result->load - lowestLoad) / (highestLoad - lowestLoad) * panelWidth;
        text += fmt::format("<text x=\"{:.0f}\" y=\"{:.0f}\" text-anchor=\"middle\">{:.0f}%</text>\n", x, panelHeight + 14, result->load * 100);
    }
    for (std::size_t policy = 0; policy < panel.front()->policies.size(); ++policy) {
        text += renderPolicy(panel, field, policy, highest);
    }
    return text + "</g>\n";
}

std::vector<Panel> makePanels(const std::vector<CaseResult> &results)
{
    std::map<std::pair<std::string, Disturbance>, Panel> panels;
    for (const auto &result : results) {
        panels[{ result.deployment, result.disturbance }].push_back(&result);
    }
    std::vector<Panel> sorted;
    sorted.reserve(panels.size());
    for (const auto &[key, panel] : panels) {
        sorted.push_back(panel);
    }
    return sorted;
}

std::string renderPlot(const std::vector<Panel> &panels, const MeasureField &field)
{
    auto rows = (panels.size() + columns - 1) / columns;
    auto width = columns * (panelWidth + margin) + margin;
    auto height = static_cast<double>(rows) * (panelHeight + margin) + 2 * margin;
    auto text = fmt::format(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{:.0f}\" height=\"{:.0f}\" font-family=\"sans-serif\" font-size=\"11\">\n", width, height);
    text += "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
    text += fmt::format(
        "<text x=\"{:.0f}\" y=\"18\" font-size=\"14\">{} (fake engine; median and quartiles over seeds; x: share of capacity)</text>\n", margin, field.title);
    for (std::size_t policy = 0; policy < panels.front().front()->policies.size(); ++policy) {
        auto x = margin + static_cast<double>(policy) * 150;
        text += fmt::format(
            "<text x=\"{:.0f}\" y=\"36\" fill=\"{}\">{}</text>\n", x, colours[policy % colours.size()], panels.front().front()->policies[policy].policy);
    }
    for (std::size_t index = 0; index < panels.size(); ++index) {
        auto left = margin + static_cast<double>(index % columns) * (panelWidth + margin);
        auto line = index / columns;
        auto top = margin + 20 + static_cast<double>(line) * (panelHeight + margin);
        text += renderPanel(panels[index], field, left, top);
    }
    return text + "</svg>\n";
}

}

void writePlots(const std::vector<CaseResult> &results, const std::filesystem::path &directory)
{
    std::filesystem::create_directories(directory);
    auto panels = makePanels(results);
    if (panels.empty()) {
        return;
    }
    for (const auto &field : measureFields()) {
        std::ofstream file(directory / fmt::format("policy-{}.svg", field.key));
        file << renderPlot(panels, field);
    }
}

}
