// Settings of the usage reports.
#pragma once

#include <string>

#include "Common/types.h"

namespace tiller::metering {

struct UsageSettings {
  // Usage is reported if `duty` is one of `duties`, which commas separate, and
  // a window is set.
  std::string duty{};
  std::string duties{};
  double window_s = 0;
  // From the end of a window until its report is due.
  double deadline_s = 10;

  bool Active() const;
  Milliseconds Window() const;
  Milliseconds Deadline() const;
};

}  // namespace tiller::metering
