"""Run a stand-in plain service as a process.

The service is a shop that records every call that it executes, so that a test
can compare executions with responses.

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
    common_options,
    new_incarnation,
    pop_common_options,
    run_until_signal,
)

MENU = ("tarta de queso", "tarta de Santiago", "red velvet")


@dataclass(frozen=True, kw_only=True)
class ServiceFaults:
    """Faults that a control call sets; fields that it omits keep their value.

    Parameters
    ----------
    delay_s : float
        Delay between the execution of a call and its response, in seconds.
    drop_answers : int
        Number of calls that are executed but whose connection is closed
        without a response.
    refuse_calls : int
        Number of calls that are refused before execution.
    lie_silent : bool
        Requests get no response and renewals stop; connections stay open.
    stop_renewing : bool
        Renewals stop while calls are still served.
    """

    delay_s: float = 0.0
    drop_answers: int = 0
    refuse_calls: int = 0
    lie_silent: bool = False
    stop_renewing: bool = False


@dataclass(frozen=True, kw_only=True)
class ServiceRun:
    """One executed call."""

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
        Id of the service, included in every response.
    """

    def __init__(self, *, upstream_id):
        """Start with an empty journal and no faults."""
        self.upstream_id = upstream_id
        self.faults = ServiceFaults()
        self._runs = []
        self._lock = threading.Lock()

    @property
    def runs(self):
        """All executed calls, oldest first."""
        with self._lock:
            return tuple(self._runs)

    def change_faults(self, changes):
        """Replace the named faults and return all fault settings."""
        with self._lock:
            merged = asdict(self.faults) | changes
            self.faults = msgspec.convert(merged, ServiceFaults)
            return self.faults

    def consume_fault(self, name):
        """Return whether a counted fault applies; decrement its count."""
        with self._lock:
            left = getattr(self.faults, name)
            if left <= 0:
                return False
            merged = asdict(self.faults) | {name: left - 1}
            self.faults = ServiceFaults(**merged)
            return True

    def run(self, *, method, path, key, body):
        """Record a call, which is all that its execution does."""
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
    """Handler of one connection to the service."""

    def do_GET(self):  # noqa: N802
        """Handle a read call, or return the journal."""
        if self.path == "/control/journal":
            self.send_json({"runs": self.app.runs})
        else:
            self._call()

    def do_POST(self):  # noqa: N802
        """Handle a call that is not idempotent, or fault settings."""
        if self.path == "/control":
            self._control()
        else:
            self._call()

    def do_PUT(self):  # noqa: N802
        """Handle a call with any other method."""
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
        if not self.block_while(lambda: self.app.faults.lie_silent):
            return
        if self.app.consume_fault("refuse_calls"):
            self.send_json({"error": "refused"}, status=503)
            return
        run = self.app.run(
            method=self.command,
            path=self.path,
            key=self.headers.get("Idempotency-Key", ""),
            body=body.decode(errors="replace"),
        )
        time.sleep(self.app.faults.delay_s)
        if self.app.consume_fault("drop_answers"):
            self.close_connection = True
            return
        self._send_response(run)

    def _send_response(self, run):
        response = {"served_by": self.app.upstream_id, "number": run.number}
        if self.command == "POST":
            self.send_json(response | {"order": run.body}, status=201)
        elif self.path.startswith("/menu"):
            self.send_json(response | {"menu": MENU})
        else:
            self.send_json(response | {"method": run.method, "path": run.path})


@click.command()
@common_options
@click.option("--id", "upstream_id", required=True)
@click.option("--service", "services", multiple=True, default=("shop",))
def main(upstream_id, services, **options):
    """Run a stand-in plain service until SIGTERM or SIGINT."""
    common = pop_common_options(options)
    app = ServiceApp(upstream_id=upstream_id)
    server = StandInServer(
        address=common.address, handler=ServiceHandler, app=app
    )
    upstream = Upstream(
        upstream_id=upstream_id,
        incarnation=new_incarnation(),
        address=common.advertise or server.bound_address,
        kind=UpstreamKind.SERVICE,
        roles=(Role.SERVICE,),
        targets=services,
        region=common.region,
        data_center=common.data_center,
        labels=parse_labels(common.labels),
    )
    run_until_signal(server, _announcer(app, common, upstream))


def _announcer(app, common, upstream):
    report = LoadReport(
        upstream_id=upstream.upstream_id, incarnation=upstream.incarnation
    )
    return Announcer(
        instances=common.instances,
        key=common.key,
        upstream=lambda: upstream,
        load=lambda: report,
        paused=lambda: app.faults.lie_silent or app.faults.stop_renewing,
    )


if __name__ == "__main__":
    main()
