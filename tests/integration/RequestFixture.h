// A fleet with plain services and helpers for tests of the request path: calls
// that must not run twice, and how often they ran.
//
//   auto F = buildPlainFleet(FleetBuilder().plainVms(2));
//   HttpResponse R = invoice(F->entry(0), "key-1");
//   REQUIRE(outcome(R) == "answered");
//   REQUIRE(runs(*F, "key-1") == 1);

#ifndef HAWTHORNROAD_TESTS_INTEGRATION_REQUESTFIXTURE_H
#define HAWTHORNROAD_TESTS_INTEGRATION_REQUESTFIXTURE_H

#include "tests/integration/Fleet.h"

#include <future>
#include <memory>
#include <string>

namespace hawthornroad {

// Builds the fleet, applies its declaration and waits until every plain service
// can be reached through every entry.
std::unique_ptr<Fleet> buildPlainFleet(const FleetBuilder &Builder);

// POST /billing-desk/invoices, which the declaration makes non-repeatable.
HttpRequest invoiceRequest(const std::string &Key, int DeadlineMs = 10000,
                           const std::string &Body = "{\"amount\":1}");
HttpResponse invoice(FleetProcess &Entry, const std::string &Key,
                     int DeadlineMs = 10000);
// The same on a separate thread. An incomplete answer has status 0.
std::future<HttpResponse> invoiceLater(FleetProcess &Entry,
                                       const std::string &Key,
                                       int DeadlineMs = 10000);

// Hawthornroad-Outcome; empty when the response has none.
std::string outcome(const HttpResponse &R);
// How often the services ran the call with this key, summed over all VMs.
std::int64_t runs(Fleet &F, const std::string &Key);
// Requires that the outcome agrees with the number of runs: answered means one
// run, not-run none, unknown at most one.
void requireConsistentOutcome(Fleet &F, const std::string &Key,
                              const HttpResponse &R);

} // namespace hawthornroad

#endif // HAWTHORNROAD_TESTS_INTEGRATION_REQUESTFIXTURE_H
