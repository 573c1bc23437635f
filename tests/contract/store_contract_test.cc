/// Contract of ControlStore, run against the platform client with the stand-in store and against the simulator's model;
/// and the contract of TableStore for the platform client. Guards against a model that differs from the platform.

#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>

#include "platform/config_store.h"
#include "platform/object_store.h"
#include "sim/control_store.h"
#include "src/adapters/http_client.h"
#include "src/adapters/seeded_random.h"
#include "tests/contract/loop_fixture.h"
#include "tests/standins/object_store.h"

using namespace dewcrank;

namespace {

constexpr Duration kWatchTimeout = 200ms;

nlohmann::json configOf(const std::string& version) {
    return {
        {"Version", version},
        {"Routes",
         {{"browse",
           {{"Host", "h.example"},
            {"PathPrefix", "/browse/"},
            {"Kind", "download"},
            {"TimeoutMs", 1200},
            {"TargetLatencyMs", 900},
            {"Priority", 2},
            {"MaxAttempts", 2},
            {"Service", "desk"},
            {"Unknown", "kept"}}}}},
        {"Services", {{"desk", {{"HealthPath", "/health"}, {"MaxConnections", 200}, {"Tls", false}}}}},
        {"Limits", {{"MaxHeaderBytes", 100}, {"MaxBodyBytes", 200}, {"HeaderTimeoutMs", 300}, {"IdleTimeoutMs", 400}}}};
}

/// One implementation under test, with control over time and faults.
class StoreUnderTest {
public:
    virtual ~StoreUnderTest() = default;
    virtual ControlStore& store() = 0;
    virtual void runUntil(const std::function<bool()>& done) = 0;
    virtual void putTable(std::uint64_t version) = 0;
    virtual void setDown(bool is_down) = 0;
    /// Discards the revisions before the current one, so that older watches cannot continue.
    virtual void compactHistory() = 0;
    virtual void saveCopy() = 0;
    /// Restores the state at `saveCopy`; later writes are lost.
    virtual void restoreFromBackup() = 0;
};

/// The platform client with the stand-in store, on a real event loop.
class PlatformStore : public StoreUnderTest, public tests::LoopFixture {
public:
    PlatformStore() {
        runOrReport(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(address, server.listen({"127.0.0.1", 0}));
                client_ = std::make_unique<platform::ObjectStore>(http, loop, address.text());
                config = std::make_unique<platform::ConfigStore>(http, address.text());
                return {};
            },
            [](const StepError& error) { BOOST_FAIL(error.text()); });
    }
    ControlStore& store() override { return *client_; }
    void runUntil(const std::function<bool()>& done) override { LoopFixture::runUntil(done); }
    void putTable(std::uint64_t version) override {
        server.put("config", "main", configOf("0000000" + std::to_string(version)));
    }
    void setDown(bool is_down) override { server.faults().error_status = is_down ? 503 : 0; }
    void compactHistory() override { server.faults().expires_history = true; }
    void saveCopy() override { server.saveCopy(); }
    void restoreFromBackup() override { server.restoreFromBackup(); }

    adapters::SeededRandom random{1};
    adapters::HttpClient http{loop, adapters::HttpLimits{}};
    standins::ObjectStore server{loop, random};
    std::unique_ptr<platform::ConfigStore> config;

private:
    std::unique_ptr<platform::ObjectStore> client_;
};

/// The model of the simulator, in virtual time.
class ModelStore : public StoreUnderTest {
public:
    ModelStore() { queue_.runUntil(TimePoint(1s)); }
    ControlStore& store() override { return store_; }
    void runUntil(const std::function<bool()>& done) override {
        for (int step = 0; !done(); ++step) {
            BOOST_REQUIRE_MESSAGE(step < 100'000, "not done in time");
            queue_.runUntil(queue_.now() + 1ms);
        }
    }
    void putTable(std::uint64_t version) override {
        wire::RouteTable table;
        table.set_version(version);
        model_.putTable(table);
    }
    void setDown(bool is_down) override { model_.setDown(is_down); }
    void compactHistory() override { model_.compactHistory(); }
    void saveCopy() override {
        queue_.runUntil(queue_.now() + 1ms);
        saved_ = queue_.now();
        queue_.runUntil(queue_.now() + 1ms);
    }
    void restoreFromBackup() override { model_.restoreFromBackup(queue_.now() - saved_, 60s); }

private:
    sim::EventQueue queue_;
    sim::Host host_{queue_, "north"};
    sim::ControlStoreModel model_{queue_};
    sim::SimControlStore store_{model_, host_};
    TimePoint saved_{};
};

void forEachStore(const std::function<void(StoreUnderTest&)>& body) {
    PlatformStore real;
    body(real);
    ModelStore model;
    body(model);
}

std::optional<TableRead> readTable(StoreUnderTest& fixture) {
    std::optional<std::optional<TableRead>> read;
    fixture.store().readTable([&](std::optional<TableRead> result) { read = std::move(result); });
    fixture.runUntil([&] { return read.has_value(); });
    return *read;
}

std::optional<TableRead> watchTable(StoreUnderTest& fixture, std::uint64_t revision,
                                    const std::function<void()>& meanwhile) {
    std::optional<std::optional<TableRead>> read;
    fixture.store().watchTable(revision, kWatchTimeout,
                               [&](std::optional<TableRead> result) { read = std::move(result); });
    meanwhile();
    fixture.runUntil([&] { return read.has_value(); });
    return *read;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(contract_store)

BOOST_AUTO_TEST_CASE(the_table_is_read_and_watched) {
    forEachStore([](StoreUnderTest& fixture) {
        auto read = readTable(fixture);
        BOOST_REQUIRE(read.has_value());
        BOOST_TEST(!read->table.has_value());
        const auto changed = watchTable(fixture, read->revision, [&] { fixture.putTable(7); });
        BOOST_REQUIRE(changed.has_value());
        BOOST_REQUIRE(changed->table.has_value());
        BOOST_TEST(changed->table->version() == 7U);
        const auto unchanged = watchTable(fixture, changed->revision, [] {});
        BOOST_REQUIRE(unchanged.has_value());
        BOOST_TEST(!unchanged->table.has_value());
        BOOST_TEST(readTable(fixture)->table->version() == 7U);
    });
}

BOOST_AUTO_TEST_CASE(a_watch_from_a_discarded_revision_requires_a_new_read) {
    forEachStore([](StoreUnderTest& fixture) {
        fixture.putTable(1);
        const auto revision = readTable(fixture)->revision;
        fixture.putTable(2);
        fixture.compactHistory();
        const auto read = watchTable(fixture, revision, [] {});
        BOOST_REQUIRE(read.has_value());
        BOOST_TEST(read->revision == 0U);
        BOOST_TEST(!read->table.has_value());
    });
}

BOOST_AUTO_TEST_CASE(nodes_are_announced_listed_and_withdrawn) {
    forEachStore([](StoreUnderTest& fixture) {
        int done = 0;
        const auto countDone = [&](bool is_done) { done += is_done ? 1 : 0; };
        std::optional<std::vector<NodeAddress>> listed;
        const auto refresh = [&] {
            listed.reset();
            fixture.store().listNodes(Freshness::kNewest,
                                      [&](const std::optional<std::vector<NodeAddress>>& nodes) { listed = nodes; });
            fixture.runUntil([&] { return listed.has_value(); });
        };
        fixture.store().announce({"a", "north", "10.0.0.1:1"}, countDone);
        fixture.runUntil([&] { return done == 1; });
        fixture.store().announce({"b", "east", "10.0.0.2:1"}, countDone);
        fixture.runUntil([&] { return done == 2; });
        fixture.store().announce({"a", "north", "10.0.0.9:1"}, countDone);  // Replaces the address.
        fixture.runUntil([&] { return done == 3; });
        refresh();
        BOOST_REQUIRE(listed->size() == 2U);
        BOOST_TEST(listed->at(0).address == "10.0.0.9:1");
        BOOST_TEST(listed->at(1).zone == "east");
        fixture.store().withdraw("a", countDone);
        fixture.runUntil([&] { return done == 4; });
        refresh();
        BOOST_REQUIRE(listed->size() == 1U);
        BOOST_TEST(listed->at(0).name == "b");
    });
}

BOOST_AUTO_TEST_CASE(an_unavailable_store_returns_nothing) {
    forEachStore([](StoreUnderTest& fixture) {
        fixture.putTable(1);
        fixture.setDown(true);
        BOOST_TEST(!readTable(fixture).has_value());
        std::optional<bool> announced;
        fixture.store().announce({"a", "north", "10.0.0.1:1"}, [&](bool is_done) { announced = is_done; });
        fixture.runUntil([&] { return announced.has_value(); });
        BOOST_TEST(!*announced);
        fixture.setDown(false);
        BOOST_TEST(readTable(fixture)->table->version() == 1U);
    });
}

BOOST_AUTO_TEST_CASE(a_restored_store_increments_its_era_and_lacks_later_writes) {
    forEachStore([](StoreUnderTest& fixture) {
        fixture.putTable(1);
        const auto before = readTable(fixture);
        const auto era = fixture.store().era();
        BOOST_TEST(era > 0U);
        fixture.saveCopy();
        fixture.putTable(2);
        const auto lost = readTable(fixture);
        BOOST_TEST(lost->revision > before->revision);
        fixture.restoreFromBackup();
        const auto read = readTable(fixture);
        BOOST_REQUIRE(read.has_value());
        BOOST_TEST(fixture.store().era() == era + 1);
        BOOST_TEST(read->table->version() == 1U);
        BOOST_TEST(read->revision == before->revision);
        const auto unknown =
            watchTable(fixture, lost->revision, [] {});  // Revision that the restored store does not have.
        BOOST_REQUIRE(unknown.has_value());
        BOOST_TEST(unknown->revision == 0U);
    });
}

namespace {

struct ConfigFixture : PlatformStore {
    std::optional<StoredTable> read() {
        std::optional<std::optional<StoredTable>> stored;
        config->read([&](std::optional<StoredTable> result) { stored = std::move(result); });
        PlatformStore::runUntil([&] { return stored.has_value(); });
        return *stored;
    }
    TableWrite write(const wire::RouteTable& table, std::uint64_t expected) {
        std::optional<TableWrite> outcome;
        config->write(table, expected, [&](TableWrite written) { outcome = written; });
        PlatformStore::runUntil([&] { return outcome.has_value(); });
        return *outcome;
    }
};

}  // namespace

BOOST_FIXTURE_TEST_CASE(an_edit_is_saved_once_and_keeps_other_fields_of_the_platform, ConfigFixture) {
    BOOST_TEST(!read().has_value());
    putTable(7);
    auto stored = read();
    BOOST_REQUIRE(stored.has_value());
    stored->table.mutable_routes(0)->set_timeout_ms(800);
    stored->table.set_version(8);
    BOOST_TEST((write(stored->table, stored->revision) == TableWrite::kWritten));
    BOOST_TEST((write(stored->table, stored->revision) == TableWrite::kConflict));
    const auto saved = read();
    BOOST_TEST(saved->table.version() == 8U);
    BOOST_TEST(saved->table.routes(0).timeout_ms() == 800U);
    const auto document = server.get("config", "main");
    BOOST_TEST(document["Routes"]["browse"]["Unknown"] == "kept");
    BOOST_TEST(document["Routes"]["browse"]["Kind"] == "download");
    BOOST_TEST(document["Services"]["desk"]["Tls"] == false);
    BOOST_TEST(document["Limits"]["MaxBodyBytes"] == 200);
}

BOOST_FIXTURE_TEST_CASE(a_write_whose_response_is_lost_is_unknown, ConfigFixture) {
    putTable(7);
    auto stored = read();
    server.faults().lost_responses = 1;
    stored->table.set_version(8);
    BOOST_TEST((write(stored->table, stored->revision) == TableWrite::kUnknown));
    server.faults().lost_responses = 0;
    BOOST_TEST(read()->table.version() == 8U);
}

/// Guards against a lost update: after a restore, another table may have the same revision as the table that was read.
BOOST_FIXTURE_TEST_CASE(an_edit_of_a_table_read_before_a_restore_is_not_saved, ConfigFixture) {
    putTable(7);
    server.saveCopy();
    putTable(8);
    auto stored = read();
    server.restoreFromBackup();
    putTable(9);
    stored->table.set_version(10);
    BOOST_TEST((write(stored->table, stored->revision) == TableWrite::kConflict));
    BOOST_TEST(read()->table.version() == 9U);
}

BOOST_AUTO_TEST_SUITE_END()
