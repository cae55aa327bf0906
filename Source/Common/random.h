// Random number interface, so that decisions can be reproduced with a fixed
// seed.
#pragma once

#include <cstdint>
#include <random>

namespace tiller {

class Random {
 public:
  virtual ~Random() = default;
  virtual std::uint64_t Next() = 0;
  // Uniform in [0, bound); 0 when bound is 0.
  std::uint64_t UniformBelow(std::uint64_t bound) {
    return bound == 0 ? 0 : Next() % bound;
  }
};

class SeededRandom final : public Random {
 public:
  explicit SeededRandom(std::uint64_t seed) : m_engine(seed) {}
  std::uint64_t Next() override { return m_engine(); }

 private:
  std::mt19937_64 m_engine;
};

}  // namespace tiller
