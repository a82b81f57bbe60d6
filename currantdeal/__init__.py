"""Router for separate prefill and decode pools.

The program has one package for each subject:

- ``core``: value types, errors and small functions that all packages use;
- ``policy``: decisions under load;
- ``state`` and ``consensus``: the replicated state of the instances;
- ``membership``: detection of which instances are alive;
- ``serving``: processing of a request from its arrival to its end;
- ``ports``: protocols for what these packages need from outside;
- ``adapters``: implementations of the ports;
- ``cli``: the commands.
"""

__version__ = "0.1.0"

__all__ = ["__version__"]
