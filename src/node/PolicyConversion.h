#pragma once

#include "config/Document.h"
#include "config/Problem.h"
#include "jobs/GangStatus.h"
#include "jobs/SnapshotBuilder.h"
#include "routing/AccountDirectory.h"

#include <memory>
#include <vector>

namespace lovagerock::node {

// The planner's view of a configuration.
jobs::PolicyInput
ToPolicyInput(const config::Document& aDocument);

// The request path's view of the configuration that the pointer holds at the time of each call.
// Finds nothing while it is null.
routing::AccountDirectory
ToAccountDirectory(std::shared_ptr<const config::Document>* aDocument);

// Checks that all guarantees can be packed at once on the known workers. No problem while no
// worker is known, because then nothing is known about the capacity.
std::vector<config::Problem>
CheckGuarantees(const config::Document& aDocument, const jobs::WorkerViews& aWorkers);

} // namespace lovagerock::node
