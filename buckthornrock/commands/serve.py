"""``buckthornrock serve``: run one instance until it is told to stop."""

import signal
import sys
import threading

import click

from ..compose import start_instance
from ..conf import load_settings
from .check import print_problems


@click.command()
@click.argument("settings_path")
def serve(settings_path: str) -> None:
    """Run one instance with the settings file SETTINGS_PATH."""
    settings = load_settings(settings_path)
    if settings.is_error():
        print_problems(settings.error, as_json=False)
        sys.exit(1)
    log_path = settings.ok.telemetry.log_path
    log_stream = sys.stderr if log_path == "-" else open(log_path, "a")  # noqa: SIM115
    instance = start_instance(settings.ok, log_stream)
    stop_requested = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop_requested.set())
    stop_requested.wait()
    n_cut = instance.stop()
    sys.exit(1 if n_cut else 0)
