#!/bin/sh
# The stand-ins of the second review are Python sources of the standard
# library; nothing is compiled.  Checks that they can be loaded.
cd "$(dirname "$0")/.." || exit 1
PYTHONDONTWRITEBYTECODE=1 python3 - <<'PYTHON'
import ast
import pathlib

import review.bed2.bed

for number in range(6, 11):
    for source in pathlib.Path('review', str(number)).glob('*.py'):
        ast.parse(source.read_text(), str(source))
PYTHON
