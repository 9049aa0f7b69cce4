#!/usr/bin/env bash
# Builds the edge program with the build line of deploy/system.toml and checks
# the settings that its template names.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$(python3 -c 'import tomllib
print(tomllib.load(open("deploy/system.toml", "rb"))["build"])')
bash -c "$build" >/dev/null
# Every placeholder with a value of the right kind.
settings=$(mktemp)
trap 'rm -f "$settings"' EXIT
sed -E -e 's/\{\{(Listen[^}]*|platform\.Address)\}\}/127.0.0.1:7000/g' \
  -e 's/\{\{Ip\}\}/127.0.0.1/g' -e 's/\{\{[^}]*\}\}/7/g' \
  deploy/edge.settings >"$settings"
SAPPHIRESTREAM_SETTINGS="$settings" target/sapphire_edge --check
