#!/usr/bin/env bash
# Builds the edge program with the build command from deploy/system.toml and
# checks that the settings template is valid.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$(python3 -c 'import tomllib
print(tomllib.load(open("deploy/system.toml", "rb"))["build"])')
bash -c "$build" >/dev/null
# Replace every placeholder by a value of the right type.
settings=$(mktemp)
trap 'rm -f "$settings"' EXIT
sed -E -e 's/\{\{(Listen[^}]*|platform\.Address|Seeds)\}\}/127.0.0.1:7000/g' \
  -e 's/\{\{Ip\}\}/127.0.0.1/g' -e 's/\{\{[^}]*Ms\}\}/3000/g' \
  -e 's/\{\{[^}]*\}\}/7/g' \
  deploy/edge.settings >"$settings"
SAPPHIRESTREAM_SETTINGS="$settings" target/sapphire_edge --check
