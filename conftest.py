"""Keep what pytest itself holds out of garbage collections."""

import gc


def pytest_collection_finish(session):
    """Exempt what has been collected from later garbage collections.

    A full collection stops the event loop of a test, and the tests of a whole
    suite are many more objects than a process of the product has.
    """
    gc.collect()
    gc.freeze()
