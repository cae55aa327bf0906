// Keeps signals for the operator's commands pending while a program does not
// handle them. Without it, a SIGHUP or SIGTERM during the start or the exit
// ends the process.
#pragma once

#include <csignal>

namespace tiller {

// Blocks SIGHUP, SIGINT and SIGTERM in this thread and those that it starts.
class SignalBlock {
 public:
  SignalBlock() { Block(); }

  void Block() { pthread_sigmask(SIG_BLOCK, &Signals(), nullptr); }

  // Delivers pending signals, and those to come. Also ends a block that the
  // process has inherited.
  void Release() { pthread_sigmask(SIG_UNBLOCK, &Signals(), nullptr); }

 private:
  static const sigset_t& Signals() {
    static const sigset_t signals = [] {
      sigset_t out;
      sigemptyset(&out);
      for (const int signal : {SIGHUP, SIGINT, SIGTERM}) {
        sigaddset(&out, signal);
      }
      return out;
    }();
    return signals;
  }
};

}  // namespace tiller
