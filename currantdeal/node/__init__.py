"""What the processes of a deployment share: settings, sockets, messages.

The processes run on one event loop.  ``waitress`` and ``urllib3`` need a
thread for each open stream, and a wake-up of another thread for each event
of it; entries have a fraction of a core.  ``h11`` is their nearest kin on an
event loop.
"""
