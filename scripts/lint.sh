#!/usr/bin/env bash
# Checks the formatting of all source files and runs clang-tidy on all
# translation units. `scripts/lint.sh FILE...` limits clang-tidy to these files.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t all < <(git ls-files --cached --others --exclude-standard \
  'src/*.h' 'src/*.cc' 'test/*.h' 'test/*.cc' 'testing/*.h' 'testing/*.cc' \
  'bench/*.h' 'bench/*.cc' 'platform/*.h' 'platform/*.cc' | grep -v '\.capnp\.')
clang-format --dry-run --Werror "${all[@]}"
units=("$@")
if [ "${#units[@]}" = 0 ]; then
  mapfile -t units < <(printf '%s\n' "${all[@]}" | grep '\.cc$')
fi
printf '%s\0' "${units[@]}" |
  xargs -0 -n 2 -P "$(nproc)" clang-tidy -p build/release --quiet \
    --extra-arg=-Wno-unknown-warning-option 2>/dev/null
echo "lint: ${#all[@]} files formatted, ${#units[@]} translation units clean"
