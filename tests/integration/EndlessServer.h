// A server whose answers have no end, until it is destroyed.
//
//   EndlessServer S("HTTP/1.1 200 OK\r\n\r\n");
//   // list S.address() as an endpoint or an engine
//   S.answers(); S.bytesSent("GET /health ");

#ifndef HAWTHORNROAD_TESTS_INTEGRATION_ENDLESSSERVER_H
#define HAWTHORNROAD_TESTS_INTEGRATION_ENDLESSSERVER_H

#include "tests/unit/RawSocket.h"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace hawthornroad {

class EndlessServer {
public:
  // Head: what each answer begins with.
  explicit EndlessServer(std::string Head)
      : Head_(std::move(Head)), Listener_(RawSocket::listenAt(Port_)),
        Accepting_([this] { acceptAll(); }) {}
  ~EndlessServer() {
    IsEnding_ = true;
    ::shutdown(Listener_.handle(), SHUT_RDWR);
    Accepting_.join();
    for (std::thread &Each : Answering_)
      Each.join();
  }
  EndlessServer(const EndlessServer &) = delete;
  EndlessServer &operator=(const EndlessServer &) = delete;

  std::string address() const { return "127.0.0.1:" + std::to_string(Port_); }
  int answers() const { return Answers_; }
  // Of each ended answer to a request that begins so.
  std::vector<std::size_t> bytesSent(const std::string &Request) const {
    std::lock_guard Lock(Mutex_);
    std::vector<std::size_t> Out;
    for (const auto &[Text, Bytes] : Ended_)
      if (Text.starts_with(Request))
        Out.push_back(Bytes);
    return Out;
  }

private:
  void acceptAll() {
    for (;;) {
      RawSocket S = Listener_.accept();
      if (IsEnding_ || S.handle() < 0)
        return;
      Answering_.emplace_back(
          [this, Connection = std::move(S)] { answer(Connection); });
    }
  }
  void answer(const RawSocket &S) {
    const std::string Part = "10000\r\n" + std::string(0x10000, 'x') + "\r\n";
    std::string Request = S.readUntil("\r\n\r\n");
    ++Answers_;
    S.trySend(Head_);
    std::size_t Bytes = 0;
    while (!IsEnding_ && S.trySend(Part))
      Bytes += Part.size();
    std::lock_guard Lock(Mutex_);
    Ended_.emplace_back(std::move(Request), Bytes);
  }

  std::string Head_;
  std::uint16_t Port_ = 0;
  RawSocket Listener_;
  std::atomic<bool> IsEnding_{false};
  std::atomic<int> Answers_{0};
  mutable std::mutex Mutex_;
  // Each request with the bytes of the answer's body.
  std::vector<std::pair<std::string, std::size_t>> Ended_;
  std::vector<std::thread> Answering_;
  std::thread Accepting_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TESTS_INTEGRATION_ENDLESSSERVER_H
