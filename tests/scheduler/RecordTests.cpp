#include "SchedulerFixture.h"
#include "scheduler/RackRecord.h"

using namespace lovagerock;
using namespace lovagerock::scheduler;

// Guards against losing the other workers of a rack, and the runs there, at a takeover.
Test(RackRecord, reads_the_workers_beside_an_odd_one)
{
  for (const auto* const odd :
       { "7", "[]", "[\"x\"]", "[\"x\",\"10.0.0.9:0\"]", "[\"x\",\"10.0.0.9:65536\"]",
         "[\"x\",\"nowhere\"]", "[7,\"10.0.0.9:1\"]", "[\"\",\"10.0.0.9:1\"]" }) {
    const auto workers =
      ReadRackRecord(R"([["a","10.0.0.1:1"],)" + std::string(odd) + R"(,["b","10.0.0.2:1"]])");
    cr_assert(workers.has_value(), "%s", odd);
    cr_assert_eq(workers->size(), 2, "%s", odd);
    cr_assert_eq(workers->back().mWorker, WorkerId("b"));
  }
  cr_assert_not(ReadRackRecord("{}").has_value());
  cr_assert_not(ReadRackRecord(std::string(100000, '[') + std::string(100000, ']')).has_value());
}
