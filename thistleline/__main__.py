"""Starts a server configured by ROUTER_CONFIG, or, with arguments, runs the command line."""

import signal
import sys


def main() -> int:
    """Run the command line or a server; return the exit code."""
    if len(sys.argv) > 1:
        from thistleline.cli.main import main as command

        return int(command(sys.argv[1:]) or 0)

    # The signals stay blocked until the service has installed its handlers and unblocks them; the command
    # `run` in deploy/balancer.toml blocks them even before the interpreter starts. Otherwise a signal could
    # be lost, or end the process abruptly although clients can already reach it.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGTERM, signal.SIGINT, signal.SIGHUP})
    return serve()


def serve() -> int:
    """Run a server; return the exit code: 2 for an invalid configuration, 1 if it can't listen."""
    import os

    import anyio

    from thistleline.server.configuration import ConfigurationError, read_configuration
    from thistleline.server.log import print_error
    from thistleline.server.service import Service
    from thistleline.wire.settings import SettingsError

    try:
        configuration = read_configuration(os.environ)
    except SettingsError as error:
        print_error(str(error))
        return 2
    conf = None
    if os.environ.get("THISTLELINE_CONF"):
        from thistleline.config.loader import ConfigError, read_config

        try:
            conf = read_config(os.environ["THISTLELINE_CONF"])
        except ConfigError as config_error:
            for line in config_error.lines:
                print_error(line)
            return 2
    service_class = Service
    if conf is not None and conf.handover is not None:
        from thistleline.handover.service import HandoverService

        service_class = HandoverService
    try:
        anyio.run(service_class(configuration, conf).run)
    except ConfigurationError as error:
        print_error(str(error))
        return 2
    except OSError as error:
        host, port = configuration.listen
        print_error(f"{configuration.name} can't listen on {host}:{port}: {error.strerror}")
        return 1
    return 0


if __name__ == "__main__":
    exit_code = main()
    if len(sys.argv) > 1:
        sys.exit(exit_code)
    import os

    # Everything is written and closed. Finalizing the interpreter would take a large part of the stop timeout
    # on a slow core, so finalization is skipped.
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(exit_code)
