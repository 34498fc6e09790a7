#include "peer/PeerError.h"

#include <string>

namespace lovagerock::peer {

namespace detail {
namespace {

class PeerCategoryType : public std::error_category
{
public:
  const char* name() const noexcept override { return "peer"; }

  std::string message(int aValue) const override
  {
    switch (static_cast<PeerError>(aValue)) {
      case PeerError::NotSent:
        return "call was not sent to the peer";
      case PeerError::OutcomeUnknown:
        return "no answer from the peer, the call may have run";
      case PeerError::Overloaded:
        return "too many open calls to the peer";
      case PeerError::TooLarge:
        return "body is over the size limit";
      case PeerError::UnknownMethod:
        return "unknown method";
      case PeerError::Failed:
        return "peer could not answer";
      case PeerError::ListenFailed:
        return "cannot listen for peers";
    }
    return "unknown peer error";
  }
};

} // namespace
} // namespace detail

const std::error_category&
PeerCategory()
{
  static const detail::PeerCategoryType kCategory;
  return kCategory;
}

std::error_code
make_error_code(PeerError aError)
{
  return { static_cast<int>(aError), PeerCategory() };
}

} // namespace lovagerock::peer
