#!/bin/sh
# The stand-ins need the standard library only; this checks that they compile.
cd "$(dirname "$0")" || exit 1
exec python3 -c "
import ast, pathlib
for path in ('stand_ins.py', '5/run.py'):
    ast.parse(pathlib.Path(path).read_text(encoding='utf-8'), path)
"
