"""Provide a stand-in upstream that some processes cannot reach."""

import asyncio
import contextlib
import os
import socket
import struct
from enum import Enum

from currantdeal.node.single_flight import SingleFlight
from currantdeal.testing.platform_upstream import StandInUpstream

CHUNK_BYTES = 65_536

SCAN_INTERVAL_S = 0.02
"""Least time between two lists of the sockets of all processes."""

_SOCK_DIAG = 4
_DIAG_BY_FAMILY = 20
_REQUEST = 1
_ANY_STATE = 0xFFFFFFFF
_NO_COOKIE = 0xFFFFFFFF
_NETLINK_HEADER = struct.Struct("=IHHII")
_DIAG_REQUEST = struct.Struct("=BBxxI")
_DIAG_ADDRESS_BYTES = 16
_INODE_OFFSET = 84


class LinkCut(str, Enum):
    """What happens to the connections of a process that is cut.

    With ``HANG``, bytes on open and new connections are held back until the
    cut ends.  With ``RESET``, open and new ones are reset, and with
    ``RESET_NEW`` only new ones.
    """

    HANG = "hang"
    RESET = "reset"
    RESET_NEW = "reset-new"


class SocketOwners:
    """Finds which of some processes has opened a connection.

    Parameters
    ----------
    process_ids : callable
        Returns the ids of the processes.
    """

    def __init__(self, *, process_ids):
        """Know nothing yet."""
        self._process_ids = process_ids
        self._scan = SingleFlight(
            work=self._list_sockets, interval_s=SCAN_INTERVAL_S
        )

    async def owner_of(self, source, target):
        """Return the id of the process, or None if it is none of them."""
        socket_name = _socket_name(source, target)
        return (await self._scan.run()).get(socket_name)

    def owners_now(self, connections):
        """Return the owner of each ``(source, target)``, None if unknown."""
        names = [_socket_name(*ends) for ends in connections]
        if not names:
            return []
        owners = self._list_now()
        return [owners.get(name) for name in names]

    async def _list_sockets(self):
        return self._list_now()

    def _list_now(self):
        found = {}
        for process_id in self._process_ids():
            for name in _file_names(process_id):
                found[name] = process_id
        return found


class CutUpstream(StandInUpstream):
    """An upstream behind links that can be cut for single processes.

    Parameters
    ----------
    upstream : str
        Name of the upstream.
    owners : SocketOwners
        Tells which process has opened a connection.
    script : callable or None
        See ``StandInUpstream``.
    """

    def __init__(self, *, upstream, owners, script=None):
        """Create a stand-in that does not listen before ``start``."""
        super().__init__(upstream=upstream, script=script)
        self._owners = owners
        self._links = set()
        self._cuts = {}
        self._front = None
        self._healed = asyncio.Event()

    async def start(self, host="127.0.0.1", port=0):
        """Listen behind the links."""
        await super().start()
        self._behind = self.address
        self._front = await asyncio.start_server(self._link, host, port)
        bound = self._front.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"

    def stop(self):
        """Stop listening."""
        self._front.close()
        super().stop()

    def cut(self, process_ids, how):
        """Cut the links of processes, open ones as well."""
        self._find_owners()
        self._cuts.update(dict.fromkeys(process_ids, how))
        if how is LinkCut.RESET:
            for link in tuple(self._links):
                if link.process_id in self._cuts:
                    link.reset()

    def heal(self, process_ids):
        """Restore the links of processes."""
        for process_id in process_ids:
            self._cuts.pop(process_id, None)
        self._healed.set()
        self._healed = asyncio.Event()

    def cut_of(self, process_id):
        """Return the ``LinkCut`` of a process, or None."""
        return self._cuts.get(process_id)

    def _find_owners(self):
        links = [link for link in self._links if not link.is_owner_known]
        owners = self._owners.owners_now(link.ends for link in links)
        for link, process_id in zip(links, owners, strict=True):
            link.set_owner(process_id)

    async def _link(self, reader, writer):
        link = _Link(writer=writer)
        if self._cuts:
            link.set_owner(await self._owners.owner_of(*link.ends))
        if self.cut_of(link.process_id) in (LinkCut.RESET, LinkCut.RESET_NEW):
            link.reset()
            return
        self._links.add(link)
        with contextlib.suppress(OSError, asyncio.CancelledError):
            await self._forward(link, reader, writer)
        self._links.discard(link)
        link.reset()

    async def _forward(self, link, reader, writer):
        host, _, port = self._behind.rpartition(":")
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        link.writers.append(far_writer)
        await asyncio.gather(
            self._copy(link, reader, far_writer),
            self._copy(link, far_reader, writer),
        )

    async def _copy(self, link, reader, writer):
        while data := await reader.read(CHUNK_BYTES):
            await self._until_healed(link)
            writer.write(data)
            await writer.drain()
        await self._until_healed(link)
        writer.close()

    async def _until_healed(self, link):
        while self.cut_of(link.process_id) is LinkCut.HANG:
            await self._healed.wait()


class _Link:
    """A connection to a stand-in, and the process that opened it.

    The process is looked for only once something is cut, as finding it takes
    longer than an answer.
    """

    def __init__(self, *, writer):
        self.process_id = None
        self.is_owner_known = False
        self.ends = tuple(
            writer.get_extra_info(name) for name in ("peername", "sockname")
        )
        self.writers = [writer]

    def set_owner(self, process_id):
        self.process_id = process_id
        self.is_owner_known = True

    def reset(self):
        for writer in self.writers:
            writer.transport.abort()


def _file_names(process_id):
    """Return the targets of the open files of a process."""
    found = []
    try:
        folder = os.open(f"/proc/{process_id}/fd", os.O_RDONLY)
    except OSError:
        # The process has ended.
        return found
    try:
        for number in os.listdir(folder):
            with contextlib.suppress(OSError):
                found.append(os.readlink(number, dir_fd=folder))
    except OSError:
        return found
    finally:
        os.close(folder)
    return found


def _socket_name(source, target):
    """Return the name of the socket that connects two addresses.

    It is the target of the link in the folder of its process.

    The kernel is asked by the ``sock_diag`` interface of Linux.
    """
    body = _DIAG_REQUEST.pack(socket.AF_INET, socket.IPPROTO_TCP, _ANY_STATE)
    body += struct.pack("!HH", source[1], target[1])
    for host in (source[0], target[0]):
        body += socket.inet_aton(host).ljust(_DIAG_ADDRESS_BYTES, b"\0")
    body += struct.pack("=III", 0, _NO_COOKIE, _NO_COOKIE)
    header = _NETLINK_HEADER.pack(
        _NETLINK_HEADER.size + len(body), _DIAG_BY_FAMILY, _REQUEST, 1, 0
    )
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, _SOCK_DIAG) as link:
        link.send(header + body)
        answer = link.recv(CHUNK_BYTES)
    if _NETLINK_HEADER.unpack_from(answer)[1] != _DIAG_BY_FAMILY:
        return None
    inode = struct.unpack_from("=I", answer, _INODE_OFFSET)[0]
    return f"socket:[{inode}]"
