#pragma once

#include "config/Document.h"
#include "config/Problem.h"
#include "configstore/ChangeOutcome.h"
#include "configstore/ConfigStore.h"
#include "http/HttpMessage.h"

#include <optional>
#include <system_error>
#include <vector>

namespace lovagerock::node {

// Answers of the operators' API about the configuration, as described in docs/operators-api.md.
http::Response
ValidFile();
http::Response
InvalidFile(const std::vector<config::Problem>& aProblems);
http::Response
DescribeDiff(ConfigVersion aBase, const config::Document& aOld, const config::Document& aNew);
http::Response
DescribeConfig(const configstore::AcceptedConfig& aConfig);
http::Response
NoConfig();
http::Response
DescribeOutcome(const ChangeId& aChange, const configstore::ChangeOutcome& aOutcome);
http::Response
DescribeChange(const ChangeId& aChange, std::error_code aError,
               const std::optional<configstore::ChangeRecord>& aRecord);
Json
DescribeNode(const configstore::NodeConfig& aNode, const NodeId& aPlanner);

} // namespace lovagerock::node
