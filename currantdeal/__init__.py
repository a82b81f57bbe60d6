"""Router for separate prefill and decode pools.

The program has one package for each subject.  ``core`` holds the values that
every other package speaks in, ``policy`` the decisions under load, ``state``
and ``consensus`` what instances agree on, ``membership`` which instances are
alive, ``serving`` the life of a request, ``ports`` what these need from
outside, ``adapters`` the implementations of the ports, and ``cli`` the
commands.
"""

__version__ = "0.1.0"

__all__ = ["__version__"]
