#include "http/HttpMessage.h"

#include <algorithm>
#include <strings.h>

namespace lovagerock::http {

namespace detail {
namespace {

bool
SameName(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         strncasecmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

const std::string kEmpty;

} // namespace
} // namespace detail

std::string_view
MethodName(Method aMethod)
{
  switch (aMethod) {
    case Method::Get:
      return "GET";
    case Method::Post:
      return "POST";
    case Method::Put:
      return "PUT";
    case Method::Delete:
      return "DELETE";
  }
  return "GET";
}

void
Headers::Add(std::string aName, std::string aValue)
{
  mFields.emplace_back(std::move(aName), std::move(aValue));
}

std::string_view
Headers::Get(std::string_view aName) const
{
  const auto it = std::find_if(mFields.begin(), mFields.end(), [aName](const auto& aField) {
    return detail::SameName(aField.first, aName);
  });
  return it == mFields.end() ? std::string_view() : std::string_view(it->second);
}

bool
Headers::Has(std::string_view aName) const
{
  return std::any_of(mFields.begin(), mFields.end(),
                     [aName](const auto& aField) { return detail::SameName(aField.first, aName); });
}

const std::string&
Request::PathParameter(std::string_view aName) const
{
  const auto it = mPathParameters.find(aName);
  return it == mPathParameters.end() ? detail::kEmpty : it->second;
}

const std::string&
Request::QueryParameter(std::string_view aName) const
{
  const auto it = mQuery.find(aName);
  return it == mQuery.end() ? detail::kEmpty : it->second;
}

Response
JsonResponse(int aStatus, std::string aBody, Headers aHeaders)
{
  Response response{ aStatus, std::move(aHeaders), std::move(aBody) };
  response.mHeaders.Add("Content-Type", "application/json");
  return response;
}

} // namespace lovagerock::http
