"""Mutation test: breaks the code in one place at a time and runs a check.

Every mutation is made in a copy of the source, and its check must then fail.
The result is printed as the table of
``docs/measurements/mutations.md``.
"""

import os
import shutil
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import click

import currantdeal

SOURCE = Path(currantdeal.__file__).parent
LIMIT_S = 600.0

EXPLORE = ("currantdeal.consensus.tests.explore", "--seeds", "3000")
EXPLORE_RECORDS = (
    "currantdeal.control.tests.explore_records",
    "--seeds",
    "300",
    "--seed",
    "900",
)


def pytest(*paths):
    """Return the module and arguments that run the tests below some paths."""
    full_paths = [f"currantdeal/{path}" for path in paths]
    return ("pytest", "-x", "-q", "-p", "no:cacheprovider", *full_paths)


NODE = pytest("consensus/tests/test_node.py")
DISK = pytest("adapters/disk")
STATE = pytest("state")
RUNTIME = pytest("adapters/replication")
CREDIT = pytest("organisations/tests/test_credit.py")
ACCESS = pytest("entry/tests/test_access.py")
OWNERS = pytest(
    "node/tests/test_extra_answers.py", "entry/tests/test_extra_answers.py"
)
GRANTS = pytest("policy/answers/tests/test_grant_channel.py")
OWN_PROMPT = pytest("entry/tests/test_own_prompt.py")
ENDS = pytest("entry/tests/test_answer_ends.py", "entry/tests/test_events.py")


@dataclass(frozen=True, kw_only=True)
class Mutation:
    """One mutation of the source and the check that must detect it.

    Parameters
    ----------
    title : str
        Description of the broken behaviour.
    path : str
        Path of the file, relative to the package.
    old, new : str
        Text that occurs exactly once in the file, and its replacement.
    check : tuple of str
        Module and its arguments, as for ``python -m``; the run must fail.
    """

    title: str
    path: str
    old: str
    new: str
    check: tuple[str, ...]


MUTATIONS = (
    Mutation(
        title="log entries are not synced",
        path="adapters/disk/folder.py",
        old="            self._sync(descriptor)\n        except OSError",
        new="            pass\n        except OSError",
        check=DISK,
    ),
    Mutation(
        title="the folder is not synced after a rename",
        path="adapters/disk/folder.py",
        old="        self._sync_folder()\n        return len(raw)",
        new="        return len(raw)",
        check=DISK,
    ),
    Mutation(
        title="writes go on after a failed sync",
        path="adapters/disk/folder.py",
        old="            self._failed = True\n"
        "            raise DiskFailedError(str(exc)) from exc\n\n"
        "    def _save_snapshot",
        new="            raise DiskFailedError(str(exc)) from exc\n\n"
        "    def _save_snapshot",
        check=DISK,
    ),
    Mutation(
        title="half a record stays after the disk was full",
        path="adapters/disk/folder.py",
        old="            os.ftruncate(self._file, self._length)\n"
        "            os.lseek",
        new="            os.lseek",
        check=DISK,
    ),
    Mutation(
        title="a record's checksum is not looked at",
        path="adapters/disk/records.py",
        old="if body_sum != _body_sum(body, offset):",
        new="if False:",
        check=DISK,
    ),
    Mutation(
        title="a header's checksum is not looked at",
        path="adapters/disk/records.py",
        old="if found != _header_sum(header, offset):",
        new="if False:",
        check=DISK,
    ),
    Mutation(
        title="a learner counts for a commit",
        path="consensus/replication.py",
        old="        for name in raft.configuration.voter_names\n"
        "    ]\n"
        "    agreed",
        new="        for name in raft.configuration.voter_names\n"
        "        + raft.configuration.learner_names\n"
        "    ]\n"
        "    agreed",
        check=EXPLORE,
    ),
    Mutation(
        title="a replica answers before its disk has synced",
        path="adapters/replication/replica.py",
        old="            self._outbox.send(output.early)\n",
        new="            self._outbox.send(output.early + output.messages)\n",
        check=RUNTIME,
    ),
    Mutation(
        title="entries of earlier terms are committed by counting",
        path="consensus/replication.py",
        old="if agreed > raft.commit "
        "and raft.log.term_at(agreed) == raft.term",
        new="if agreed > raft.commit",
        check=NODE,
    ),
    Mutation(
        title="a learner is promoted before it has caught up",
        path="consensus/replication.py",
        old="            if name in answering\n"
        "            and raft.progress[name].match_index >= raft.commit\n",
        new="            if answered_since_s\n",
        check=NODE,
    ),
    Mutation(
        title="no pre-vote",
        path="consensus/elections.py",
        old="    raft.role = RaftRole.PRE_CANDIDATE\n",
        new="    campaign(raft, now_s)\n    return\n",
        check=NODE,
    ),
    Mutation(
        title="votes without comparing logs",
        path="consensus/elections.py",
        old="    return candidate_log >= "
        "(raft.log.last_term, raft.log.last_index)",
        new="    return True",
        check=EXPLORE,
    ),
    Mutation(
        title="votes twice in a term",
        path="consensus/elections.py",
        old="        and raft.voted_for in (None, request.sender)\n",
        new="",
        check=EXPLORE,
    ),
    Mutation(
        title="a vote is not written",
        path="consensus/raft.py",
        old="        self.writes.append(SaveVote(term=term, "
        "voted_for=voted_for))\n",
        new="",
        check=EXPLORE,
    ),
    Mutation(
        title="a replica without memory votes",
        path="consensus/elections.py",
        old="        and not raft.blank\n        and _is_up_to_date",
        new="        and _is_up_to_date",
        check=NODE,
    ),
    Mutation(
        title="messages of an earlier term are accepted",
        path="consensus/following.py",
        old="    if message.term < raft.term:\n        return False\n",
        new="",
        check=EXPLORE,
    ),
    Mutation(
        title="entries are taken without matching the one before",
        path="consensus/following.py",
        old="    return local_term == request.previous_term",
        new="    return local_term is not None",
        check=EXPLORE,
    ),
    Mutation(
        title="a follower commits what it has not compared",
        path="consensus/following.py",
        old="    raft.commit = max(raft.commit, min(request.commit, match))",
        new="    raft.commit = max(\n"
        "        raft.commit, min(request.commit, raft.log.last_index)\n"
        "    )",
        check=EXPLORE,
    ),
    Mutation(
        title="a snapshot leaves conflicting entries in place",
        path="consensus/following.py",
        old="    discard = raft.log.term_at(piece.index) != piece.index_term",
        new="    discard = raft.log.term_at(piece.index) is None",
        check=NODE,
    ),
    Mutation(
        title="two changes of the replica set at a time",
        path="consensus/node.py",
        old="        if self.change_pending:\n            raise",
        new="        if False:\n            raise",
        check=NODE,
    ),
    Mutation(
        title="a leader without a quorum goes on",
        path="consensus/replication.py",
        old="        raft.become_follower(raft.term, None, now_s)\n"
        "        return\n",
        new="        pass\n",
        check=NODE,
    ),
    Mutation(
        title="leases count from the answer, not from the heartbeat",
        path="consensus/replication.py",
        old="    return sorted(times, reverse=True)"
        "[raft.configuration.quorum - 1]",
        new="    return now_s + 0.0 * len(times)",
        check=EXPLORE,
    ),
    Mutation(
        title="a new leader does not wait for earlier leases",
        path="consensus/leases.py",
        old="        self._earlier_leases_end_s = "
        "elected_s + self._max_lease_s",
        new="        self._earlier_leases_end_s = elected_s",
        check=EXPLORE,
    ),
    Mutation(
        title="a cut-off holder of a lease is not waited for",
        path="consensus/leases.py",
        old="holder.version >= version or holder.ends_s <= now_s",
        new="holder.version >= version or holder.ends_s <= now_s + 1.0",
        check=EXPLORE,
    ),
    Mutation(
        title="an instance keeps its lease when it is cut off",
        path="adapters/replication/port.py",
        old="        return max("
        "0.0, self._view_store.lease_ends_s - self._now_s)",
        new="        return 1.0 if self._view_store.lease_ends_s else 0.0",
        check=RUNTIME,
    ),
    Mutation(
        title="a view is shown before a leader vouched for it",
        path="adapters/replication/view_store.py",
        old="        self._min_visible_version = None",
        new="        self._min_visible_version = 0",
        check=RUNTIME,
    ),
    Mutation(
        title="a claim is granted a second time",
        path="state/claims.py",
        old="    if known is not None:\n"
        "        return state, _resend_result(known, command)\n",
        new="",
        check=STATE,
    ),
    Mutation(
        title="the body's digest is not compared",
        path="state/claims.py",
        old="    if known.digest != command.digest:",
        new="    if False:",
        check=STATE,
    ),
    Mutation(
        title="a change under an old version is made",
        path="state/machine.py",
        old="    if command.expected_version == current_version:",
        new="    if command.expected_version <= current_version:",
        check=STATE,
    ),
    Mutation(
        title="the digest of a key is not compared",
        path="organisations/keys.py",
        old="        return self._by_digest.get(digest)",
        new="        return next(iter(self._by_digest.values()), None)",
        check=ACCESS,
    ),
    Mutation(
        title="the age of the view is not checked at sending",
        path="node/http_client.py",
        old="        if boot_time_s() >= outgoing.send_before_s:",
        new="        if False:",
        check=ACCESS,
    ),
    Mutation(
        title="a leader confirms a state that it has not applied",
        path="control/replica.py",
        old="node.is_ready and self.state.index >= node.first_own_index",
        new="node.is_ready",
        check=pytest("control/tests/test_replica.py"),
    ),
    Mutation(
        title="unused credit is not returned",
        path="organisations/credit.py",
        old="        for units, granted_s in ask.returned:",
        new="        for units, granted_s in ():",
        check=CREDIT,
    ),
    Mutation(
        title="a reserve is used after its expiry",
        path="organisations/credit_pool.py",
        old="        if units > self._units or now_s >= self._until_s:",
        new="        if units > self._units:",
        check=CREDIT,
    ),
    Mutation(
        title="credit for a request is used after its time",
        path="entry/quotas.py",
        old="        is_open = self._clock() < sent_s + grant.open_s",
        new="        is_open = True",
        check=pytest("entry/tests/test_quotas.py"),
    ),
    Mutation(
        title="an owner grants at once after its election",
        path="organisations/credit_bucket.py",
        old="        if now_s < self._opened_s + bounds.window_s:",
        new="        if False:",
        check=CREDIT,
    ),
    Mutation(
        title="a close without a framing counts as a whole answer",
        path="policy/answers/answer_end.py",
        old="    return Completeness.UNKNOWN\n",
        new="    return Completeness.WHOLE\n",
        check=ENDS,
    ),
    Mutation(
        title="a stream that ends within an event counts as whole",
        path="policy/answers/answer_end.py",
        old=" or position is Position.WITHIN_EVENT:",
        new=":",
        check=ENDS,
    ),
    Mutation(
        title="a framed answer is ended though its end is unknown",
        path="policy/answers/answer_end.py",
        old="    return found is Completeness.WHOLE\n",
        new="    return found is not Completeness.BROKEN_OFF\n",
        check=ENDS,
    ),
    Mutation(
        title="an open-ended answer is cut by an orderly close",
        path="node/response_writer.py",
        old="        self._set_reset_on_close(True)",
        new="        self._set_reset_on_close(False)",
        check=ENDS,
    ),
    Mutation(
        title="an open-ended answer is cut in order by a kill",
        path="node/response_writer.py",
        old="        self._set_reset_on_close(True)",
        new="        pass",
        check=pytest("cli/tests/test_answer_ends.py"),
    ),
    Mutation(
        title="a long event counts as complete after a part",
        path="entry/events.py",
        old="        self._forwarded_part = True",
        new="        self._forwarded_part = False",
        check=ENDS,
    ),
    Mutation(
        title="a run goes on within an event",
        path="entry/events.py",
        old="        if self._forwarded_part:\n            return False\n",
        new="",
        check=ENDS,
    ),
    Mutation(
        title="a stream without ids is resumed",
        path="entry/events.py",
        old="        return not self._count or bool(self._last_id)",
        new="        return True",
        check=ENDS,
    ),
    Mutation(
        title="a crash that closes in order is not looked for",
        path="entry/run_end.py",
        old="    if completeness is Completeness.WHOLE:",
        new="    if True:",
        check=ENDS,
    ),
    Mutation(
        title="a caller of HTTP/1.0 gets chunks that break off in order",
        path="node/response_writer.py",
        old='                framing, reads_chunks=version >= b"1.1"',
        new="                framing, reads_chunks=True",
        check=ENDS,
    ),
    Mutation(
        title="an answer with another id counts as own",
        path="policy/answers/answer_owner.py",
        old="AnswerOwner.OWN if found == {request_id} else AnswerOwner.OTHER",
        new="AnswerOwner.OWN",
        check=OWNERS,
    ),
    Mutation(
        title="an answer without an id counts as own",
        path="policy/answers/answer_owner.py",
        old="    return AnswerOwner.UNIDENTIFIED",
        new="    return AnswerOwner.OWN",
        check=OWNERS,
    ),
    Mutation(
        title="an id is sent twice on a connection",
        path="node/answer_parser.py",
        old="outgoing.request_id in self._ids",
        new="False",
        check=OWNERS,
    ),
    Mutation(
        title="a call without an echo follows another one",
        path="node/answer_parser.py",
        old="if outgoing.is_id_echoed or self.recognises_calls:",
        new="if True:",
        check=OWNERS,
    ),
    Mutation(
        title="a grant is used twice",
        path="policy/answers/grant_channel.py",
        old="        return is_new",
        new="        return True",
        check=GRANTS,
    ),
    Mutation(
        title="a request is granted less than it asks for",
        path="policy/answers/grant_channel.py",
        old="return floor is None or size <= floor",
        new="return True",
        check=GRANTS,
    ),
    Mutation(
        title="a reservation follows a call without a grant",
        path="node/answer_parser.py",
        old="self._carried_anonymous_call = True",
        new="pass",
        check=OWNERS,
    ),
    Mutation(
        title="a reservation of an ended process is used",
        path="entry/view.py",
        old="            and known.started_ms == record.started_ms",
        new="",
        check=OWN_PROMPT,
    ),
    Mutation(
        title="nothing is read behind an extra answer",
        path="node/answer_parser.py",
        old="                self._await_next()",
        new="                return",
        check=OWNERS,
    ),
    Mutation(
        title="HEAD shares a connection",
        path="node/answer_parser.py",
        old='self._carried_head or outgoing.method == "HEAD":',
        new="False:",
        check=OWNERS,
    ),
    Mutation(
        title="a leave is confirmed for an earlier incarnation",
        path="control/exchange.py",
        old="started_ms <= record.started_ms",
        new="started_ms >= 0",
        check=EXPLORE_RECORDS,
    ),
    Mutation(
        title="a leave is acknowledged for one that has left before",
        path="control/exchange.py",
        old="if self.adopts_upstreams and self._has_left(upstream):",
        new="if False:",
        check=EXPLORE_RECORDS,
    ),
    Mutation(
        title="leaves are forgotten at a restart",
        path="control/exchange.py",
        old="""        for record in records:
            self.registry.merge(record, now_s=self._clock())
""",
        new="",
        check=EXPLORE_RECORDS,
    ),
    Mutation(
        title="entries report nothing that control lacks",
        path="registry/convergence.py",
        old="return difference.superseding + difference.unlisted, ()",
        new="return (), ()",
        check=pytest("cli/tests/test_unknown_leaves.py"),
    ),
    Mutation(
        title="unknown upstreams are dropped after a restart",
        path="registry/convergence.py",
        old="if self._adopts and self._is_recent(now_s):",
        new="if False:",
        check=EXPLORE_RECORDS,
    ),
)


@click.command()
@click.option("--only", default="", help="Part of the title.")
def main(only):
    """Apply each mutation and print whether its check failed."""
    wanted = [each for each in MUTATIONS if only in each.title]
    click.echo("| mutation | file | check | noticed | s |")
    click.echo("|---|---|---|---|---|")
    missed = sum(not _try(each) for each in wanted)
    click.echo(f"\n{len(wanted)} mutations, {missed} not noticed")
    sys.exit(1 if missed else 0)


def _try(mutation):
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder) / "currantdeal"
        shutil.copytree(
            SOURCE, copy, ignore=shutil.ignore_patterns("__pycache__")
        )
        path = copy / mutation.path
        text = path.read_text()
        if text.count(mutation.old) != 1:
            raise click.ClickException(f"{mutation.title}: text not found")
        path.write_text(text.replace(mutation.old, mutation.new))
        start_s = time.monotonic()
        caught = _fails(folder, mutation.check)
    elapsed_s = time.monotonic() - start_s
    name = next(
        part for part in mutation.check[::-1] if "." in part or "/" in part
    )
    click.echo(
        f"| {mutation.title} | {mutation.path} | {name} "
        f"| {'yes' if caught else 'NO'} | {elapsed_s:.0f} |"
    )
    return caught


def _fails(folder, check):
    run = subprocess.run(
        [sys.executable, "-m", *check],
        cwd=folder,
        env={**os.environ, "PYTHONPATH": folder},
        capture_output=True,
        timeout=LIMIT_S,
        check=False,
    )
    return run.returncode != 0


if __name__ == "__main__":
    main()
