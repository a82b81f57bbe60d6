import signal
import sys
import threading
import time

from currantdeal.adapters.clock import SystemClock
from currantdeal.cli.drain import Drain

LIMIT_S = 20.0


def _raise_in_this_thread(main):
    deadline_s = time.monotonic() + LIMIT_S
    while time.monotonic() < deadline_s:
        time.sleep(0.05)
        if "waiter" in sys._current_frames()[main].f_locals:
            break
    signal.pthread_kill(threading.get_ident(), signal.SIGUSR1)


def test_signal_that_another_thread_gets_is_acted_on():
    """The system hands SIGTERM to a thread that serves callers.

    The instance would go on as if nothing had been sent, until somebody
    kills it and cuts its streams off.
    """
    drain = Drain(
        instance="i1",
        ports=None,
        serving=None,
        http=None,
        keep_s=0.0,
        clock=SystemClock(),
    )
    late = threading.Event()

    def give_up():
        late.set()
        drain._ended.set()

    watchdog = threading.Timer(LIMIT_S, give_up)
    watchdog.start()
    before = signal.signal(signal.SIGUSR1, lambda *_: drain._ended.set())
    main = threading.get_ident()
    sender = threading.Thread(target=_raise_in_this_thread, args=(main,))
    sender.start()
    try:
        drain.wait()
    finally:
        watchdog.cancel()
        sender.join()
        signal.signal(signal.SIGUSR1, before)
    assert not late.is_set()
