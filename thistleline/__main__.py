"""Starts one server: `python -m thistleline`, told by ROUTER_CONFIG."""

import signal
import sys


def main() -> int:
    if len(sys.argv) > 1:
        from thistleline.cli.main import main as command

        return int(command(sys.argv[1:]) or 0)

    # Held back until the service hears them, by the line `run` before that. Guards against a notice that ends
    # the program on the spot once clients can reach it, or that is lost; whatever hears them unblocks them.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGTERM, signal.SIGINT, signal.SIGHUP})

    import os

    import anyio

    from thistleline.server.configuration import Unusable, read_configuration
    from thistleline.server.log import complain
    from thistleline.server.service import Service
    from thistleline.wire.settings import SettingsError

    try:
        configuration = read_configuration(os.environ)
    except SettingsError as error:
        complain(str(error))
        return 2
    conf = None
    if os.environ.get("THISTLELINE_CONF"):
        from thistleline.config.loader import ConfigError, read_config

        try:
            conf = read_config(os.environ["THISTLELINE_CONF"])
        except ConfigError as faulty:
            for line in faulty.lines:
                complain(line)
            return 2
    serves = Service
    if conf is not None and conf.handover is not None:
        from thistleline.handover.service import AttendedService

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
    ended = main()
    if len(sys.argv) > 1:
        sys.exit(ended)
    import os

    # All is written and closed. Guards the time to the stop on a slow core, of which taking the interpreter
    # apart would need a good part.
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(ended)
