#!/usr/bin/env bash
# The stand-ins of cases 6 to 10 are Python programs: nothing is compiled. Fails
# when they cannot be read by the Python that the repository's packages bring.
set -euo pipefail
cd "$(dirname "$0")"
for each in standins-2/*.py [0-9]*/case.py; do
  case $each in 1/* | 2/* | 3/* | 4/* | 5/*) continue ;; esac
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$each"
done
