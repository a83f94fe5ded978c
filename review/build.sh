#!/usr/bin/env bash
# The stand-ins of the scripts are Python without further packages, so nothing
# is compiled; this checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
for each in standins/*.py */case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$each"
done
