// JSON-RPC 2.0 by libjsonrpccpp's codec and dispatch. The library's own
// headers compile only as C++14, so they stay behind this one.
#pragma once

#include <json/json.h>

#include <functional>
#include <memory>
#include <string>

namespace tiller::peer {

// Dispatches the text of one request and returns the text of its answer; the
// answer to a notification is empty. Malformed requests and unknown methods
// get JSON-RPC's own error objects. Every call takes one parameter, "body".
class RpcServer {
 public:
  using Method = std::function<Json::Value(const Json::Value& body)>;
  using Notification = std::function<void(const Json::Value& body)>;

  RpcServer();
  ~RpcServer();
  void AddMethod(const std::string& name, Method method);
  void AddNotification(const std::string& name, Notification notification);
  std::string Handle(const std::string& request);

 private:
  class Dispatcher;
  std::unique_ptr<Dispatcher> m_dispatcher;
};

// The text of a notification.
std::string EncodeNotification(const std::string& name,
                               const Json::Value& body);

struct RpcResult {
  bool ok = false;
  Json::Value value;
  std::string failure;  // JSON-RPC's message when not ok
};
// Calls a method through `transport`, which carries the text of a request and
// returns the text of its answer, empty when it failed.
using RpcTransport = std::function<std::string(const std::string& request)>;
RpcResult CallMethod(const RpcTransport& transport, const std::string& name,
                     const Json::Value& body);

}  // namespace tiller::peer
