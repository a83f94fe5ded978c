#include "hawthornroad/base/Error.h"

namespace hawthornroad {

std::string_view toString(Step S) {
  switch (S) {
  case Step::Settings:
    return "settings";
  case Step::Declaration:
    return "declaration";
  case Step::Chart:
    return "chart";
  case Step::Listen:
    return "listen";
  case Step::Connect:
    return "connect";
  case Step::Receive:
    return "receive";
  case Step::Send:
    return "send";
  case Step::Admission:
    return "admission";
  case Step::Choice:
    return "choice";
  case Step::Claim:
    return "claim";
  case Step::Dispatch:
    return "dispatch";
  case Step::Run:
    return "run";
  case Step::Answer:
    return "answer";
  case Step::Table:
    return "table";
  case Step::ObjectStore:
    return "object-store";
  case Step::Manifest:
    return "manifest";
  case Step::Fetch:
    return "fetch";
  case Step::Verify:
    return "verify";
  case Step::Order:
    return "order";
  case Step::Apply:
    return "apply";
  case Step::Gossip:
    return "gossip";
  }
  return "unknown";
}

namespace {
std::string describe(Step Where, const std::string &Peer,
                     const std::string &Message) {
  std::string Text(toString(Where));
  if (!Peer.empty())
    Text += ": " + Peer;
  return Text + ": " + Message;
}
} // namespace

Error::Error(Step Where, std::string Peer, const std::string &Message)
    : std::runtime_error(describe(Where, Peer, Message)), Where_(Where),
      Peer_(std::move(Peer)), Message_(Message) {}

} // namespace hawthornroad
