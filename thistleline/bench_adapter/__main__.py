"""Run the adapter on standard input and output until the input ends."""

import sys

from thistleline.bench_adapter.adapter import main

sys.exit(main(sys.stdin, sys.stdout))
