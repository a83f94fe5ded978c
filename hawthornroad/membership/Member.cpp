#include "hawthornroad/membership/Member.h"

#include <array>

namespace hawthornroad {

namespace {
// Encoded size of a FlatBuffers table with its offsets and numbers, and the
// overhead of a string beyond its characters (length, offset, terminator,
// padding).
constexpr std::size_t MemberBytes = 48;
constexpr std::size_t ReportBytes = 88;
constexpr std::size_t StringBytes = 10;

std::size_t reportSize(const EndpointStatus &S) {
  std::size_t Size = ReportBytes + 9 * StringBytes;
  Size += S.Vm_.str().size() + S.Process_.str().size();
  Size += S.Address_.str().size() + S.WeightsAddress_.str().size();
  Size += S.Zone_.str().size() + S.Service_.str().size();
  Size += S.Version_.str().size() + S.FailedVersion_.str().size();
  Size += S.Detail_.size() + S.Rollout_.size();
  for (const VersionDigest &Each : S.Staged_)
    Size += Each.str().size() + StringBytes;
  return Size;
}
} // namespace

std::string_view toString(MemberState S) {
  static constexpr std::array<std::string_view, 4> Names = {"alive", "suspect",
                                                            "dead", "left"};
  return Names[static_cast<std::size_t>(S)];
}

bool differBeyondLoad(const EndpointStatus &A, const EndpointStatus &B) {
  EndpointStatus Same = A;
  Same.Sequence_ = B.Sequence_;
  Same.Running_ = B.Running_;
  Same.Waiting_ = B.Waiting_;
  Same.StepMs_ = B.StepMs_;
  Same.Detail_ = B.Detail_;
  return !(Same == B);
}

std::size_t wireSize(const Member &M, bool WithReport) {
  std::size_t Size = MemberBytes + 4 * StringBytes;
  Size += M.Process_.str().size() + M.Role_.size();
  Size += M.Zone_.str().size() + M.Address_.str().size();
  if (WithReport && M.Report_)
    Size += reportSize(*M.Report_);
  return Size;
}

} // namespace hawthornroad
