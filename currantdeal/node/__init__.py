"""Settings, HTTP, peer connections and logs of entry and control processes.

Each process runs on one event loop.  ``waitress`` and ``urllib3`` need a
thread for each open stream and a thread switch for each of its events, which
is too much for entries: they have a fraction of a core.  ``h11`` is the
closest equivalent that runs on an event loop.
"""
