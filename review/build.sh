#!/bin/sh
# The stand-ins are Python sources that use the libraries of the deploy file's
# build; nothing is compiled. Checks that all of them can be loaded.
cd "$(dirname "$0")/.." || exit 1
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:. python3 -c '
import review.bed.case, review.bed.http, review.bed.processes, review.bed.world
import standins.metadata_store
'
