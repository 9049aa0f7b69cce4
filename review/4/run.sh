#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
exec "$folder/../run_case.sh" "$folder"
