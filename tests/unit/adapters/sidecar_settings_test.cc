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

BOOST_AUTO_TEST_CASE(parts_of_the_overload_control_are_off_unless_the_settings_switch_them_on) {
    const SettingsFile file(kValidSettings +
                            "[overload]\npace_balancing = true\nzone_balancing = \"1\"\nretry_admission = \"0\"\n"
                            "fair_shares = \"\"\n");
    adapters::SidecarSettings settings;
    const auto error = tests::errorOf([&]() -> Result<int> {
        BOOST_LEAF_ASSIGN(settings, adapters::readSidecarSettings(file.path));
        return 0;
    });
    BOOST_TEST(error == "");
    BOOST_TEST(settings.overload.pace_balancing);
    BOOST_TEST(settings.overload.zone_balancing);
    BOOST_TEST(!settings.overload.retry_admission);
    BOOST_TEST(!settings.overload.fair_shares);
    BOOST_TEST(!settings.overload.return_priority);
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
        {kValidSettings + "[stop]\ngrace_s = true\n", "stop.grace_s: 'true' is not a number from 1 to 3600"},
        {kValidSettings + "[stop]\ngrace_s = [1]\n", "a string, a number or a boolean is expected"},
        {kValidSettings + "[overload]\nfair_shares = \"yes\"\n",
         "sidecar-settings-test.toml:14: overload.fair_shares: 'yes' is neither true, false nor a number from 0"},
        {kValidSettings + "[overload]\nfair_shares = -1\n", "overload.fair_shares: '-1' is neither"},
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
