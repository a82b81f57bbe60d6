"""Stand-in plain service as a process: a shop whose orders run for real.

Run ``python -m currantdeal.testing.service --help`` for its options.
"""

import threading
import time
from dataclasses import asdict, dataclass

import click
import msgspec

from currantdeal.core import LoadReport, Role, Upstream, UpstreamKind
from currantdeal.testing.announcer import Announcer
from currantdeal.testing.engine import parse_labels
from currantdeal.testing.errors import RefusedError
from currantdeal.testing.http_server import StandInHandler, StandInServer
from currantdeal.testing.standin import (
    new_incarnation,
    place_options,
    run_until_signal,
    split_place,
)

MENU = ("tarta de queso", "tarta de Santiago", "red velvet")


@dataclass(frozen=True, kw_only=True)
class ServiceFaults:
    """Faults that a control call sets; a call replaces what it names.

    Parameters
    ----------
    delay_s : float
        Time between running a call and its answer, in seconds.
    drop_answers : int
        So many calls run and then lose their connection.
    refuse_calls : int
        So many calls are refused before they run.
    lie_silent : bool
        Nothing is answered or renewed, connections stay open.
    stop_renewing : bool
        Calls are served, but the service renews no more.
    """

    delay_s: float = 0.0
    drop_answers: int = 0
    refuse_calls: int = 0
    lie_silent: bool = False
    stop_renewing: bool = False


@dataclass(frozen=True, kw_only=True)
class ServiceRun:
    """One call that ran."""

    number: int
    wall_s: float
    method: str
    path: str
    key: str
    body: str


class ServiceApp:
    """State of the stand-in service.

    Parameters
    ----------
    upstream_id : str
        Its name, told in every answer.
    """

    def __init__(self, *, upstream_id):
        """Start with an empty journal and no faults."""
        self.upstream_id = upstream_id
        self.faults = ServiceFaults()
        self._runs = []
        self._lock = threading.Lock()

    @property
    def runs(self):
        """Every call that ran, oldest first."""
        with self._lock:
            return tuple(self._runs)

    def change_faults(self, changes):
        """Replace the faults that are named, and return all."""
        with self._lock:
            merged = asdict(self.faults) | changes
            self.faults = msgspec.convert(merged, ServiceFaults)
            return self.faults

    def take_fault(self, name):
        """Return whether a counted fault strikes, and count it down."""
        with self._lock:
            left = getattr(self.faults, name)
            if left <= 0:
                return False
            merged = asdict(self.faults) | {name: left - 1}
            self.faults = ServiceFaults(**merged)
            return True

    def run(self, *, method, path, key, body):
        """Run a call and write it down."""
        with self._lock:
            run = ServiceRun(
                number=len(self._runs) + 1,
                wall_s=time.time(),
                method=method,
                path=path,
                key=key,
                body=body,
            )
            self._runs.append(run)
        return run


class ServiceHandler(StandInHandler):
    """One connection to the service."""

    def do_GET(self):  # noqa: N802
        """Answer a read or a control call."""
        if self.path == "/control/journal":
            self.send_json({"runs": self.app.runs})
        else:
            self._call()

    def do_POST(self):  # noqa: N802
        """Answer a call that may not be repeated, or a control call."""
        if self.path == "/control":
            self._control()
        else:
            self._call()

    def do_PUT(self):  # noqa: N802
        """Answer any other call."""
        self._call()

    do_DELETE = do_PATCH = do_HEAD = do_OPTIONS = do_PUT  # noqa: N815

    def _control(self):
        try:
            changes = self.read_json(dict)
            self.send_json(self.app.change_faults(changes))
        except (RefusedError, msgspec.ValidationError) as exc:
            self.send_json({"error": str(exc)}, status=400)

    def _call(self):
        body = self.read_body()
        if not self.hold_while(lambda: self.app.faults.lie_silent):
            return
        if self.app.take_fault("refuse_calls"):
            self.send_json({"error": "refused"}, status=503)
            return
        run = self.app.run(
            method=self.command,
            path=self.path,
            key=self.headers.get("Idempotency-Key", ""),
            body=body.decode(errors="replace"),
        )
        time.sleep(self.app.faults.delay_s)
        if self.app.take_fault("drop_answers"):
            self.close_connection = True
            return
        self._answer(run)

    def _answer(self, run):
        answer = {"served_by": self.app.upstream_id, "number": run.number}
        if self.command == "POST":
            self.send_json(answer | {"order": run.body}, status=201)
        elif self.path.startswith("/menu"):
            self.send_json(answer | {"menu": MENU})
        else:
            self.send_json(answer | {"method": run.method, "path": run.path})


@click.command()
@place_options
@click.option("--id", "upstream_id", required=True)
@click.option("--service", "services", multiple=True, default=("shop",))
def main(upstream_id, services, **options):
    """Run a stand-in plain service until it is told to stop."""
    place = split_place(options)
    app = ServiceApp(upstream_id=upstream_id)
    server = StandInServer(
        address=place.address, handler=ServiceHandler, app=app
    )
    upstream = Upstream(
        upstream_id=upstream_id,
        incarnation=new_incarnation(),
        address=place.advertise or server.bound_address,
        kind=UpstreamKind.SERVICE,
        roles=(Role.SERVICE,),
        targets=services,
        region=place.region,
        data_center=place.data_center,
        labels=parse_labels(place.labels),
    )
    run_until_signal(server, _announcer(app, place, upstream))


def _announcer(app, place, upstream):
    report = LoadReport(
        upstream_id=upstream.upstream_id, incarnation=upstream.incarnation
    )
    return Announcer(
        instances=place.instances,
        key=place.key,
        upstream=lambda: upstream,
        load=lambda: report,
        silent=lambda: app.faults.lie_silent or app.faults.stop_renewing,
    )


if __name__ == "__main__":
    main()
