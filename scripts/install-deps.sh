#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need, if any is missing.
set -euo pipefail

packages=(g++ cmake ninja-build ccache pkg-config clang-format clang-tidy
  libevent-dev libnghttp2-dev prometheus-cpp-dev libcli11-dev libeasyloggingpp-dev
  curl libcriterion-dev libyaml-cpp-dev nlohmann-json3-dev libxxhash-dev libssl-dev)

missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' ||
    missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
  as_root=()
  [ "$(id -u)" -eq 0 ] || as_root=(sudo)
  "${as_root[@]}" apt-get update -qq
  DEBIAN_FRONTEND=noninteractive "${as_root[@]}" apt-get install -y -qq "${missing[@]}" >/dev/null
fi
