// Implementation of JSON-RPC over libjsonrpccpp; compiled as C++14.
#include "Peer/json_rpc.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include <map>
#include <utility>

namespace tiller {
namespace peer {
namespace {

constexpr char kBodyParameter[] = "body";

// Records the text of the request, and sends it only if there is a transport.
class CapturingConnector : public jsonrpc::IClientConnector {
 public:
  explicit CapturingConnector(const RpcTransport& transport)
      : m_transport(transport) {}
  void SendRPCMessage(const std::string& message, std::string& result) throw(
      jsonrpc::JsonRpcException) override {
    m_sent = message;
    if (m_transport) result = m_transport(message);
  }
  const std::string& Sent() const { return m_sent; }

 private:
  const RpcTransport m_transport;
  std::string m_sent;
};

Json::Value MakeParameters(const Json::Value& body) {
  Json::Value parameters;
  parameters[kBodyParameter] = body;
  return parameters;
}

}  // namespace

class RpcServer::Dispatcher : public jsonrpc::IProcedureInvokationHandler {
 public:
  Dispatcher()
      : m_handler(jsonrpc::RequestHandlerFactory::createProtocolHandler(
            jsonrpc::JSONRPC_SERVER_V2, *this)) {}

  void Add(const std::string& name, Method method) {
    m_handler->AddProcedure(
        jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT,
                           kBodyParameter, jsonrpc::JSON_OBJECT, nullptr));
    m_methods[name] = std::move(method);
  }
  void Add(const std::string& name, Notification notification) {
    m_handler->AddProcedure(jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME,
                                               kBodyParameter,
                                               jsonrpc::JSON_OBJECT, nullptr));
    m_notifications[name] = std::move(notification);
  }
  std::string Handle(const std::string& request) {
    std::string answer;
    m_handler->HandleRequest(request, answer);
    return answer;
  }

  void HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input,
                        Json::Value& output) override {
    output = m_methods[procedure.GetProcedureName()](input[kBodyParameter]);
  }
  void HandleNotificationCall(jsonrpc::Procedure& procedure,
                              const Json::Value& input) override {
    m_notifications[procedure.GetProcedureName()](input[kBodyParameter]);
  }

 private:
  std::unique_ptr<jsonrpc::IProtocolHandler> m_handler;
  std::map<std::string, Method> m_methods;
  std::map<std::string, Notification> m_notifications;
};

RpcServer::RpcServer() : m_dispatcher(new Dispatcher()) {}
RpcServer::~RpcServer() = default;

void RpcServer::AddMethod(const std::string& name, Method method) {
  m_dispatcher->Add(name, std::move(method));
}
void RpcServer::AddNotification(const std::string& name,
                                Notification notification) {
  m_dispatcher->Add(name, std::move(notification));
}
std::string RpcServer::Handle(const std::string& request) {
  return m_dispatcher->Handle(request);
}

std::string EncodeNotification(const std::string& name,
                               const Json::Value& body) {
  CapturingConnector connector(nullptr);
  jsonrpc::Client client(connector);
  client.CallNotification(name, MakeParameters(body));
  return connector.Sent();
}

RpcResult CallMethod(const RpcTransport& transport, const std::string& name,
                     const Json::Value& body) {
  CapturingConnector connector(transport);
  jsonrpc::Client client(connector);
  RpcResult result;
  try {
    result.value = client.CallMethod(name, MakeParameters(body));
    result.ok = true;
  } catch (const jsonrpc::JsonRpcException& failure) {
    result.failure = failure.what();
  }
  return result;
}

}  // namespace peer
}  // namespace tiller
