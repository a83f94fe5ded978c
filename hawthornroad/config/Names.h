// Validates names and addresses in declarations and settings.
//
//   if (!isName(Text) || !isAddress(Address, PortRule::NotZero))
//     ...
//
// Names of services, customers, VMs and zones become parts of URLs, of table
// keys ("claim/SERVICE/CUSTOMER/KEY") and of metric labels, so they consist of
// letters, digits and "._-", at most MaxName characters. With a slash in a
// name, the claim key of one customer could equal that of another.

#ifndef HAWTHORNROAD_CONFIG_NAMES_H
#define HAWTHORNROAD_CONFIG_NAMES_H

#include <cstddef>
#include <string>
#include <string_view>

namespace hawthornroad {

constexpr std::size_t MaxName = 128;

bool isName(std::string_view Text);
// A name that may also contain '*'.
bool isNamePattern(std::string_view Text);
// "sha256:" and 64 lower-case hex digits.
bool isDigest(std::string_view Text);

enum class PortRule { AnyPort, NotZero };
// "IP:port" for IPv4, "[IP]:port" for IPv6. Host names are rejected: the system
// uses numeric IP addresses only.
bool isAddress(std::string_view Text, PortRule Rule);

} // namespace hawthornroad

#endif // HAWTHORNROAD_CONFIG_NAMES_H
