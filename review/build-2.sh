#!/bin/sh
# Builds the stand-ins that the scripts of cases 4 to 8 start.  They are
# Python without dependencies, so that nothing but a check is left to do.
cd "$(dirname "$0")" || exit 1
for file in site2.py replica2.py [4-8]/case.py; do
    [ -f "$file" ] || continue
    python3 -c "import ast, sys; ast.parse(open(sys.argv[1]).read())" \
        "$file" || exit 1
done
