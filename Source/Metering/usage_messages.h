// Messages between hosts about usage.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "Common/types.h"

namespace tiller::metering {

// Number of a window of the wall clock: its start divided by its length.
using WindowNumber = std::uint64_t;
using Counts = std::map<WorkspaceId, std::uint64_t>;

// Operations that one process has counted, for the host that reports them.
struct UsageCounts {
  struct Window {
    WindowNumber window = 0;
    // Totals of the window so far: of all its workspaces if `final`, otherwise
    // of those that changed since the last message.
    Counts counts;
    // The window is over and nothing more will be counted in it.
    bool final = false;
  };
  // The host of the process, if the message is passed on by another host.
  HostId host{};
  std::uint64_t process = 0;   // random number of the sender's process
  std::uint64_t sequence = 0;  // rises with each message of the process
  // The first window of which this process has counted everything.
  WindowNumber counted_from = 0;
  // The sender's time of day minus its estimate of the store's time.
  Milliseconds clock_offset{0};
  // The process does not know the holder. The receiver passes the message on to
  // it, and the holder announces itself to the process.
  bool seeking = false;
  bool leaving = false;  // this is the last message of the process
  std::vector<Window> windows;
};

// Announces the host that reports usage.
struct UsageHolder {
  std::uint64_t token = 0;
  // The text of all windows up to this one is stored or given up.
  WindowNumber stored = 0;
  // True time minus the store's time.
  Milliseconds clock_offset{0};
  bool released = false;  // the sender has given up the duty
};

}  // namespace tiller::metering
