#include "peer/NghttpTransport.h"

#include "peer/Cbor.h"
#include "peer/PeerError.h"

#include <utility>

namespace lovagerock::peer {

NghttpTransport::NghttpTransport(EventLoop& aLoop, Random& aRandom, const PeerSettings& aSettings)
  : mLoop(aLoop)
  , mRandom(aRandom)
  , mSettings(aSettings)
  , mListener(aLoop, aSettings, mCounters)
{
}

void
NghttpTransport::Call(const SocketAddress& aPeer, const std::string& aMethod, const Json& aBody,
                      Duration aTimeout, CallCallback aCallback)
{
  auto body = EncodeCbor(aBody);
  if (body.size() > static_cast<std::size_t>(mSettings.mMaxBody.Value())) {
    mLoop.Post([callback = std::move(aCallback), alive = std::weak_ptr<bool>(mAlive)] {
      if (alive.lock()) {
        callback(PeerError::TooLarge, {});
      }
    });
    return;
  }
  auto& link = mLinks[aPeer];
  if (!link) {
    link = std::make_unique<PeerLink>(mLoop, aPeer, mSettings, mCounters, mRandom);
  }
  link->Call(aMethod, std::move(body), aTimeout, std::move(aCallback));
}

void
NghttpTransport::Handle(const std::string& aMethod, CallHandler aHandler)
{
  mListener.Handle(aMethod, std::move(aHandler));
}

} // namespace lovagerock::peer
