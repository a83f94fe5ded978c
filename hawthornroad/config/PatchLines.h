// A JSON merge patch in lines for a reader.
//
//   describePatch(Patch)         "services.api.replicas = 4"
//   describePatch(Patch, &Old)   "services.api.replicas: 3 -> 4"
//
// One line a changed member, in the patch's order; a removed one reads
// "customers.old removed".

#ifndef HAWTHORNROAD_CONFIG_PATCHLINES_H
#define HAWTHORNROAD_CONFIG_PATCHLINES_H

#include <boost/json/value.hpp>
#include <string>
#include <vector>

namespace hawthornroad {

// Old is the text the patch is against; null when it is not at hand.
std::vector<std::string> describePatch(const boost::json::value &Patch,
                                       const boost::json::value *Old = nullptr);

} // namespace hawthornroad

#endif // HAWTHORNROAD_CONFIG_PATCHLINES_H
