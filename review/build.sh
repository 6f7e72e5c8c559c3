#!/bin/sh
# Builds the stand-ins of the cases. They are Python and use what the build of the deploy file has installed.
cd "$(dirname "$0")/.." || exit 2
.venv/bin/python -m compileall -q review && PYTHONPATH=. .venv/bin/python -c "import review.common"
