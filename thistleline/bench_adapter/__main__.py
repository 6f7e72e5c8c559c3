"""Run the adapter on standard input and output until end of input."""

import sys

from thistleline.bench_adapter.adapter import main

sys.exit(main(sys.stdin, sys.stdout))
