/// One contract for the store as nodes use it, run against the platform's translation with the
/// stand-in of the store, and against the simulator's model; and the operators' side of the first.

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

constexpr Duration kWatchWait = 200ms;

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

/// A store under test, with a way to let time pass until something has happened.
class StoreUnderTest {
public:
    virtual ~StoreUnderTest() = default;
    virtual ControlStore& store() = 0;
    virtual void runUntil(const std::function<bool()>& done) = 0;
    virtual void putTable(std::uint64_t version) = 0;
    virtual void setDown(bool is_down) = 0;
    virtual void compactHistory() = 0;
    /// The store loses all that was written since `saveCopy`.
    virtual void saveCopy() = 0;
    virtual void restoreFromBackup() = 0;
};

class PlatformStore : public StoreUnderTest, public tests::LoopFixture {
public:
    PlatformStore() {
        runOrReport(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(address, server.listen({"127.0.0.1", 0}));
                client_ = std::make_unique<platform::ObjectStore>(http, address.text());
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
    void setDown(bool is_down) override { server.faults().refuses_with = is_down ? 503 : 0; }
    void compactHistory() override { server.faults().forgets = true; }
    void saveCopy() override { server.saveCopy(); }
    void restoreFromBackup() override { server.restoreFromBackup(); }

    adapters::SeededRandom random{1};
    adapters::HttpClient http{loop, adapters::HttpLimits{}};
    standins::ObjectStore server{loop, random};
    std::unique_ptr<platform::ConfigStore> config;

private:
    std::unique_ptr<platform::ObjectStore> client_;
};

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

std::optional<TableRead> readTable(StoreUnderTest& it) {
    std::optional<std::optional<TableRead>> read;
    it.store().readTable([&](std::optional<TableRead> answer) { read = std::move(answer); });
    it.runUntil([&] { return read.has_value(); });
    return *read;
}

std::optional<TableRead> watchTable(StoreUnderTest& it, std::uint64_t revision,
                                    const std::function<void()>& meanwhile) {
    std::optional<std::optional<TableRead>> read;
    it.store().watchTable(revision, kWatchWait, [&](std::optional<TableRead> answer) { read = std::move(answer); });
    meanwhile();
    it.runUntil([&] { return read.has_value(); });
    return *read;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(contract_store)

BOOST_AUTO_TEST_CASE(the_table_is_read_and_watched) {
    forEachStore([](StoreUnderTest& it) {
        auto read = readTable(it);
        BOOST_REQUIRE(read.has_value());
        BOOST_TEST(!read->table.has_value());
        const auto changed = watchTable(it, read->revision, [&] { it.putTable(7); });
        BOOST_REQUIRE(changed.has_value());
        BOOST_REQUIRE(changed->table.has_value());
        BOOST_TEST(changed->table->version() == 7U);
        const auto unchanged = watchTable(it, changed->revision, [] {});
        BOOST_REQUIRE(unchanged.has_value());
        BOOST_TEST(!unchanged->table.has_value());
        BOOST_TEST(readTable(it)->table->version() == 7U);
    });
}

BOOST_AUTO_TEST_CASE(a_watch_from_before_the_history_says_so) {
    forEachStore([](StoreUnderTest& it) {
        it.putTable(1);
        const auto revision = readTable(it)->revision;
        it.putTable(2);
        it.compactHistory();
        const auto read = watchTable(it, revision, [] {});
        BOOST_REQUIRE(read.has_value());
        BOOST_TEST(read->revision == 0U);
        BOOST_TEST(!read->table.has_value());
    });
}

BOOST_AUTO_TEST_CASE(nodes_are_announced_listed_and_withdrawn) {
    forEachStore([](StoreUnderTest& it) {
        int done = 0;
        const auto count = [&](bool is_done) { done += is_done ? 1 : 0; };
        std::optional<std::vector<NodeAddress>> listed;
        const auto list = [&] {
            listed.reset();
            it.store().listNodes(Freshness::kNewest,
                                 [&](const std::optional<std::vector<NodeAddress>>& nodes) { listed = nodes; });
            it.runUntil([&] { return listed.has_value(); });
        };
        it.store().announce({"a", "north", "10.0.0.1:1"}, count);
        it.runUntil([&] { return done == 1; });
        it.store().announce({"b", "east", "10.0.0.2:1"}, count);
        it.runUntil([&] { return done == 2; });
        it.store().announce({"a", "north", "10.0.0.9:1"}, count);  // At another address now.
        it.runUntil([&] { return done == 3; });
        list();
        BOOST_REQUIRE(listed->size() == 2U);
        BOOST_TEST(listed->at(0).address == "10.0.0.9:1");
        BOOST_TEST(listed->at(1).zone == "east");
        it.store().withdraw("a", count);
        it.runUntil([&] { return done == 4; });
        list();
        BOOST_REQUIRE(listed->size() == 1U);
        BOOST_TEST(listed->at(0).name == "b");
    });
}

BOOST_AUTO_TEST_CASE(a_store_that_is_away_gives_nothing) {
    forEachStore([](StoreUnderTest& it) {
        it.putTable(1);
        it.setDown(true);
        BOOST_TEST(!readTable(it).has_value());
        std::optional<bool> announced;
        it.store().announce({"a", "north", "10.0.0.1:1"}, [&](bool is_done) { announced = is_done; });
        it.runUntil([&] { return announced.has_value(); });
        BOOST_TEST(!*announced);
        it.setDown(false);
        BOOST_TEST(readTable(it)->table->version() == 1U);
    });
}

BOOST_AUTO_TEST_CASE(a_store_that_is_back_from_a_copy_says_so_and_has_lost_what_came_after) {
    forEachStore([](StoreUnderTest& it) {
        it.putTable(1);
        const auto before = readTable(it);
        const auto era = it.store().era();
        BOOST_TEST(era > 0U);
        it.saveCopy();
        it.putTable(2);
        const auto lost = readTable(it);
        BOOST_TEST(lost->revision > before->revision);
        it.restoreFromBackup();
        const auto read = readTable(it);
        BOOST_REQUIRE(read.has_value());
        BOOST_TEST(it.store().era() == era + 1);
        BOOST_TEST(read->table->version() == 1U);
        BOOST_TEST(read->revision == before->revision);
        const auto unknown = watchTable(it, lost->revision, [] {});  // A revision that it does not have.
        BOOST_REQUIRE(unknown.has_value());
        BOOST_TEST(unknown->revision == 0U);
    });
}

namespace {

struct ConfigFixture : PlatformStore {
    std::optional<StoredTable> read() {
        std::optional<std::optional<StoredTable>> stored;
        config->read([&](std::optional<StoredTable> answer) { stored = std::move(answer); });
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

BOOST_FIXTURE_TEST_CASE(an_edit_is_saved_once_and_keeps_what_the_platform_holds_beside_the_table, ConfigFixture) {
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

BOOST_FIXTURE_TEST_CASE(a_write_whose_answer_is_lost_is_unknown, ConfigFixture) {
    putTable(7);
    auto stored = read();
    server.faults().lost_answers = 1;
    stored->table.set_version(8);
    BOOST_TEST((write(stored->table, stored->revision) == TableWrite::kUnknown));
    server.faults().lost_answers = 0;
    BOOST_TEST(read()->table.version() == 8U);
}

/// The table that is there has the revision of the one that was read, and is another one.
BOOST_FIXTURE_TEST_CASE(an_edit_of_what_was_read_before_the_store_came_back_from_a_copy_is_not_saved, ConfigFixture) {
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
