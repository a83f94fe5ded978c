// The operator's configuration of a soak, of the size of real ones.
//
//   SoakConfig C;
//   C.Version_ = 7; C.AddedRoutes_ = 2;
//   Store.put("op", "config", C.text());

#ifndef HAWTHORNROAD_TESTS_SOAK_SOAKCONFIG_H
#define HAWTHORNROAD_TESTS_SOAK_SOAKCONFIG_H

#include "hawthornroad/base/Types.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hawthornroad {

struct SoakConfig {
  static constexpr Duration PlainTimeout = Milliseconds(2500);
  static constexpr Duration StreamTimeout = Milliseconds(8000);
  // 250 to 340 KB.
  static constexpr std::size_t FewestUnusedRoutes = 1050;
  static constexpr std::size_t MostUnusedRoutes = 1350;

  // Cold endpoints. A chosen granter and a substitute grant nothing when the
  // arrivals in a second are below 8.4 (ColdFigures.h).
  static constexpr Duration ColdFor = Seconds(3);
  static constexpr double ColdPerSecond = 6;
  static constexpr double ColdFactor = 1.5;
  static constexpr double ColdSlack = 1;
  static constexpr double MaxColdArrivals =
      ColdPerSecond * ColdFactor + ColdSlack;

  // Zones "z0", "z2" and so on are in region "r0", the others in "r1".
  static std::string regionOf(const std::string &Zone);
  static constexpr auto FirstRegion = "r0";
  static constexpr auto SecondRegion = "r1";
  // Of the customer that is served in the second region only.
  static constexpr auto RegionalKey = "regional";

  std::uint64_t Version_ = 0;
  // "/new1/" and on; a route is never removed.
  std::uint64_t AddedRoutes_ = 0;
  // Routes that no caller uses.
  std::size_t UnusedRoutes_ = FewestUnusedRoutes;
  // Whether "/moved/" is served by "aux", or else by "api".
  bool IsMoved_ = false;
  std::vector<std::string> Keys_;
  // Otherwise the list of customers is there and empty.
  bool HasCustomers_ = true;
  // Empty without engines.
  std::string Origin_;
  // Whether services limit what their cold endpoints receive.
  bool LimitsCold_ = true;

  std::string text() const;
  // The services that a request for this target may be sent to.
  static std::vector<std::string> servicesOf(const std::string &Target);
  bool operator==(const SoakConfig &) const = default;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TESTS_SOAK_SOAKCONFIG_H
