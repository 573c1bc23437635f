#include "src/adapters/sidecar_settings.h"

#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <fstream>

#include "tests/support/fakes.h"

using namespace dewcrank;

namespace {

const std::string kValidSettings = R"(name = "n1"
zone = "z"
service = "s"
[listen]
callers = "10.0.0.1:1"
nodes = "10.0.0.1:2"
heartbeats = "10.0.0.1:3"
readiness = "10.0.0.1:4"
[instance]
address = "10.0.0.1:5"
[store]
address = "10.0.0.2:6"
)";

struct SettingsFile {
    explicit SettingsFile(const std::string& text) { std::ofstream(path) << text; }
    ~SettingsFile() { std::remove(path.c_str()); }
    std::string path = "sidecar-settings-test.toml";
};

std::string errorIn(const std::string& text) {
    const SettingsFile file(text);
    return tests::errorOf([&]() -> Result<int> {
        BOOST_LEAF_CHECK(adapters::readSidecarSettings(file.path));
        return 0;
    });
}

}  // namespace

BOOST_AUTO_TEST_SUITE(unit_adapters_sidecar_settings)

BOOST_AUTO_TEST_CASE(good_settings_are_read_and_empty_ones_keep_their_default) {
    const SettingsFile file(kValidSettings + "[retries]\nratio = \"0.25\"\nslack = \"\"\nwindow_s = 7\n");
    adapters::SidecarSettings settings;
    const auto error = tests::errorOf([&]() -> Result<int> {
        BOOST_LEAF_ASSIGN(settings, adapters::readSidecarSettings(file.path));
        return 0;
    });
    BOOST_TEST(error == "");
    BOOST_TEST(settings.nodes.text() == "10.0.0.1:2");
    BOOST_TEST(settings.retry_limit.ratio == 0.25);
    BOOST_TEST(settings.retry_limit.slack == 10);
    BOOST_TEST((settings.retry_limit.window == 7s));
    BOOST_TEST(adapters::describeSidecarSettings(settings).find("store.address = 10.0.0.2:6") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_fault_names_its_file_line_key_and_what_is_allowed) {
    const struct {
        std::string text;
        const char* expected;
    } cases[] = {
        {"name = \"n\"\n", "is missing"},
        {kValidSettings + "[retries]\nratio = \"x\"\n",
         "sidecar-settings-test.toml:14: retries.ratio: 'x' is not a number from 0"},
        {kValidSettings + "[retries]\nratio = 3\n", "is not a number from 0 to 1"},
        {kValidSettings + "[retries]\nodd = 3\n", "sidecar-settings-test.toml:14: retries.odd: unknown key"},
        {kValidSettings + "[stop]\ngrace_s = true\n", "a string or a number is expected"},
        {"name = \"\"\n" + kValidSettings.substr(kValidSettings.find('\n') + 1), "name: must not be empty"},
        {"name = \"n\"\nzone\n", "sidecar-settings-test.toml:2"},
    };
    for (const auto& entry : cases) {
        const auto error = errorIn(entry.text);
        BOOST_TEST(error.find(entry.expected) != std::string::npos, error);
    }
    auto bad_address = kValidSettings;
    bad_address.replace(bad_address.find("10.0.0.1:2"), 10, "localhost:");
    BOOST_TEST(errorIn(bad_address).find("listen.nodes: 'localhost:' is not ip:port") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
