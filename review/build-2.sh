#!/bin/sh
# Builds the stand-ins of the cases 4 and later: Python of the standard
# library, compiled here only to show that it can be read.
set -eu
cd "$(dirname "$0")"
for file in tools_2/*.py [4-8]/*.py; do
    python3 - "$file" <<'PY'
import sys

path = sys.argv[1]
with open(path, encoding="utf-8") as source:
    compile(source.read(), path, "exec")
PY
done
