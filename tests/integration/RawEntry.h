// A minimal entry at the level of frames: it sends an agent the frames that a
// test chooses, in the order it chooses, and records the replies.
//
//   RawEntry Entry;
//   wire::AttemptBeginT Begin = RawEntry::begin(Attempt, "panel-api", "/x");
//   Entry.send(AgentAddress, Begin);
//   RawEntry::Answer A = Entry.await(Attempt, [](auto &A) { return A.End_; });

#ifndef HAWTHORNROAD_TESTS_INTEGRATION_RAWENTRY_H
#define HAWTHORNROAD_TESTS_INTEGRATION_RAWENTRY_H

#include "hawthornroad/base/Hash.h"
#include "hawthornroad/peers/PeerNet.h"
#include "hawthornroad/peers/WireCodec.h"

#include <catch2/catch.hpp>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <optional>

namespace hawthornroad {

class RawEntry {
public:
  // All that an agent has sent about one attempt.
  struct Answer {
    int Accepted_ = 0;
    std::optional<wire::RefusalReason> Refused_;
    std::optional<wire::AttemptHeadT> Head_;
    std::string Body_;
    // Whether a data frame did not begin at the end of the body so far.
    bool Gap_ = false;
    std::optional<wire::AttemptEndT> End_;
    std::optional<wire::AttemptFailedT> Failed_;
    std::optional<wire::AttemptPhase> State_;

    bool isWhole() const {
      Fnv1a Hash;
      Hash.update(Body_);
      return End_ && !Gap_ && End_->length == Body_.size() &&
             End_->hash == Hash.value();
    }
    bool isOver() const { return Refused_ || End_ || Failed_; }
  };

  explicit RawEntry(std::string Process = "raw-entry")
      : Net_(Io_,
             {ProcessName(std::move(Process)), 1, AvailabilityZone("z"),
              "entry"},
             {},
             {.OnFrame_ = [this](const PeerContext &, const wire::Frame &F) {
               note(F);
             }}) {}
  ~RawEntry() { Io_.stop(); }

  static wire::AttemptBeginT begin(const AttemptId &Attempt,
                                   const std::string &Service,
                                   const std::string &Target,
                                   const std::string &Body = "") {
    wire::AttemptBeginT Begin;
    Begin.attempt = toWire(Attempt);
    Begin.request = toWire(RequestId{9, Attempt.Lo_});
    Begin.service = Service;
    Begin.customer = "hp-travel";
    Begin.method = "POST";
    Begin.target = Target;
    Begin.body.assign(Body.begin(), Body.end());
    Begin.deadline_ms = 30000;
    Begin.priority = 1;
    Begin.idempotency_key = Attempt.str();
    return Begin;
  }
  template <class MessageT> static MessageT about(const AttemptId &Attempt) {
    MessageT Message;
    Message.attempt = toWire(Attempt);
    return Message;
  }

  template <class MessageT>
  void send(const std::string &To, const MessageT &Message) {
    REQUIRE(Net_.send(PeerAddress(To), Lane::Requests, makeFrame(Message)));
  }
  template <class MessageT>
  void sendOnNewConnection(const std::string &To, const MessageT &Message) {
    REQUIRE(Net_.sendOnNewConnection(PeerAddress(To), Lane::Requests,
                                     makeFrame(Message)));
  }

  // Waits until Enough holds; fails the test after 30 s.
  Answer await(const AttemptId &Attempt,
               const std::function<bool(const Answer &)> &Enough) {
    constexpr auto AwaitTimeout = std::chrono::seconds(30);
    std::unique_lock Lock(Mutex_);
    INFO("attempt " << Attempt.str());
    REQUIRE(Changed_.wait_for(Lock, AwaitTimeout,
                              [&] { return Enough(Answers_[Attempt]); }));
    return Answers_[Attempt];
  }
  Answer awaitOver(const AttemptId &Attempt) {
    return await(Attempt, [](const Answer &A) { return A.isOver(); });
  }
  Answer now(const AttemptId &Attempt) {
    std::lock_guard Lock(Mutex_);
    return Answers_[Attempt];
  }

private:
  void note(const wire::Frame &F) {
    std::unique_ptr<wire::FrameT> Frame(F.UnPack());
    std::lock_guard Lock(Mutex_);
    if (auto *M = Frame->body.AsAttemptAccepted())
      ++of(*M).Accepted_;
    if (auto *M = Frame->body.AsAttemptRefused())
      of(*M).Refused_ = M->reason;
    if (auto *M = Frame->body.AsAttemptHead())
      of(*M).Head_ = *M;
    if (auto *M = Frame->body.AsAttemptData())
      append(of(*M), *M);
    if (auto *M = Frame->body.AsAttemptEnd())
      of(*M).End_ = *M;
    if (auto *M = Frame->body.AsAttemptFailed())
      of(*M).Failed_ = *M;
    if (auto *M = Frame->body.AsAttemptState())
      of(*M).State_ = M->phase;
    Changed_.notify_all();
  }
  template <class MessageT> Answer &of(const MessageT &M) {
    return Answers_[idFromWire<AttemptId>(M.attempt.get())];
  }
  static void append(Answer &A, const wire::AttemptDataT &M) {
    if (M.offset != A.Body_.size())
      A.Gap_ = true;
    A.Body_.append(M.bytes.begin(), M.bytes.end());
  }

  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::map<AttemptId, Answer> Answers_;
  IoThread Io_{"raw-entry", 4096};
  PeerNet Net_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TESTS_INTEGRATION_RAWENTRY_H
