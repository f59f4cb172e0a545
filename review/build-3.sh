#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They are Python programs that use the standard library only,
# so this checks that they compile.
set -e
cd "$(dirname "$0")"
for file in fleet3.py 1[1-5]/case.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
