import sys

from thistleline.bench_adapter.adapter import main

sys.exit(main(sys.stdin, sys.stdout))
