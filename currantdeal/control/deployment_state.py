"""Holds the replicated state of a deployment: its newest configuration.

A command carries a whole configuration.  One with a higher version replaces
the current one.  Any other changes nothing but is acknowledged as well,
because its sender may be retrying a change whose acknowledgement was lost.
"""

from dataclasses import dataclass

from currantdeal.core import Codec


@dataclass(frozen=True, kw_only=True)
class SetConfig:
    """Command that replaces the configuration.

    Parameters
    ----------
    version : int
        Version of the configuration.
    packed : bytes
        The configuration as the operator sent it, compressed with zlib.
    """

    version: int
    packed: bytes


@dataclass(frozen=True, kw_only=True)
class DeploymentState:
    """The state that every replica computes from the same commands.

    Parameters
    ----------
    index : int
        Log index of the last entry that was applied.
    version : int
        Version of the configuration; 0 before the first.
    packed : bytes
        The configuration, compressed with zlib.

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
        """Return the state after an entry; its command may be None."""
        if command is None or command.version <= self.version:
            return DeploymentState(
                index=index, version=self.version, packed=self.packed
            )
        return DeploymentState(
            index=index, version=command.version, packed=command.packed
        )


DEPLOYMENT_CODEC = Codec(classes=(SetConfig, DeploymentState))
