// Formats a JSON merge patch as lines for a human reader.
//
//   describePatch(Patch)         "services.api.replicas = 4"
//   describePatch(Patch, &Old)   "services.api.replicas: 3 -> 4"
//
// One line for each changed member, in the order of the patch; a removed member
// reads "customers.old removed".

#ifndef HAWTHORNROAD_CONFIG_PATCHLINES_H
#define HAWTHORNROAD_CONFIG_PATCHLINES_H

#include <boost/json/value.hpp>
#include <string>
#include <vector>

namespace hawthornroad {

// Old is the text that the patch applies to, or null when it is unavailable.
std::vector<std::string> describePatch(const boost::json::value &Patch,
                                       const boost::json::value *Old = nullptr);

} // namespace hawthornroad

#endif // HAWTHORNROAD_CONFIG_PATCHLINES_H
