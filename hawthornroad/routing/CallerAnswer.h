// Decides which part of an answer may be sent to the caller.
//
//   CallerAnswer A;
//   A.head(200, Headers, Version);
//   CallerAnswer::Out O = A.data("...");   // empty while it is held back
//   O = A.end();                           // the rest
//
// Bytes sent to the caller cannot be recalled, so they are held back where
// possible:
//  - an event stream is sent in whole events, its head with the first one, so
//    that it can resume at another endpoint after a failure;
//  - any other body is held until it is complete, up to MaxHeld bytes, so that
//    a failed attempt can be repeated without the caller noticing;
//  - a larger body is streamed from there on and cannot be repeated.

#ifndef HAWTHORNROAD_ROUTING_CALLERANSWER_H
#define HAWTHORNROAD_ROUTING_CALLERANSWER_H

#include "hawthornroad/routing/EventSplitter.h"
#include "hawthornroad/routing/RequestTypes.h"

namespace hawthornroad {

class CallerAnswer {
public:
  static constexpr std::size_t MaxHeld = 1024 * 1024;

  struct Head {
    unsigned Status_ = 0;
    HeaderFields Headers_;
    VersionDigest Version_;
  };
  struct Out {
    // Whether the head goes out now, before Bytes_.
    bool Begins_ = false;
    std::string Bytes_;
  };

  // Keeps a copy of the bytes passed on, for kept(). Call before the first
  // head.
  void remember() { KeepsPassed_ = true; }
  // Sets the head of an attempt. Returns false when the answer has already
  // begun and this head cannot continue it.
  bool head(Head H);
  Out data(std::string_view Bytes);
  // The body is complete: returns the bytes held back. When nothing was sent
  // before, the answer can be sent with its length (Begins_ is true).
  Out end();
  // The answer so far, as a claim stores it for repeats of its key: without the
  // body when that exceeds MaxBody or is no longer held completely.
  KeptAnswer kept(std::size_t MaxBody) const;
  // Begins a new attempt and discards the bytes held of the previous one.
  void restart();

  bool hasHead() const { return HasHead_; }
  const Head &head() const { return Head_; }
  // Whether anything has been sent.
  bool hasBegun() const { return Begun_; }
  bool isEvents() const { return IsEvents_; }
  // Whether another attempt can resume where this one stopped.
  bool canResume() const { return IsEvents_ && Events_.isResumable(); }
  std::uint64_t eventsPassed() const { return Events_.events(); }
  std::uint64_t bytesPassed() const { return BytesPassed_; }

private:
  Out release(std::string Bytes);

  Head Head_;
  bool HasHead_ = false;
  bool IsEvents_ = false;
  bool Begun_ = false;
  EventSplitter Events_;
  std::string Held_;
  // The first MaxHeld bytes passed on, when KeepsPassed_.
  std::string Passed_;
  bool KeepsPassed_ = false;
  std::uint64_t BytesPassed_ = 0;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_ROUTING_CALLERANSWER_H
