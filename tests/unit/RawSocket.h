// A TCP socket for tests that misbehave as endpoints and callers may: bytes
// sent late, too many, or ended by a reset. Loopback only; a read waits at most
// five seconds.

#ifndef HAWTHORNROAD_TESTS_UNIT_RAWSOCKET_H
#define HAWTHORNROAD_TESTS_UNIT_RAWSOCKET_H

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <stdexcept>
#include <string>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace hawthornroad {

// Closes its socket when destroyed.
class RawSocket {
public:
  explicit RawSocket(int Handle = -1) : Handle_(Handle) {}
  RawSocket(RawSocket &&Other) noexcept
      : Handle_(std::exchange(Other.Handle_, -1)) {}
  RawSocket &operator=(RawSocket &&Other) noexcept {
    close();
    Handle_ = std::exchange(Other.Handle_, -1);
    return *this;
  }
  ~RawSocket() { close(); }

  static RawSocket connectTo(std::uint16_t Port) {
    RawSocket S(::socket(AF_INET, SOCK_STREAM, 0));
    sockaddr_in At = address(Port);
    REQUIRE(::connect(S.Handle_, reinterpret_cast<sockaddr *>(&At),
                      sizeof(At)) == 0);
    timeval Limit{5, 0};
    ::setsockopt(S.Handle_, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof(Limit));
    return S;
  }
  static RawSocket listenAt(std::uint16_t &Port) {
    RawSocket S(::socket(AF_INET, SOCK_STREAM, 0));
    sockaddr_in At = address(0);
    REQUIRE(::bind(S.Handle_, reinterpret_cast<sockaddr *>(&At), sizeof(At)) ==
            0);
    REQUIRE(::listen(S.Handle_, 16) == 0);
    socklen_t Length = sizeof(At);
    ::getsockname(S.Handle_, reinterpret_cast<sockaddr *>(&At), &Length);
    Port = ntohs(At.sin_port);
    return S;
  }
  RawSocket accept() const {
    RawSocket S(::accept(Handle_, nullptr, nullptr));
    timeval Limit{5, 0};
    ::setsockopt(S.Handle_, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof(Limit));
    return S;
  }
  // For a peer that may have disconnected.
  bool trySend(const std::string &Text) const {
    return ::send(Handle_, Text.data(), Text.size(), MSG_NOSIGNAL) ==
           static_cast<ssize_t>(Text.size());
  }
  // Throws when not all of Text is taken: Catch's assertions may be used by one
  // thread at a time only, and servers of tests have threads of their own.
  void send(const std::string &Text) const {
    if (!trySend(Text))
      throw std::runtime_error("the peer of a test's socket is gone");
  }
  int handle() const { return Handle_; }
  // Limits what the kernel receives without a read.
  void setReceiveBuffer(int Bytes) const {
    ::setsockopt(Handle_, SOL_SOCKET, SO_RCVBUF, &Bytes, sizeof(Bytes));
  }
  // Waits until the peer's kernel has received all that was sent.
  void waitDelivered() const {
    for (int Unacknowledged = 1; Unacknowledged > 0;)
      if (::ioctl(Handle_, SIOCOUTQ, &Unacknowledged) != 0)
        throw std::runtime_error("the state of a test's socket is unknown");
  }
  // Reads until Text has arrived or the peer closes; returns what was read.
  std::string readUntil(const std::string &Text) const {
    std::string Got;
    char Buffer[4096];
    while (Text.empty() || Got.find(Text) == std::string::npos) {
      ssize_t N = ::recv(Handle_, Buffer, sizeof(Buffer), 0);
      if (N <= 0)
        break;
      Got.append(Buffer, static_cast<std::size_t>(N));
    }
    return Got;
  }
  // Reads what has arrived, at most Max bytes; 0 at the end or on an error.
  std::size_t readSome(std::size_t Max) const {
    std::string Buffer(Max, '\0');
    return readSome(Buffer);
  }
  // The same, into Buffer.
  std::size_t readSome(std::string &Buffer) const {
    ssize_t N = ::recv(Handle_, Buffer.data(), Buffer.size(), 0);
    return N > 0 ? static_cast<std::size_t>(N) : 0;
  }
  // Waits for the peer's end; whether it was no reset.
  bool isClosedInOrder() const {
    char Byte = 0;
    return ::recv(Handle_, &Byte, 1, 0) == 0;
  }
  // Closes with a reset.
  void reset() {
    linger L{1, 0};
    ::setsockopt(Handle_, SOL_SOCKET, SO_LINGER, &L, sizeof(L));
    close();
  }
  void close() {
    if (Handle_ >= 0)
      ::close(std::exchange(Handle_, -1));
  }

private:
  static sockaddr_in address(std::uint16_t Port) {
    sockaddr_in At{};
    At.sin_family = AF_INET;
    At.sin_port = htons(Port);
    At.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return At;
  }
  int Handle_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TESTS_UNIT_RAWSOCKET_H
