#!/usr/bin/env bash
# Prepares the stand-ins of the scripts. They are written in Python and need
# nothing but its standard library, so there is nothing to compile: this checks
# that Python is there and that every file can be read by it.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
python3 - <<'PYTHON'
import ast, glob, sys
assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"
for path in sorted(glob.glob("standins/*.py") + glob.glob("[1-5]/case.py")):
    with open(path) as file:
        ast.parse(file.read(), path)
print("the stand-ins are ready")
PYTHON
test -x ../target/sapphire_edge || echo "build the deploy file first" >&2
