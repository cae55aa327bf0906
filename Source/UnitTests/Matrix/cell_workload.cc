// Workload of a cell of the fault matrix, and the checks of its replies.
#include "Common/json.h"
#include "UnitTests/Matrix/cell_run.h"

namespace tiller::test {
namespace {

using traffic::RequestKind;

// Limit that the checks allow until a withdrawn key is rejected.
constexpr Milliseconds kKeyWithdrawalLimit{10'000};
// Time from the start of the workload to an operator's promotion.
constexpr Milliseconds kPromotionDelay{1'500};
constexpr Milliseconds kFloodInterval{10};

}  // namespace

void CellRun::AdvanceWorkload() {
  const auto now = Now();
  if (m_second_fault_at && now >= *m_second_fault_at) {
    m_second_fault_at.reset();
    InjectFault(m_cell.second);
  }
  if (!m_promotion_requested && now - m_workload_start >= kPromotionDelay) {
    m_promotion_requested = true;
    Json::Value arguments;
    arguments["name"] = kGroup;
    int host = 0;
    while (!m_simulation.HostAlive(host)) ++host;
    m_simulation.SendOperatorCommand(host, control::OperatorVerb::kPromote,
                                     arguments,
                                     [](const Result<Json::Value>&) {});
  }
  for (auto& session : m_sessions) {
    if (!session.request_pending) AdvanceSession(&session);
  }
  if (now >= m_next_flood_at) {
    m_next_flood_at = now + kFloodInterval;
    SendFloodRequest();
  }
}

void CellRun::AdvanceSession(CallerSession* session) {
  if (m_random.UniformBelow(3) != 0) return;
  session->request_pending = true;
  if (session->uses_transactions && !session->transaction.empty()) {
    return AdvanceTransaction(session);
  }
  if (m_random.UniformBelow(2) == 0) return SendRead(session);
  if (session->uses_transactions) return AdvanceTransaction(session);
  SendWrite(session);
}

void CellRun::CountReply(const traffic::Reply& reply) {
  if (!reply.error) {
    ++m_result.answered;
  } else if (reply.error->outcome == RunOutcome::kUnknown) {
    ++m_result.unknown;
  } else {
    ++m_result.refused;
  }
}

void CellRun::HandleWriteReply(CallerSession* session,
                               const traffic::Reply& reply, int writes) {
  session->request_pending = false;
  CountReply(reply);
  auto& model = session->model;
  const auto count = static_cast<std::uint64_t>(writes);
  if (!reply.error) {
    model.acknowledged += count;
    session->token = reply.token;
  } else if (reply.error->outcome == RunOutcome::kUnknown) {
    model.unknown += count;
  }
}

void CellRun::SendWrite(CallerSession* session) {
  auto request = m_simulation.MakeIncrement(session->workspace, session->row);
  request.token = session->token;
  request.deadline = Milliseconds(3'000);
  ++session->write_count;
  if (session->uses_idempotency_keys) {
    request.idempotency_key =
        session->row + "-" + std::to_string(session->write_count);
  }
  session->host = PickHost();
  // The write counts as unknown until it is answered: a host that dies gives no
  // answer, and its write may or may not have run.
  ++session->model.unknown;
  m_simulation.Send(session->host, request,
                    [this, session](const traffic::Reply& reply) {
                      --session->model.unknown;
                      HandleWriteReply(session, reply, 1);
                    });
}

void CellRun::SendRead(CallerSession* session) {
  auto request = m_simulation.MakeRead(session->workspace, session->row);
  request.token = session->token;
  request.deadline = Milliseconds(3'000);
  if (m_random.UniformBelow(4) == 0) request.max_staleness = Milliseconds(0);
  session->host = PickHost();
  m_simulation.Send(session->host, request, [this, session](const auto& reply) {
    HandleReadReply(session, reply);
  });
}

void CellRun::HandleReadReply(CallerSession* session,
                              const traffic::Reply& reply) {
  session->request_pending = false;
  CountReply(reply);
  if (reply.error) return;
  session->token = reply.token;
  const auto body = ParseJson(reply.body);
  const auto& rows = body ? body.value()["rows"] : Json::Value::nullSingleton();
  if (!rows.isArray() || rows.size() > 1 ||
      (rows.size() == 1 && rows[0][2].asString() != session->row)) {
    return AddBreach(Guarantee::kWholeOwnAnswer, reply.body);
  }
  if (rows.size() == 1 && rows[0][1].asString() != session->workspace) {
    return AddBreach(Guarantee::kRightWorkspaceAndKeys, reply.body);
  }
  const std::uint64_t version =
      rows.empty() ? 0 : std::stoull(rows[0][0].asString());
  const auto& model = session->model;
  if (version < model.acknowledged) {
    AddBreach(Guarantee::kReadYourWrites,
              session->row + " read " + reply.body + " after " +
                  std::to_string(model.acknowledged));
  }
  if (version > model.acknowledged + model.unknown) {
    AddBreach(Guarantee::kNotRunIsTrue,
              session->row + " read " + reply.body + " after " +
                  std::to_string(model.acknowledged) + " and " +
                  std::to_string(model.unknown) + " unknown");
  }
}

void CellRun::AdvanceTransaction(CallerSession* session) {
  auto request = m_simulation.MakeIncrement(session->workspace, session->row);
  request.token = session->token;
  request.deadline = Milliseconds(3'000);
  if (session->transaction.empty()) {
    request.kind = RequestKind::kBegin;
    request.statements.clear();
    session->host = PickHost();
    session->transaction_writes = 0;
    return m_simulation.Send(
        session->host, request, [session](const traffic::Reply& reply) {
          session->request_pending = false;
          if (reply.error) return;
          const auto body = ParseJson(reply.body);
          session->transaction = StringOr(body.value(), "transaction");
        });
  }
  request.transaction = session->transaction;
  if (session->transaction_writes < 2) {
    request.kind = RequestKind::kTransactionExecute;
    return m_simulation.Send(session->host, request,
                             [session](const traffic::Reply& reply) {
                               session->request_pending = false;
                               ++session->transaction_writes;
                               // After any error, nothing was committed.
                               if (reply.error) session->transaction.clear();
                             });
  }
  request.kind = RequestKind::kCommit;
  request.statements.clear();
  ++session->write_count;
  if (session->uses_idempotency_keys) {
    request.idempotency_key =
        session->row + "-" + std::to_string(session->write_count);
  }
  session->transaction.clear();
  session->model.unknown += 2;
  m_simulation.Send(session->host, request,
                    [this, session](const traffic::Reply& reply) {
                      session->model.unknown -= 2;
                      HandleWriteReply(session, reply, 2);
                    });
}

// The second workspace sends far more requests than its rate allows, to all
// hosts.
void CellRun::SendFloodRequest() {
  auto request = m_simulation.MakeRead("w2", "x");
  request.deadline = Milliseconds(1'000);
  const auto sent = Now();
  ++m_flood_sent;
  m_simulation.Send(PickHost(), request, [this, sent](const auto& reply) {
    if (reply.error) return;
    ++m_flood_answered;
    if (m_key_withdrawn_at &&
        sent - *m_key_withdrawn_at > kKeyWithdrawalLimit) {
      AddBreach(Guarantee::kRightWorkspaceAndKeys,
                "a withdrawn key was honoured after the limit");
    }
  });
}

}  // namespace tiller::test
