#include "http/RouteTable.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace lovagerock::http {

namespace detail {
namespace {

std::vector<std::string>
SplitPath(std::string_view aPath)
{
  std::vector<std::string> segments;
  std::size_t start = 0;
  while (start < aPath.size()) {
    if (aPath[start] == '/') {
      ++start;
      continue;
    }
    const auto end = std::min(aPath.find('/', start), aPath.size());
    segments.emplace_back(aPath.substr(start, end - start));
    start = end;
  }
  return segments;
}

std::string
DecodeComponent(const std::string& aText, bool aPlusIsSpace)
{
  std::size_t n = 0;
  char* decoded = evhttp_uridecode(aText.c_str(), aPlusIsSpace ? 1 : 0, &n);
  if (!decoded) {
    return aText;
  }
  std::string text(decoded, n);
  free(decoded);
  return text;
}

bool
IsParameter(const std::string& aSegment)
{
  return aSegment.size() > 2 && aSegment.front() == '{' && aSegment.back() == '}';
}

std::string
JoinFrom(const std::vector<std::string>& aSegments, std::size_t aFirst)
{
  std::string joined;
  for (std::size_t i = aFirst; i < aSegments.size(); ++i) {
    joined += (joined.empty() ? "" : "/") + DecodeComponent(aSegments[i], false);
  }
  return joined;
}

bool
MatchPattern(const std::vector<std::string>& aPattern, const std::vector<std::string>& aPath,
             Request& aRequest)
{
  aRequest.mPathParameters.clear();
  for (std::size_t i = 0; i < aPattern.size(); ++i) {
    const auto& segment = aPattern[i];
    if (IsParameter(segment) && segment[segment.size() - 2] == '*') {
      aRequest.mPathParameters[segment.substr(1, segment.size() - 3)] = JoinFrom(aPath, i);
      return true;
    }
    if (i >= aPath.size()) {
      return false;
    }
    if (IsParameter(segment)) {
      aRequest.mPathParameters[segment.substr(1, segment.size() - 2)] =
        DecodeComponent(aPath[i], false);
    } else if (segment != aPath[i]) {
      return false;
    }
  }
  return aPath.size() == aPattern.size();
}

} // namespace
} // namespace detail

void
ParseQuery(const char* aQuery, Request& aRequest)
{
  if (!aQuery) {
    return;
  }
  evkeyvalq fields{};
  if (evhttp_parse_query_str(aQuery, &fields) == 0) {
    for (auto* it = fields.tqh_first; it; it = it->next.tqe_next) {
      aRequest.mQuery[it->key] = it->value;
    }
  } else {
    // evhttp rejects a parameter without "=", such as Consul's "?recurse".
    std::string_view rest(aQuery);
    while (!rest.empty()) {
      const auto item = rest.substr(0, rest.find('&'));
      rest.remove_prefix(std::min(rest.size(), item.size() + 1));
      const auto equals = item.find('=');
      const auto value =
        equals == std::string_view::npos ? std::string() : std::string(item.substr(equals + 1));
      aRequest.mQuery[std::string(item.substr(0, equals))] = detail::DecodeComponent(value, true);
    }
  }
  evhttp_clear_headers(&fields);
}

void
RouteTable::Add(Method aMethod, std::string_view aPattern, RouteHandler aHandler)
{
  mRoutes.push_back({ aMethod, detail::SplitPath(aPattern), std::move(aHandler) });
}

RouteTable::Match
RouteTable::Find(std::string_view aPath, Request& aRequest) const
{
  const auto path = detail::SplitPath(aPath);
  Match match;
  for (const auto& it : mRoutes) {
    if (!detail::MatchPattern(it.mSegments, path, aRequest)) {
      continue;
    }
    match.mPathKnown = true;
    if (it.mMethod == aRequest.mMethod) {
      match.mHandler = &it.mHandler;
      break;
    }
  }
  return match;
}

} // namespace lovagerock::http
