// Basic types shared by all modules: names of zones, customers, VMs and
// processes, ids, and time.
//
// Names are strongly typed strings, so a Customer cannot be passed as a Vm:
//
//   Vm Target("copywriter-lm-03");
//   AvailabilityZone Zone("zg-borongaj");
//
// Decision modules receive the time as a TimePoint from their caller and never
// read a clock. The runtime takes it from CAF's actor clock.

#ifndef HAWTHORNROAD_BASE_TYPES_H
#define HAWTHORNROAD_BASE_TYPES_H

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace hawthornroad {

using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
using Milliseconds = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

// A string with its own type for each meaning. Empty means "not set".
template <class Tag> class Name {
public:
  Name() = default;
  explicit Name(std::string Text) : Text_(std::move(Text)) {}
  const std::string &str() const { return Text_; }
  bool empty() const { return Text_.empty(); }
  auto operator<=>(const Name &) const = default;

private:
  std::string Text_;
};

using AvailabilityZone = Name<struct AvailabilityZoneTag>;
// A part of the platform that contains availability zones.
using Region = Name<struct RegionTag>;
using Customer = Name<struct CustomerTag>;
using Vm = Name<struct VmTag>;
using ServiceName = Name<struct ServiceNameTag>;
// The digest of a weight manifest, "sha256:" and 64 hex digits. It identifies a
// model version: two versions are the same exactly when their digests are.
using VersionDigest = Name<struct VersionDigestTag>;
// The name of one process of the system, unique in the fleet and taken from its
// settings. A restarted process keeps its name and has a higher incarnation.
using ProcessName = Name<struct ProcessNameTag>;
// "IP:port" of a process's listener for other processes of the system.
using PeerAddress = Name<struct PeerAddressTag>;

// 128 random bits, unique without coordination.
template <class Tag> struct Id {
  std::uint64_t Hi_ = 0;
  std::uint64_t Lo_ = 0;
  auto operator<=>(const Id &) const = default;
  bool isSet() const { return Hi_ != 0 || Lo_ != 0; }
  // 32 lower-case hex digits.
  std::string str() const;
  // The id written by str(); an unset id when Text is anything else.
  static Id parse(std::string_view Text);
};

// One request of a caller, across all of its attempts.
using RequestId = Id<struct RequestTag>;
// One attempt to serve a request, at one endpoint.
using AttemptId = Id<struct AttemptTag>;

// A number that rises with each restart of a process (its start time in
// nanoseconds since the epoch). It distinguishes messages of the current
// process from late ones of its predecessor.
using Incarnation = std::uint64_t;

// The number of an accepted configuration; the first accepted one is 1, and 0
// means "none yet".
using Revision = std::uint64_t;

// Order in which waiting requests are served; lower values first.
enum class Priority : std::uint8_t { Interactive = 0, Normal = 1, Batch = 2 };

// Parses "interactive", "normal", "batch"; anything else is Normal.
Priority parsePriority(std::string_view Text);
std::string_view toString(Priority P);

} // namespace hawthornroad

template <class Tag> struct std::hash<hawthornroad::Name<Tag>> {
  std::size_t operator()(const hawthornroad::Name<Tag> &N) const {
    return std::hash<std::string>()(N.str());
  }
};

template <class Tag> struct std::hash<hawthornroad::Id<Tag>> {
  std::size_t operator()(const hawthornroad::Id<Tag> &I) const {
    return static_cast<std::size_t>(I.Hi_ ^ (I.Lo_ * 0x9e3779b97f4a7c15ULL));
  }
};

#endif // HAWTHORNROAD_BASE_TYPES_H
