// Decides which part of an answer may go to the caller already.
//
//   CallerAnswer A;
//   A.head(200, Headers, Version);
//   CallerAnswer::Out O = A.data("...");   // empty while it is held back
//   O = A.end();                           // the rest
//
// The idea. What has gone out cannot be taken back, so as little as possible
// goes out before it is safe:
//  - an event stream goes out by whole events, its head with the first one, so
//    that it can go on at another endpoint after a failure;
//  - any other body is held until it is whole, up to MaxHeld bytes, so that a
//    failed attempt can be repeated without the caller noticing;
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

  // Remembers what is passed on, for kept(). Call before the first head.
  void remember() { Remembers_ = true; }
  // The head of an attempt. False when the answer has begun already and this
  // one cannot continue it.
  bool head(Head H);
  Out data(std::string_view Bytes);
  // The body is whole: returns what was held back. When nothing went out
  // before, the answer can be given with its length (Begins_ is true).
  Out end();
  // The answer so far, as a claim keeps it for repeats of its key: without the
  // body when that is above MaxBody or not all of it is here any more.
  KeptAnswer kept(std::size_t MaxBody) const;
  // A new attempt begins; what was held of the last one is forgotten.
  void restart();

  bool hasHead() const { return HasHead_; }
  const Head &head() const { return Head_; }
  // Whether anything has gone out.
  bool hasBegun() const { return Begun_; }
  bool isEvents() const { return IsEvents_; }
  // Whether another attempt can go on where this one stopped.
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
  // The first MaxHeld bytes passed on, when Remembers_.
  std::string Passed_;
  bool Remembers_ = false;
  std::uint64_t BytesPassed_ = 0;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_ROUTING_CALLERANSWER_H
