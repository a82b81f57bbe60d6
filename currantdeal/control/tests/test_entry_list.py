from thrift.protocol.TBinaryProtocol import TBinaryProtocolAcceleratedFactory
from thrift.TSerialization import deserialize

from currantdeal.adapters.generated.peers.ttypes import Frame
from currantdeal.control.directory import SILENCE_TIMEOUT_S, EntryDirectory
from currantdeal.control.entry_list import EntryList
from currantdeal.node.messages import PEER_CODEC, EntriesNotice
from currantdeal.registry.tests.builders import an_entry

FRAME_HEADER_BYTES = 4


class _Connection:
    """Keeps the notices that are sent to an entry."""

    def __init__(self):
        self.notices = []

    def notify(self, notice):
        self.notices.append(notice)

    def send_packed(self, frame):
        raw = frame[FRAME_HEADER_BYTES:]
        body = deserialize(Frame(), raw, TBinaryProtocolAcceleratedFactory())
        self.notices.append(PEER_CODEC.decode(body.body))


def _entry(number, **changes):
    return an_entry(instance=f"e{number}", **changes)


def test_entries_receive_the_list_and_then_changes():
    directory = EntryDirectory()
    entries = EntryList(directory=directory)
    directory.merge(_entry(1), now_s=0.0)
    entries.publish_changes(now_s=0.0, current=True)
    connection = _Connection()
    entries.subscribe(connection)
    directory.merge(_entry(2), now_s=1.0)
    entries.publish_changes(now_s=1.0, current=True)
    entries.publish_changes(now_s=1.1, current=True)
    late_s = SILENCE_TIMEOUT_S + 0.1
    entries.publish_changes(now_s=late_s, current=True)
    assert connection.notices == [
        EntriesNotice(entries=(_entry(1),), complete=True),
        EntriesNotice(entries=(_entry(2),)),
        EntriesNotice(gone=("e1",)),
    ]


def test_silent_entries_stay_listed_without_contact_to_the_leader():
    """The control instance is partitioned and misses heartbeats."""
    directory = EntryDirectory()
    entries = EntryList(directory=directory)
    directory.merge(_entry(1), now_s=0.0)
    entries.publish_changes(now_s=9.0, current=False)
    connection = _Connection()
    entries.subscribe(connection)
    assert connection.notices[0].entries == (_entry(1),)
