/// Guards against log events that are missing in docs/OPERATIONS.md.

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>
#include <string>

namespace {

const std::filesystem::path kSource = DEWCRANK_SOURCE_DIR;
const char* const kFolders[] = {"src/sidecar",  "src/entry",      "src/relay", "src/fleet",
                                "src/instance", "src/quarantine", "src/quota", "apps/sidecar"};
const char* const kFiles[] = {"src/adapters/rate_limited_log.cc", "src/adapters/process_log.cc",
                              "src/adapters/response_cut_log.cc"};

std::string readFile(const std::filesystem::path& file) {
    std::ifstream stream(file);
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

void addEvents(const std::filesystem::path& file, std::set<std::string>* names) {
    static const std::regex kEvent("Event\\((?:[a-z_ ]+ \\? )?\"([a-z_]+)\"(?: : \"([a-z_]+)\")?");
    const auto text = readFile(file);
    for (std::sregex_iterator it(text.begin(), text.end(), kEvent), end; it != end; ++it) {
        names->insert((*it)[1]);
        if ((*it)[2].matched) {
            names->insert((*it)[2]);
        }
    }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(unit_adapters_event_names)

BOOST_AUTO_TEST_CASE(every_event_is_documented_for_operators) {
    std::set<std::string> names;
    for (const auto* folder : kFolders) {
        for (const auto& entry : std::filesystem::directory_iterator(kSource / folder)) {
            addEvents(entry.path(), &names);
        }
    }
    for (const auto* file : kFiles) {
        addEvents(kSource / file, &names);
    }
    BOOST_TEST(names.size() > 15U);
    BOOST_TEST(names.contains("relay_refused"));
    const auto operators_page = readFile(kSource / "docs/OPERATIONS.md");
    for (const auto& name : names) {
        BOOST_TEST(operators_page.find(name) != std::string::npos, name << " is not documented");
    }
}

BOOST_AUTO_TEST_SUITE_END()
