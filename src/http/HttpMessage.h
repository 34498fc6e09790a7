#pragma once

#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lovagerock::http {

// The request methods the servers accept.
enum class Method
{
  Get,
  Post,
  Put,
  Delete
};

// The method's name on the wire.
std::string_view
MethodName(Method aMethod);

// Header fields in order. Names compare without regard to case.
class Headers
{
public:
  Headers() = default;
  Headers(std::initializer_list<std::pair<std::string, std::string>> aFields)
    : mFields(aFields)
  {
  }

  void Add(std::string aName, std::string aValue);
  // The first value of the field, or an empty view.
  std::string_view Get(std::string_view aName) const;
  bool Has(std::string_view aName) const;

  auto begin() const { return mFields.begin(); }
  auto end() const { return mFields.end(); }

private:
  std::vector<std::pair<std::string, std::string>> mFields;
};

// A request as a server received it.
struct Request
{
  Method mMethod = Method::Get;
  // The decoded path without the query.
  std::string mPath;
  // Values of the "{name}" segments of the matched route, decoded.
  std::map<std::string, std::string, std::less<>> mPathParameters;
  std::map<std::string, std::string, std::less<>> mQuery;
  Headers mHeaders;
  std::string mBody;
  // The caller's IP number.
  std::string mRemoteIp;

  // A path parameter; empty if the route has none of that name.
  const std::string& PathParameter(std::string_view aName) const;
  // A query parameter; empty if absent.
  const std::string& QueryParameter(std::string_view aName) const;
};

// A whole answer.
struct Response
{
  int mStatus = 200;
  Headers mHeaders;
  std::string mBody;
};

// An answer with a JSON body.
Response
JsonResponse(int aStatus, std::string aBody, Headers aHeaders = {});

} // namespace lovagerock::http
