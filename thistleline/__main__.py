"""Starts one server: `python -m thistleline`, told by ROUTER_CONFIG."""

import signal
import sys
from typing import Any


def main() -> int:
    if len(sys.argv) > 1:
        from thistleline.cli.main import main as command

        return int(command(sys.argv[1:]) or 0)

    def leave(*_: Any) -> None:
        raise SystemExit(0)  # nothing listens yet, so nothing is owed

    signal.signal(signal.SIGTERM, leave)
    # SIGHUP while starting waits until the service listens for it; guards against ending by it.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})

    import os

    import anyio

    from thistleline.life.configuration import Unusable, read_configuration
    from thistleline.life.log import complain
    from thistleline.life.service import Service
    from thistleline.wire.bench import Malformed

    try:
        configuration = read_configuration(os.environ)
    except Malformed as error:
        complain(str(error))
        return 2
    conf = None
    if os.environ.get("THISTLELINE_CONF"):
        from thistleline.conf.schema import Faulty, read_conf

        try:
            conf = read_conf(os.environ["THISTLELINE_CONF"])
        except Faulty as faulty:
            for line in faulty.lines:
                complain(line)
            return 2
    serves = Service
    if conf is not None and conf.handover is not None:
        from thistleline.attended.service import AttendedService

        serves = AttendedService
    try:
        anyio.run(serves(configuration, conf).run)
    except Unusable as error:
        complain(str(error))
        return 2
    except OSError as error:
        complain(
            f"{configuration.name} can't listen on "
            f"{configuration.listen[0]}:{configuration.listen[1]}: {error.strerror}"
        )
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
