"""The replicated state of a deployment: the newest configuration.

A command carries a whole configuration.  One with a higher version replaces
the one held; any other changes nothing, and is acknowledged all the same,
because its sender may be repeating a change whose acknowledgement was lost.
"""

from dataclasses import dataclass

from currantdeal.core import Codec


@dataclass(frozen=True, kw_only=True)
class SetConfig:
    """Command: bring a configuration into force.

    Parameters
    ----------
    packed : bytes
        The operators' own bytes, compressed with zlib.
    """

    version: int
    packed: bytes


@dataclass(frozen=True, kw_only=True)
class DeploymentState:
    """What every replica holds after the same commands.

    Parameters
    ----------
    index : int
        Log index of the last command that was applied.
    version : int
        Version of the configuration; 0 before the first.

    Examples
    --------
    >>> state = DeploymentState()
    >>> state = state.after(1, SetConfig(version=5, packed=b"new"))
    >>> state.after(2, SetConfig(version=5, packed=b"other")).packed
    b'new'
    """

    index: int = 0
    version: int = 0
    packed: bytes = b""

    def after(self, index, command):
        """Return the state after a command."""
        if command is None or command.version <= self.version:
            return DeploymentState(
                index=index, version=self.version, packed=self.packed
            )
        return DeploymentState(
            index=index, version=command.version, packed=command.packed
        )


DEPLOYMENT_CODEC = Codec(classes=(SetConfig, DeploymentState))
