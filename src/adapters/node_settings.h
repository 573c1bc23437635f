/// @file
/// Settings of the node daemon: a TOML file, every key of which is also a flag.
#pragma once

#include <string>
#include <vector>

#include "src/adapters/http_parser.h"
#include "src/adapters/socket_address.h"
#include "src/base/error.h"
#include "src/base/time.h"
#include "src/node/settings.h"

namespace dewcrank::adapters {

/// A member of the platform and the credential by which its callers are known.
struct MemberCredential {
    std::string name;
    std::string token;
};

/// All that the daemon is told.
struct NodeSettings {
    std::string fleet;
    std::string zone;
    SocketAddress callers;
    SocketAddress services;
    SocketAddress operators;
    SocketAddress peers;
    SocketAddress store;
    SocketAddress machines;
    HttpLimits limits;
    Duration caller_timeout = 30s;
    std::string log_file;
    std::vector<node::Seed> seeds;
    std::vector<MemberCredential> members;
};

/// One key that a flag has set, such as {"listen.callers", "127.0.0.1:8080"}.
struct FlagValue {
    std::string key;
    std::string value;
};

/// Reads the file, if one is named, puts the flags over it and checks the whole.
/// An error names the file with its line, or the flag, and the key, and says what is allowed.
Result<NodeSettings> readNodeSettings(const std::string& file, const std::vector<FlagValue>& flags);

/// The settings as a TOML file that gives the same settings again; tokens are left out.
std::string describeNodeSettings(const NodeSettings& settings);

/// Keys of plain values, as "section.key", with their meaning; the flags are made from them.
struct SettingKey {
    const char* key;
    const char* meaning;
};
const std::vector<SettingKey>& settingKeys();

}  // namespace dewcrank::adapters
