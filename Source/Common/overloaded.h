// Builds a visitor for std::visit() from one lambda per alternative.
#pragma once

namespace tiller {

template <typename... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

}  // namespace tiller
