#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start beside the daemon. The stand-ins are Python
# (standins-2/standins.py, the standard library only), so there is nothing to compile: this checks
# that they can be read.
cd "$(dirname "$0")" || exit 1
for file in standins-2/standins.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" || exit 1
done
