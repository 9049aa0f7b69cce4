#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the linter need.
set -euo pipefail
packages=(
  g++ cmake make ninja-build ccache pkg-config clang-format clang-tidy
  libboost1.81-dev libboost-test1.81-dev libboost-program-options1.81-dev
  libboost-json1.81-dev libcapnp-dev liblog4cxx-dev libsodium-dev
  libxxhash-dev libbenchmark-dev python3
)
missing=()
for package in "${packages[@]}"; do
  dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done
[ "${#missing[@]}" = 0 ] && exit 0
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" >/dev/null
