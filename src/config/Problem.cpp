#include "config/Problem.h"

namespace lovagerock::config {

std::string
Problem::ToString() const
{
  std::string text = mFile;
  if (mLine > 0) {
    text += (text.empty() ? "line " : ":") + std::to_string(mLine);
  }
  for (const auto* it : { &mField, &mMessage }) {
    if (!it->empty()) {
      text += (text.empty() ? "" : ": ") + *it;
    }
  }
  return text;
}

void
to_json(Json& aJson, const Problem& aProblem)
{
  aJson = Json{ { "file", aProblem.mFile },
                { "line", aProblem.mLine },
                { "field", aProblem.mField },
                { "message", aProblem.mMessage } };
}

void
from_json(const Json& aJson, Problem& aProblem)
{
  aProblem.mFile = JsonValue<std::string>(aJson, "file", "");
  aProblem.mLine = JsonValue<int>(aJson, "line", 0);
  aProblem.mField = JsonValue<std::string>(aJson, "field", "");
  aProblem.mMessage = JsonValue<std::string>(aJson, "message", "");
}

} // namespace lovagerock::config
