#pragma once

#include "http/HttpMessage.h"
#include "http/Responder.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace lovagerock::http {

using RouteHandler = std::function<void(Request, Responder)>;

// The handlers of a server by method and path pattern; see HttpServer::Handle().
class RouteTable
{
public:
  struct Match
  {
    // Null if no route of the path has the method. Valid until the next Add().
    const RouteHandler* mHandler = nullptr;
    // Whether a route has the path, with any method.
    bool mPathKnown = false;
  };

  void Add(Method aMethod, std::string_view aPattern, RouteHandler aHandler);
  // Finds the handler of the path, which is still encoded, and fills in the path parameters.
  Match Find(std::string_view aPath, Request& aRequest) const;

private:
  struct Route
  {
    Method mMethod;
    std::vector<std::string> mSegments;
    RouteHandler mHandler;
  };

  std::vector<Route> mRoutes;
};

// Fills in the query parameters; aQuery may be null.
void
ParseQuery(const char* aQuery, Request& aRequest);

} // namespace lovagerock::http
