/// @file
/// A planned stop of the machine at which clients download: one entry, two machines with the service of a download
/// route and of an `unsafe` route, and clients that read their answers slowly.
#pragma once

#include <string>
#include <vector>

#include "review/standins/deployment.h"

namespace review {

/// Figures of the play.
struct PlannedStop {
    std::size_t answer_bytes = 0;  ///< Size of each download.
    ReadPace pace;                 ///< At which clients read them; they are through within their deadline.
    std::vector<int> starts;       ///< When the downloads begin, in milliseconds from the SIGTERM.
};

/// Plays it, judges LOST as the rules have it, and writes the record.
/// @param folder for settings and logs. @return the exit status of a case's script.
int playPlannedStop(const PlannedStop& plan, const std::string& folder, const std::string& record, bool has_trouble);

/// Main function of a case. @return its exit status.
int mainOfPlannedStop(const PlannedStop& plan, int argc, char** argv);

}  // namespace review
