"""Generates the example deployments of both users.

``python -m currantdeal.testing.examples FOLDER`` writes the settings of
eight instances, the announcements of the upstreams and the selectors of each
user.  All addresses are on loopback, so that a deployment can run on one
machine.
"""

from dataclasses import dataclass, replace
from hashlib import sha256
from pathlib import Path

import click
import msgspec

from currantdeal.adapters.settings import (
    KeyKind,
    KeySettings,
    PeerSettings,
    Settings,
    TimingSettings,
    UserWeights,
)
from currantdeal.core import (
    CallerId,
    Label,
    Role,
    Selector,
    Upstream,
    UpstreamKind,
    WorkKind,
)
from currantdeal.testing.shapes import InstanceShape, spread

INSTANCES = 8
REPLICAS = 5
PIECES_TOTAL = 2_400
LINK_BYTES_PER_S = 4e9
KV_BYTES_PER_TOKEN = 100_000


@dataclass(frozen=True, kw_only=True)
class User:
    """The deployment of one user.

    Parameters
    ----------
    first_port : int
        Port for callers of the first instance; the other instances use the
        following ones.  Ports for peers are 100 higher, those of upstreams
        200 higher.
    callers : tuple of str
        Callers that work is accounted to, each with its own key.
    kinds : tuple of WorkKind
        Kinds of work that the model serves.
    """

    name: str
    regions: tuple[str, ...]
    first_port: int
    model: str
    service: str
    prefill_engines: int
    decode_engines: int
    services: int
    callers: tuple[str, ...]
    weights: UserWeights
    deadline_s: float
    kinds: tuple[WorkKind, ...] = (WorkKind.CHAT, WorkKind.COMPLETION)


NUBE = User(
    name="nube",
    regions=("bizkaia", "cantabria", "asturias"),
    first_port=8101,
    model="nube-assistant",
    service="shop",
    prefill_engines=4,
    decode_engines=6,
    services=3,
    callers=("bilbao", "santander", "oviedo"),
    weights=UserWeights(goodput=1.0, wasted_prefill=3.0),
    deadline_s=5.0,
)

EKUNDAYO = User(
    name="ekundayo",
    regions=("lagos", "abuja", "ibadan"),
    first_port=8401,
    model="acoustics",
    service="client-desk",
    prefill_engines=2,
    decode_engines=4,
    services=3,
    callers=("architects", "church-builders", "cinema-fitters"),
    weights=UserWeights(goodput=3.0, wasted_prefill=1.0),
    deadline_s=10.0,
)

USERS = (NUBE, EKUNDAYO)


def example_key(user, name):
    """Return the key whose hash the settings of an example contain."""
    return f"change-me-{user.name}-{name}"


def instance_shapes(user):
    """Return the eight instances, distributed over the regions."""
    return spread(INSTANCES, replicas=REPLICAS, regions=user.regions)


def settings_of(user, shape):
    """Return the settings of an instance."""
    shapes = instance_shapes(user)
    peers = {
        instance.name: f"127.0.0.1:{user.first_port + 100 + index}"
        for index, instance in enumerate(shapes)
    }
    names = [instance.name for instance in shapes]
    replicas = [
        instance.name for instance in shapes if instance.has_data_folder
    ]
    port = user.first_port + names.index(shape.name)
    return Settings(
        instance=shape.name,
        region=shape.region,
        data_center=shape.data_center,
        caller_address=f"127.0.0.1:{port}",
        peer_address=peers[shape.name],
        seeds=tuple(peers[name] for name in replicas if name != shape.name),
        replicas=tuple(
            PeerSettings(instance=name, peer_address=peers[name])
            for name in replicas
        ),
        data_folder=f"data/{shape.name}" if shape.has_data_folder else "",
        keys=_keys(user),
        timing=TimingSettings(deadline_s=user.deadline_s),
        weights=user.weights,
    )


def upstreams_of(user):
    """Return the announcements of all upstreams."""
    kinds = [("prefill", Role.PREFILL)] * user.prefill_engines
    kinds += [("decode", Role.DECODE)] * user.decode_engines
    engines = tuple(
        _engine(user, index, name, role)
        for index, (name, role) in enumerate(kinds)
    )
    offset = len(engines)
    services = tuple(
        _service(user, offset + index, index) for index in range(user.services)
    )
    return engines + services


def selectors_of(user):
    """Return the selectors that admit upstreams by their label."""
    return (
        Selector(
            name="model",
            expression="lender=partner",
            kinds=user.kinds,
            targets=(user.model,),
            roles=(Role.PREFILL, Role.DECODE),
        ),
        Selector(
            name=user.service,
            expression="lender=partner",
            kinds=(WorkKind.SERVICE,),
            targets=(user.service,),
            roles=(Role.SERVICE,),
        ),
    )


def write_example(user, folder):
    """Write the deployment of a user into a folder."""
    for shape in instance_shapes(user):
        path = folder / "instances" / f"{shape.name}.json"
        _write(path, settings_of(user, shape))
    for selector in selectors_of(user):
        _write(folder / "selectors" / f"{selector.name}.json", selector)
    _write(folder / "upstreams.json", upstreams_of(user))


def _keys(user):
    return (
        *(_caller_key(user, name) for name in user.callers),
        _key(user, "operators", KeyKind.OPERATOR),
        _key(user, "upstreams", KeyKind.UPSTREAM),
    )


def _caller_key(user, name):
    return replace(_key(user, name, KeyKind.CALLER), caller=CallerId(name))


def _key(user, name, kind):
    digest = sha256(example_key(user, name).encode()).hexdigest()
    return KeySettings(name=name, kind=kind, sha256=digest)


def _engine(user, index, name, role):
    place = _place(user, index)
    return Upstream(
        upstream_id=f"{name}-{index + 1}",
        incarnation=1,
        address=f"127.0.0.1:{user.first_port + 200 + index}",
        kind=UpstreamKind.ENGINE,
        roles=(role,),
        targets=(user.model,),
        region=place.region,
        data_center=place.data_center,
        labels=(Label(name="lender", value="partner"),),
        pieces_total=PIECES_TOTAL,
        link_bytes_per_s=LINK_BYTES_PER_S,
        kv_bytes_per_token=KV_BYTES_PER_TOKEN,
    )


def _service(user, index, number):
    place = _place(user, number)
    return Upstream(
        upstream_id=f"{user.service}-{number + 1}",
        incarnation=1,
        address=f"127.0.0.1:{user.first_port + 200 + index}",
        kind=UpstreamKind.SERVICE,
        roles=(Role.SERVICE,),
        targets=(user.service,),
        region=place.region,
        data_center=place.data_center,
        labels=(Label(name="lender", value="partner"),),
    )


def _place(user, index) -> InstanceShape:
    return instance_shapes(user)[index % len(user.regions)]


def _write(path, value):
    path.parent.mkdir(parents=True, exist_ok=True)
    raw = msgspec.json.format(msgspec.json.encode(value))
    path.write_bytes(raw + b"\n")


@click.command()
@click.argument("folder", type=click.Path(path_type=Path))
def main(folder):
    """Write the example deployments into a folder."""
    for user in USERS:
        write_example(user, folder / user.name)


if __name__ == "__main__":
    main()
