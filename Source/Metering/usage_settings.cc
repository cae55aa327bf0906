// Implementation of the settings of the usage reports.
#include "Metering/usage_settings.h"

#include <algorithm>
#include <cmath>

namespace tiller::metering {
namespace {

constexpr double kMillisecondsPerSecond = 1'000;

Milliseconds FromSeconds(double seconds) {
  return Milliseconds(std::llround(seconds * kMillisecondsPerSecond));
}

}  // namespace

bool UsageSettings::Active() const {
  if (duty.empty() || Window() <= Milliseconds{0}) return false;
  std::string list = "," + duties + ",";
  list.erase(std::remove(list.begin(), list.end(), ' '), list.end());
  return list.find("," + duty + ",") != std::string::npos;
}

Milliseconds UsageSettings::Window() const { return FromSeconds(window_s); }

Milliseconds UsageSettings::Deadline() const { return FromSeconds(deadline_s); }

}  // namespace tiller::metering
