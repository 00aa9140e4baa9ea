"""``buckthornrock serve``: run one instance until it is told to stop."""

import os
import signal
import sys
import threading
from types import FrameType

import click

from ..compose.gateway import platform_settings_path, run_on_platform
from ..conf import load_settings
from .check import print_problems

EXIT_CLEAN = 0
EXIT_CUT = 1


@click.command()
@click.argument("settings_path", required=False)
@click.option("--metrics-port", default=0, help="Port of metrics on the platform.")
def serve(settings_path: str | None, metrics_port: int) -> None:
    """Run one instance with the settings file SETTINGS_PATH.

    Without a path, the instance runs on the platform whose settings file is named in
    the environment.

    SIGTERM and SIGINT drain it: it turns not ready, finishes every request and ends
    with 0. A second signal ends it at once. Exits with 1 if requests were cut.
    """
    if settings_path is None:
        _serve_on_platform(metrics_port)
        return
    _serve_settings(settings_path)


def _serve_settings(settings_path: str) -> None:
    # Loading this takes most of a start on the platform, which doesn't need it.
    from ..compose.instance import start_instance

    # Instances on the platform need SIGHUP ignored from the start of the process;
    # this one isn't on the platform.
    signal.signal(signal.SIGHUP, signal.SIG_DFL)
    settings = load_settings(settings_path)
    if settings.is_error():
        print_problems(settings.error, as_json=False)
        sys.exit(1)
    log_path = settings.ok.telemetry.log_path
    log_stream = sys.stderr if log_path == "-" else open(log_path, "a")  # noqa: SIM115
    instance = start_instance(settings.ok, log_stream)
    stop_requested = threading.Event()

    def on_signal(number: int, frame: FrameType | None) -> None:
        if stop_requested.is_set():
            _exit(instance.n_open())
        stop_requested.set()

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, on_signal)
    stop_requested.wait()
    _exit(instance.stop())


def _serve_on_platform(metrics_port: int) -> None:
    path = platform_settings_path()
    if not path:
        raise click.UsageError("no SETTINGS_PATH given, and no platform's settings")
    failure = run_on_platform(path, sys.stdout, metrics_port)
    print_problems(list(failure.problems), as_json=False)
    sys.exit(1)


def _exit(n_cut: int) -> None:
    """End the process without waiting for threads that serve cut requests."""
    click.echo(f"stopped, {n_cut} requests cut", err=True)
    sys.stderr.flush()
    os._exit(EXIT_CUT if n_cut else EXIT_CLEAN)
