#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the line `build` of the deploy file. They are Python without
# dependencies, so this compiles them and checks that the project's own programs can be imported.
cd "$(dirname "$0")/.." || exit 2
set -e
.venv/bin/python -m compileall -q review/common_2.py
for folder in 6 7 8 9 10; do
    test ! -d "review/$folder" || .venv/bin/python -m compileall -q "review/$folder"
done
.venv/bin/python -c "import thistleline.cli.main, thistleline.handover.service, thistleline.server.service"
