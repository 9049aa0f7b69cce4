#!/usr/bin/env bash
# Asks an instance of sapphire_edge where a new flow would go now, and why.
# usage: scripts/explain.sh METRICS CLIENT ROUTE, each as address:port
set -euo pipefail
if [[ $# -ne 3 ]]; then
  sed -n '2,3s/^# //p' "$0" >&2
  exit 2
fi
if ! answer=$(curl -sS --max-time 5 -w '\n%{http_code}' \
  "http://$1/explain?client=$2&route=$3"); then
  echo "explain: no answer from $1: is it the metrics address of a running instance?" >&2
  exit 1
fi
printf '%s\n' "${answer%$'\n'*}"
[[ ${answer##*$'\n'} == 200 ]]
