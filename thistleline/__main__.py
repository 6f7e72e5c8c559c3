"""Starts one server, configured by ROUTER_CONFIG; with arguments, the command line."""

import signal
import sys


def main() -> int:
    """Run the command line or one server; return the exit code."""
    if len(sys.argv) > 1:
        from thistleline.cli.main import main as command

        return int(command(sys.argv[1:]) or 0)

    # Held back until the service handles them, by the line `run` before that: a signal must not end the
    # process on the spot once clients can reach it, or be lost. Whatever handles them unblocks them.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGTERM, signal.SIGINT, signal.SIGHUP})
    return serve()


def serve() -> int:
    """Run one server; return the exit code: 2 where it can't be configured, 1 where it can't listen."""
    import os

    import anyio

    from thistleline.server.configuration import ConfigurationError, read_configuration
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
    service_class = Service
    if conf is not None and conf.handover is not None:
        from thistleline.handover.service import HandoverService

        service_class = HandoverService
    try:
        anyio.run(service_class(configuration, conf).run)
    except ConfigurationError as error:
        complain(str(error))
        return 2
    except OSError as error:
        host, port = configuration.listen
        complain(f"{configuration.name} can't listen on {host}:{port}: {error.strerror}")
        return 1
    return 0


if __name__ == "__main__":
    exit_code = main()
    if len(sys.argv) > 1:
        sys.exit(exit_code)
    import os

    # All is written and closed. Taking the interpreter apart would need a good part of the time to the stop
    # on a slow core.
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(exit_code)
