"""Run a stand-in model engine as a process.

The process serves the engine's HTTP interface and announces itself to the
instances that its options name.

Run ``python -m currantdeal.testing.engine --help`` for its options.
"""

from dataclasses import fields

import click

from currantdeal.core import Label, Role, Upstream, UpstreamKind
from currantdeal.testing.announcer import Announcer
from currantdeal.testing.engine_core import EngineCore
from currantdeal.testing.engine_http import EngineApp, EngineHandler
from currantdeal.testing.engine_messages import EngineProfile
from currantdeal.testing.engine_model import EngineModel
from currantdeal.testing.http_server import StandInServer
from currantdeal.testing.standin import (
    common_options,
    new_incarnation,
    pop_common_options,
    run_until_signal,
)

# Smaller than the defaults of EngineModel, because the stand-in sends these
# bytes over a real connection.
_MODEL = EngineModel(
    pieces_total=256,
    kv_bytes_per_token=2_048,
    link_bytes_per_s=50e6,
)
_DEFAULTS = EngineProfile(upstream_id="", model=_MODEL)
_ROLES = [role.value for role in Role]


def describe_engine(core, common, address, incarnation):
    """Return the engine's announcement with its current roles and models."""
    profile = core.profile
    model = profile.model
    return Upstream(
        upstream_id=profile.upstream_id,
        incarnation=incarnation,
        address=common.advertise or address,
        kind=UpstreamKind.ENGINE,
        roles=core.roles,
        targets=core.models,
        region=common.region,
        data_center=common.data_center,
        labels=parse_labels(common.labels),
        pieces_total=model.pieces_total,
        tokens_per_piece=model.tokens_per_piece,
        link_bytes_per_s=model.link_bytes_per_s,
        kv_bytes_per_token=model.kv_bytes_per_token,
        checks_fencing=profile.checks_fencing,
    )


def parse_labels(texts):
    """Parse labels from ``NAME=VALUE`` strings."""
    parts = (text.partition("=") for text in texts)
    return tuple(Label(name=name, value=value) for name, _, value in parts)


def model_options(command):
    """Add a command line option for each field of ``EngineModel``."""
    for item in reversed(fields(EngineModel)):
        flag = "--" + item.name.replace("_", "-")
        default = getattr(_MODEL, item.name)
        command = click.option(flag, default=default)(command)
    return command


def pop_model_options(options):
    """Remove the model's fields from click's options and return the model."""
    names = [item.name for item in fields(EngineModel)]
    return EngineModel(**{name: options.pop(name) for name in names})


@click.command()
@common_options
@model_options
@click.option("--id", "upstream_id", required=True)
@click.option("--role", "roles", multiple=True, type=click.Choice(_ROLES))
@click.option("--model", "models", multiple=True, default=_DEFAULTS.models)
@click.option("--load-lag-s", default=_DEFAULTS.load_lag_s)
@click.option("--event-loss", default=_DEFAULTS.event_loss)
@click.option("--seed", default=_DEFAULTS.seed)
@click.option(
    "--checks-fencing/--ignores-fencing", default=_DEFAULTS.checks_fencing
)
def main(roles, **options):
    """Run a stand-in model engine until SIGTERM or SIGINT."""
    common = pop_common_options(options)
    model = pop_model_options(options)
    core = EngineCore(
        profile=EngineProfile(model=model, **options),
        roles=tuple(Role(role) for role in roles)
        or (Role.PREFILL, Role.DECODE),
    )
    server = StandInServer(
        address=common.address,
        handler=EngineHandler,
        app=EngineApp(core=core),
    )
    core.start()
    run_until_signal(server, _announcer(core, common, server.bound_address))


def _announcer(core, common, address):
    incarnation = new_incarnation()
    return Announcer(
        instances=common.instances,
        key=common.key,
        upstream=lambda: describe_engine(core, common, address, incarnation),
        load=lambda: core.load_report(incarnation),
        paused=lambda: _is_paused(core.fault_injector.faults),
    )


def _is_paused(faults):
    return faults.lie_silent or faults.stop_renewing


if __name__ == "__main__":
    main()
