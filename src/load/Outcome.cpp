#include "load/Outcome.h"

namespace lovagerock::load {

std::string_view
OutcomeName(Outcome aOutcome)
{
  switch (aOutcome) {
    case Outcome::Ok:
      return "ok";
    case Outcome::Refused:
      return "refused";
    case Outcome::Unknown:
      return "unknown";
    case Outcome::Lost:
      return "lost";
    case Outcome::Wrong:
      return "wrong";
    case Outcome::Truncated:
      return "truncated";
    case Outcome::Doubled:
      return "doubled";
  }
  return "unknown";
}

bool
IsFault(Outcome aOutcome)
{
  return aOutcome != Outcome::Ok && aOutcome != Outcome::Refused && aOutcome != Outcome::Unknown;
}

} // namespace lovagerock::load
