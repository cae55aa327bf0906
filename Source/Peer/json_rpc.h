// JSON-RPC 2.0 on libjsonrpccpp's codec and dispatcher. The library's headers
// compile only as C++14, so only json_rpc.cc includes them.
#pragma once

#include <json/json.h>

#include <functional>
#include <memory>
#include <string>

namespace tiller::peer {

// Dispatches JSON-RPC requests to registered methods and notifications.
// Handle() takes the text of one request and returns the text of its response,
// which is empty for a notification. Malformed requests and unknown methods are
// answered with JSON-RPC error objects. Every call takes one parameter, "body".
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

// Returns the request text of a notification.
std::string EncodeNotification(const std::string& name,
                               const Json::Value& body);

struct RpcResult {
  bool ok = false;
  Json::Value value;
  std::string failure;  // JSON-RPC's message when not ok
};
// Calls a method through `transport`, which sends the text of a request and
// returns the text of its response, or an empty text if that failed.
using RpcTransport = std::function<std::string(const std::string& request)>;
RpcResult CallMethod(const RpcTransport& transport, const std::string& name,
                     const Json::Value& body);

}  // namespace tiller::peer
