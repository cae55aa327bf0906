// Implementation of JSON-RPC over libjsonrpccpp; compiled as C++14.
#include "Peer/json_rpc.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include <map>
#include <memory>
#include <utility>

namespace tiller {
namespace peer {
namespace {

constexpr char kBodyParameter[] = "body";

// The library's writer replaces bytes that are not UTF-8, so that two names may
// become one. This one leaves texts as they are.
std::string ToText(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  builder["emitUTF8"] = true;
  return Json::writeString(builder, value);
}

// Returns null if the text is malformed.
Json::Value ParseText(const std::string& text) {
  const std::unique_ptr<Json::CharReader> reader(
      Json::CharReaderBuilder().newCharReader());
  Json::Value value;
  if (!reader->parse(text.data(), text.data() + text.size(), &value, nullptr)) {
    return Json::Value();
  }
  return value;
}

Json::Value MakeParameters(const Json::Value& body) {
  Json::Value parameters;
  parameters[kBodyParameter] = body;
  return parameters;
}

// Sends requests with the given parameters, and accepts only answers with the
// id of the request, which the library does not check.
class CheckingConnector : public jsonrpc::IClientConnector {
 public:
  CheckingConnector(const RpcTransport& transport, Json::Value parameters)
      : m_transport(transport), m_parameters(std::move(parameters)) {}
  void SendRPCMessage(const std::string& message, std::string& result) throw(
      jsonrpc::JsonRpcException) override {
    auto request = ParseText(message);
    request["params"] = m_parameters;
    result = m_transport(ToText(request));
    const auto answer = ParseText(result);
    if (!answer.isObject() || answer["id"] != request["id"]) {
      throw jsonrpc::JsonRpcException(
          jsonrpc::Errors::ERROR_CLIENT_INVALID_RESPONSE,
          "the answer is not to this request");
    }
  }

 private:
  const RpcTransport m_transport;
  const Json::Value m_parameters;
};

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
    m_result = Json::Value();
    m_handler->HandleRequest(request, answer);
    auto parsed = ParseText(answer);
    if (!parsed.isObject() || !parsed.isMember("result")) return answer;
    parsed["result"] = m_result;
    return ToText(parsed);
  }

  void HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input,
                        Json::Value& output) override {
    m_result = m_methods[procedure.GetProcedureName()](input[kBodyParameter]);
    output = m_result;
  }
  void HandleNotificationCall(jsonrpc::Procedure& procedure,
                              const Json::Value& input) override {
    m_notifications[procedure.GetProcedureName()](input[kBodyParameter]);
  }

 private:
  std::unique_ptr<jsonrpc::IProtocolHandler> m_handler;
  std::map<std::string, Method> m_methods;
  std::map<std::string, Notification> m_notifications;
  Json::Value m_result;  // of the last method call
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
  Json::Value request;
  request["jsonrpc"] = "2.0";
  request["method"] = name;
  request["params"] = MakeParameters(body);
  return ToText(request);
}

RpcResult CallMethod(const RpcTransport& transport, const std::string& name,
                     const Json::Value& body) {
  CheckingConnector connector(transport, MakeParameters(body));
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
