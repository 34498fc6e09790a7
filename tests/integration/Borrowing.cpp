#include "integration/Borrowing.h"

#include "base/Hash.h"
#include "integration/LocalSystem.h"

namespace lovagerock::integration {

std::string
OwnerAndGuest()
{
  return R"(format: 1
deployment: local
weights: {completion_time: 0.5, fragmentation: 0.5}
accounts:
  - name: tester
    token_sha256: ")" +
         Sha256Hex(kToken) + R"("
    weight: 1
    quota: {accelerators: 200, slots: 200}
    guarantees:
      - {name: main, count: 9, workers: 1, accelerators_per_worker: 8, adjacency: worker}
  - name: guest
    token_sha256: ")" +
         Sha256Hex(kGuestToken) + R"("
    weight: 1
    quota: {accelerators: 200, slots: 200}
    guarantees: []
services: []
)";
}

Json
GangOf(int aTasks, bool aUrgent, const Json& aPayload)
{
  return { { "tasks", aTasks },       { "resources", { { "slots", 1 }, { "accelerators", 1 } } },
           { "adjacency", "region" }, { "idempotent", true },
           { "urgent", aUrgent },     { "estimated_ms", 8000 },
           { "payload", aPayload } };
}

} // namespace lovagerock::integration
