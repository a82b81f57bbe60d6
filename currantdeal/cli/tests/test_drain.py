"""Test of the wait for the end of a drain."""

import signal
import sys
import threading
import time

from currantdeal.adapters.clock import SystemClock
from currantdeal.cli.drain import Drain

LIMIT_S = 20.0


def _signal_this_thread(main):
    deadline_s = time.monotonic() + LIMIT_S
    while time.monotonic() < deadline_s:
        time.sleep(0.05)
        # The local ``waiter`` exists while ``Condition.wait`` blocks.
        if "waiter" in sys._current_frames()[main].f_locals:
            break
    signal.pthread_kill(threading.get_ident(), signal.SIGUSR1)


def test_signal_delivered_to_another_thread_is_handled():
    """Guards against a SIGTERM without effect.

    The system delivers the signal to a thread that serves callers.  The main
    thread, which runs the handler, would not wake up, and the instance would
    serve on until it is killed and its streams are cut off.
    """
    drain = Drain(
        instance="i1",
        ports=None,
        serving=None,
        http=None,
        keep_s=0.0,
        clock=SystemClock(),
    )
    timed_out = threading.Event()

    def give_up():
        timed_out.set()
        drain._ended.set()

    watchdog = threading.Timer(LIMIT_S, give_up)
    watchdog.start()
    before = signal.signal(signal.SIGUSR1, lambda *_: drain._ended.set())
    main = threading.get_ident()
    sender = threading.Thread(target=_signal_this_thread, args=(main,))
    sender.start()
    try:
        drain.wait()
    finally:
        watchdog.cancel()
        sender.join()
        signal.signal(signal.SIGUSR1, before)
    assert not timed_out.is_set()
