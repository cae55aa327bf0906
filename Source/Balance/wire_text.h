// Text of schedules and load reports, as hosts and shared pools exchange them:
// numbers separated by commas, with times in milliseconds.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "Balance/load_report.h"
#include "Balance/schedule.h"

namespace tiller::balance {

// priority,until_target,until_limit,begins_transaction
std::string TextOf(const Schedule& schedule);
std::optional<Schedule> ParseSchedule(std::string_view text);
// in_progress,waiting,connections,at_limit,expected_wait
std::string TextOf(const LoadReport& load);
std::optional<LoadReport> ParseLoadReport(std::string_view text);

}  // namespace tiller::balance
