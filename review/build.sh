#!/usr/bin/env bash
# The stand-ins are Python scripts without dependencies: nothing is compiled. This checks that they can run.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
for script in stand_ins.py [0-9]*/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$script"
done
