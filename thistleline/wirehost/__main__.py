import sys

from thistleline.wirehost.host import main

sys.exit(main(sys.stdin, sys.stdout))
